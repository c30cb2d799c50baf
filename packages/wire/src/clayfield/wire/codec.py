"""Encodes batches of messages and refuses what it cannot trust."""

import msgspec

from clayfield.base import ClayfieldError, Kind
from clayfield.wire import messages

PROTOCOL_VERSION = 1
OLDEST_VERSION = 1
MAX_FRAME_BYTES = 8 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[messages.ANY_MESSAGE])


def encode(batch: list[messages.Message]) -> bytes:
    """Returns a batch of messages as bytes."""
    return _encoder.encode(batch)


def decode(data: bytes) -> list[messages.Message]:
    """Returns the messages of a batch.

    Args:
        data: what `encode` made, possibly damaged on the way.

    Raises:
        ClayfieldError: of kind BAD_FRAME; nothing of the batch is used.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise ClayfieldError(
            Kind.BAD_FRAME,
            f"{len(data)} bytes exceed {MAX_FRAME_BYTES}.",
        )
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise ClayfieldError(Kind.BAD_FRAME, f"{exc}.") from exc


class Greeting(msgspec.Struct, frozen=True, array_like=True):
    """The first frame of a stream: who speaks.

    Attributes:
        cluster: the name that all boxes of a cluster share.
        box: the sender's name.
        incarnation: of the sender's process.
        hall: where the sender stands.
        version: the newest protocol version that it speaks.
        halls: the names of all halls that the sender knows, sorted.
    """

    cluster: str
    box: str
    incarnation: int
    hall: str
    version: int = PROTOCOL_VERSION
    halls: tuple[str, ...] = ()


_greeting_decoder = msgspec.msgpack.Decoder(Greeting)


def encode_greeting(greeting: Greeting) -> bytes:
    """Returns a greeting as bytes."""
    return _encoder.encode(greeting)


def decode_greeting(data: bytes) -> Greeting:
    """Returns the greeting that opens a stream.

    Raises:
        ClayfieldError: of kind BAD_FRAME, when it is none.
    """
    try:
        return _greeting_decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise ClayfieldError(Kind.BAD_FRAME, f"{exc}.") from exc


def check_greeting(
    greeting: Greeting, cluster: str, halls: tuple[str, ...]
) -> None:
    """Checks that a peer belongs here.

    Boxes that know different halls would seek a key's claim in different
    places, so they do not talk.

    Args:
        greeting: what it said.
        cluster: the name of this box's own cluster.
        halls: the names of all halls, sorted.

    Raises:
        ClayfieldError: of kind BAD_FRAME, when the peer is of another cluster,
            knows other halls or is too old.
    """
    if greeting.cluster != cluster:
        raise ClayfieldError(
            Kind.BAD_FRAME,
            f"peer is of cluster {greeting.cluster!r}, not {cluster!r}.",
        )
    if greeting.halls != halls:
        raise ClayfieldError(
            Kind.BAD_FRAME,
            f"peer's --boxes names the halls {', '.join(greeting.halls)}, not"
            f" {', '.join(halls)}.",
        )
    if greeting.version < OLDEST_VERSION:
        raise ClayfieldError(
            Kind.BAD_FRAME,
            f"peer speaks version {greeting.version}, oldest known"
            f" {OLDEST_VERSION}.",
        )
