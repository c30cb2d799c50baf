"""The protocol between boxes: typed messages, their codec and envelope."""

from clayfield.wire.codec import (
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    check_peer,
    decode,
    encode,
)

__all__ = [
    "MAX_FRAME_BYTES",
    "PROTOCOL_VERSION",
    "check_peer",
    "decode",
    "encode",
]
