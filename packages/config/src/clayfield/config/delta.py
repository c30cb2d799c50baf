"""Encodes the difference between two configurations.

Boxes that hold a version of the configuration receive only the delta to the
next one.
"""

import msgspec

from clayfield.config.model import Configuration, decode_config, encode_config

TABLES = ("halls", "classes", "services", "jobs", "members", "operators")


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """The change from one version to the next.

    Attributes:
        version: the version that the change leads to.
        put: new or changed values in JSON, by path: `table/name` or `limits`.
        drop: the removed paths.
    """

    version: int
    put: dict[str, msgspec.Raw]
    drop: list[str]


_encoder = msgspec.json.Encoder(order="deterministic")
_decoder = msgspec.json.Decoder(Delta)


def _flatten(configuration: Configuration) -> dict[str, bytes]:
    """Returns the encoded values of a configuration by path."""
    flat = {"limits": _encoder.encode(configuration.limits)}
    for table in TABLES:
        for name, value in getattr(configuration, table).items():
            flat[f"{table}/{name}"] = _encoder.encode(value)
    return flat


def diff(before: Configuration, after: Configuration) -> bytes:
    """Returns the encoded delta from `before` to `after`."""
    old = _flatten(before)
    new = _flatten(after)
    put = {
        path: msgspec.Raw(value)
        for path, value in new.items()
        if old.get(path) != value
    }
    drop = [path for path in old if path not in new]
    return _encoder.encode(Delta(after.version, put, drop))


def delta_version(delta: bytes) -> int:
    """Returns the version that an encoded delta leads to."""
    return _decoder.decode(delta).version


def patch(before: Configuration, delta: bytes) -> Configuration:
    """Returns the configuration that results from an encoded delta.

    Raises:
        ValueError: the delta does not start from the version of `before`.
    """
    change = _decoder.decode(delta)
    if change.version != before.version + 1:
        raise ValueError(
            f"delta to version {change.version} does not apply to version"
            f" {before.version}"
        )
    tree = msgspec.json.decode(encode_config(before))
    tree["replaces"] = change.version - 1
    for path in change.drop:
        table, _, name = path.partition("/")
        del tree[table][name]
    for path, value in change.put.items():
        table, _, name = path.partition("/")
        decoded = msgspec.json.decode(value)
        if name:
            tree[table][name] = decoded
        else:
            tree[table] = decoded
    return decode_config(msgspec.json.encode(tree))
