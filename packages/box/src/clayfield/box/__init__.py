"""One box of the system as a state machine without I/O."""

from clayfield.box.actions import ApplyFinished, ConfigActivated, Persist, Send
from clayfield.box.core import BoxCore
from clayfield.box.identity import Identity, PeerAddress

__all__ = [
    "ApplyFinished",
    "BoxCore",
    "ConfigActivated",
    "Identity",
    "PeerAddress",
    "Persist",
    "Send",
]
