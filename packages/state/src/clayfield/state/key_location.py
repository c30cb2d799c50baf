"""Selects the home hall of a key and the boxes that replicate a hall's state.

Both depend on names only, so that two halls that are partitioned from each
other never both consider themselves the home hall of a key.
"""

import xxhash

KEY_SEPARATOR = ":"
START_SEPARATOR = "."
MEMBER_SEPARATOR = "/"
VOTERS_PER_HALL = 3


def _rendezvous_weight(name: str, key: str) -> int:
    """Returns the weight of a name for a key in rendezvous hashing."""
    return xxhash.xxh3_64_intdigest(f"{name}\0{key}".encode())


def member_key(member: str, key: str) -> str:
    """Returns the key under which a member's idempotency key is claimed."""
    return f"{member}{MEMBER_SEPARATOR}{key}"


def _key_prefix(key: str) -> str:
    """Returns the part of a caller's key before its first colon, or ""."""
    caller_key = key.partition(MEMBER_SEPARATOR)[2]
    prefix, separator, _ = caller_key.partition(KEY_SEPARATOR)
    return prefix if separator else ""


def start_in_key(key: str) -> int:
    """Returns the number of the start of a hall's claims named in a key.

    A start is a creation of the hall's registry with an empty table; starts
    are numbered from 1. Returns 0 if the key names none.
    """
    number = _key_prefix(key).rpartition(START_SEPARATOR)[2]
    return int(number) if number.isascii() and number.isdigit() else 0


def home_hall(key: str, halls: tuple[str, ...]) -> str:
    """Returns the hall that holds the claim of a key.

    Args:
        key: key as returned by `member_key`. The caller's part may name the
            hall, as `HALL:rest` or `HALL.START:rest`.
        halls: names of all halls, in any order.
    """
    if len(halls) == 1:
        return halls[0]
    prefix = _key_prefix(key)
    for name in (prefix, prefix.rpartition(START_SEPARATOR)[0]):
        if name in halls:
            return name
    return max(halls, key=lambda hall: _rendezvous_weight(hall, key))


def hall_replicas(hall: str, boxes: dict[str, str]) -> tuple[str, ...]:
    """Returns the boxes that replicate a hall's claims.

    The hall's own boxes come first. If they are fewer than
    `VOTERS_PER_HALL`, boxes of other halls follow, so that the claims survive
    the loss of one box.

    Args:
        hall: name of the hall.
        boxes: hall of each box, by the name of the box.
    """
    own = sorted(name for name, box_hall in boxes.items() if box_hall == hall)
    others = [name for name, box_hall in boxes.items() if box_hall != hall]
    others.sort(key=lambda name: _rendezvous_weight(name, hall), reverse=True)
    return tuple((own + others)[:VOTERS_PER_HALL])
