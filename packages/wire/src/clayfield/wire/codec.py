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


def check_peer(cluster: str, version: int, expected_cluster: str) -> None:
    """Checks a peer's greeting.

    Args:
        cluster: the name of the peer's cluster.
        version: the newest protocol version that the peer speaks.
        expected_cluster: the name of this box's own cluster.

    Raises:
        ClayfieldError: of kind BAD_FRAME, when the peer is of another cluster
            or too old.
    """
    if cluster != expected_cluster:
        raise ClayfieldError(
            Kind.BAD_FRAME,
            f"peer is of cluster {cluster!r}, not {expected_cluster!r}.",
        )
    if version < OLDEST_VERSION:
        raise ClayfieldError(
            Kind.BAD_FRAME,
            f"peer speaks version {version}, oldest known {OLDEST_VERSION}.",
        )
