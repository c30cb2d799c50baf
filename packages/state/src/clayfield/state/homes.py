"""Which hall a key is at home in, and which nodes replicate a hall's state.

Both follow from names alone, so that two halls that cannot see each other
never both take a key for theirs.
"""

import xxhash

KEY_SEPARATOR = ":"
START_SEPARATOR = "."
MEMBER_SEPARATOR = "/"
VOTERS_PER_HALL = 3


def _weight(name: str, key: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{name}\0{key}".encode())


def owned_key(member: str, key: str) -> str:
    """Returns the name under which a member's key is claimed."""
    return f"{member}{MEMBER_SEPARATOR}{key}"


def _prefix(key: str) -> str:
    """Returns what stands before the first colon of the caller's own key."""
    own = key.partition(MEMBER_SEPARATOR)[2]
    prefix, separator, _ = own.partition(KEY_SEPARATOR)
    return prefix if separator else ""


def start_named_by(key: str) -> int:
    """Returns the start of the hall's claims that a key names, 0 for none."""
    number = _prefix(key).rpartition(START_SEPARATOR)[2]
    return int(number) if number.isascii() and number.isdigit() else 0


def home_hall(key: str, halls: tuple[str, ...]) -> str:
    """Returns the hall that holds the claim of a key.

    Args:
        key: a member's key as `owned_key` gives it. The caller's part may
            name its hall, as `HALL:rest` or `HALL.START:rest`.
        halls: the names of all halls, in any order.
    """
    if len(halls) == 1:
        return halls[0]
    prefix = _prefix(key)
    for name in (prefix, prefix.rpartition(START_SEPARATOR)[0]):
        if name in halls:
            return name
    return max(halls, key=lambda hall: _weight(hall, key))


def hall_replicas(hall: str, boxes: dict[str, str]) -> tuple[str, ...]:
    """Returns the boxes that replicate a hall's claims.

    The hall's own boxes come first. A hall with fewer than three takes boxes
    of other halls as further replicas, so that it survives the loss of one.

    Args:
        hall: the hall's name.
        boxes: the hall of each box, by its name.
    """
    own = sorted(name for name, its in boxes.items() if its == hall)
    others = [name for name, its in boxes.items() if its != hall]
    others.sort(key=lambda name: _weight(name, hall), reverse=True)
    return tuple((own + others)[:VOTERS_PER_HALL])
