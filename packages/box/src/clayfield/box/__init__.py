"""One box of the system as a state machine without I/O."""

from clayfield.box.actions import Applied, InForce, Persist, Send
from clayfield.box.core import BoxCore
from clayfield.box.identity import Identity, PeerAddress

__all__ = [
    "Applied",
    "BoxCore",
    "Identity",
    "InForce",
    "PeerAddress",
    "Persist",
    "Send",
]
