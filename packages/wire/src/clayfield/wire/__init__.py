"""The protocol between boxes: typed messages and their codec."""

from clayfield.wire.codec import (
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    Greeting,
    check_greeting,
    decode,
    decode_greeting,
    encode,
    encode_greeting,
)

__all__ = [
    "MAX_FRAME_BYTES",
    "PROTOCOL_VERSION",
    "Greeting",
    "check_greeting",
    "decode",
    "decode_greeting",
    "encode",
    "encode_greeting",
]
