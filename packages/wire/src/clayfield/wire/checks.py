"""Checks of what workers, callers and operators send, before a node uses it.

What passes can be stored, sent to other nodes and used in arithmetic. Each
check returns the first error as a sentence for the sender, "" for none.
"""

import ipaddress
import re

import msgspec

from clayfield.wire.jobs import Step, WorkerInfo

# What a decoder raises for data that can't be read. The last is raised for
# deeply nested data.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
# Greatest integer that every reader of JSON represents exactly (RFC 7493).
MAX_NUMBER = 2**53
MAX_PORT = 65535
# A worker's name is part of a path and the value of a header.
_WORKER_NAME = re.compile(r"[!-~]{1,200}")
_PORT = re.compile(r"[0-9]{1,5}")


def find_heartbeat_error(info: WorkerInfo) -> str:
    """Returns why a heartbeat names no worker that can be used."""
    if not _WORKER_NAME.fullmatch(info.name):
        return "the name is not 1 to 200 printable ASCII characters."
    if not info.service:
        return "service is empty."
    if not is_worker_address(info.address):
        return f"address {info.address[:60]!r} is not IP:PORT."
    return _find_number_error(
        {
            "sequence": info.sequence,
            "cpu": info.cpu,
            "memory_mb": info.memory_mb,
            "gpu": info.gpu,
            "born_ms": info.born_ms,
        }
    )


def is_worker_address(text: str) -> bool:
    """Returns whether a text is the IPv4 address and port of one host."""
    host, _, port = text.rpartition(":")
    if not _PORT.fullmatch(port) or not 1 <= int(port) <= MAX_PORT:
        return False
    try:
        address = ipaddress.IPv4Address(host)
    except ValueError:
        return False
    is_broadcast = int(address) == 0xFFFFFFFF
    return not (address.is_unspecified or address.is_multicast or is_broadcast)


def find_steps_error(steps: tuple[Step, ...]) -> str:
    """Returns the first error in the steps of a job."""
    if not steps:
        return "steps: name at least one."
    for number, step in enumerate(steps):
        if step.count < 1:
            return f"steps[{number}].count is not above 0."
        if any(not 0 <= earlier < number for earlier in step.after):
            return f"steps[{number}].after is no earlier step."
    return ""


def _find_number_error(numbers: dict[str, float]) -> str:
    """Returns the first number that is not between 0 and `MAX_NUMBER`."""
    for name, number in numbers.items():
        # NaN fails the comparison too.
        if not 0 <= number <= MAX_NUMBER:
            return f"{name} is not between 0 and 2^53."
    return ""
