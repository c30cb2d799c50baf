"""Encodes and decodes batches of messages and the greeting of a stream."""

import msgspec

from clayfield.base import ClayfieldError, ErrorKind
from clayfield.wire import messages

PROTOCOL_VERSION = 1
OLDEST_VERSION = 1
MAX_FRAME_BYTES = 8 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[messages.ANY_MESSAGE])


def encode(batch: list[messages.Message]) -> bytes:
    """Returns an encoded batch of messages."""
    return _encoder.encode(batch)


def decode(data: bytes) -> list[messages.Message]:
    """Returns the messages of a batch.

    Args:
        data: a batch made by `encode`, or damaged or foreign data.

    Raises:
        ClayfieldError: of kind BAD_FRAME, if the batch is too large or not
            valid as a whole.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise ClayfieldError(
            ErrorKind.BAD_FRAME,
            f"frame of {len(data)} bytes exceeds {MAX_FRAME_BYTES} bytes.",
        )
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise ClayfieldError(ErrorKind.BAD_FRAME, f"{exc}.") from exc


class Greeting(msgspec.Struct, frozen=True, array_like=True):
    """The first frame of a stream; identifies the sender.

    Attributes:
        cluster: name shared by all boxes of a cluster.
        box: name of the sender.
        incarnation: number of this start of the sender's process.
        hall: name of the sender's hall (zone).
        version: newest protocol version that the sender supports.
        halls: names of all halls in the sender's settings, sorted.
    """

    cluster: str
    box: str
    incarnation: int
    hall: str
    version: int = PROTOCOL_VERSION
    halls: tuple[str, ...] = ()


_greeting_decoder = msgspec.msgpack.Decoder(Greeting)


def encode_greeting(greeting: Greeting) -> bytes:
    """Returns an encoded greeting."""
    return _encoder.encode(greeting)


def decode_greeting(data: bytes) -> Greeting:
    """Returns the greeting in a stream's first frame.

    Raises:
        ClayfieldError: of kind BAD_FRAME, if the frame is not a greeting.
    """
    try:
        return _greeting_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise ClayfieldError(ErrorKind.BAD_FRAME, f"{exc}.") from exc


def check_greeting(
    greeting: Greeting, cluster: str, halls: tuple[str, ...]
) -> None:
    """Checks that a peer is compatible with this box.

    Boxes with different sets of halls would look for the claim of a key in
    different halls, so they must not exchange messages.

    Args:
        greeting: the peer's greeting.
        cluster: name of this box's cluster.
        halls: names of all halls in this box's settings, sorted.

    Raises:
        ClayfieldError: of kind BAD_FRAME, if the peer has another cluster,
            other halls or too old a protocol version.
    """
    if greeting.cluster != cluster:
        raise ClayfieldError(
            ErrorKind.BAD_FRAME,
            f"peer belongs to cluster {greeting.cluster!r}, not {cluster!r}.",
        )
    if greeting.halls != halls:
        raise ClayfieldError(
            ErrorKind.BAD_FRAME,
            f"peer's --boxes names the halls {', '.join(greeting.halls)}, not"
            f" {', '.join(halls)}; use the same --boxes on both.",
        )
    if greeting.version < OLDEST_VERSION:
        raise ClayfieldError(
            ErrorKind.BAD_FRAME,
            f"peer uses protocol version {greeting.version}, the oldest"
            f" supported is {OLDEST_VERSION}.",
        )
