"""One box as a pure state machine."""

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
