"""Checks of what workers, callers and operators send, before a node uses it.

What passes can be stored, sent to other nodes and used in arithmetic. Each
check returns the first error as a sentence for the sender, "" for none.
"""

import ipaddress
import re

import msgspec

from clayfield.wire.jobs import Job, RoutingTable, Schedule, Step, WorkerInfo

# What a decoder raises for data that can't be read. The last is raised for
# deeply nested data.
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
# Greatest integer that every reader of JSON represents exactly (RFC 7493).
MAX_NUMBER = 2**53
MAX_PORT = 65535
# Bounds of what control nodes send to every entry node for one worker.
MAX_TEXT_LENGTH = 200
MAX_LABELS = 16
# A worker's name is part of a path and the value of a header.
_WORKER_NAME = re.compile(r"[!-~]{1,200}")
_PORT = re.compile(r"[0-9]{1,5}")


def find_heartbeat_error(info: WorkerInfo) -> str:
    """Returns why a heartbeat names no worker that can be used."""
    if not _WORKER_NAME.fullmatch(info.name):
        return "the name is not 1 to 200 printable ASCII characters."
    if not info.service:
        return "service is empty."
    texts = (info.service, info.hall, info.rack, *info.labels)
    if len(info.labels) > MAX_LABELS:
        return f"there are over {MAX_LABELS} labels."
    if any(len(text) > MAX_TEXT_LENGTH for text in texts):
        return f"a text is longer than {MAX_TEXT_LENGTH} characters."
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


def find_job_error(job: Job) -> str:
    """Returns the first error in a job."""
    return (
        find_steps_error(job.steps)
        or _find_schedule_error(job.schedule)
        or _find_number_error(
            {
                "priority": job.priority,
                "max_attempts": job.max_attempts,
                "stretch": job.stretch,
                "target_ms": job.target_ms,
                "timeout_ms": job.timeout_ms,
            }
        )
    )


def find_steps_error(steps: tuple[Step, ...]) -> str:
    """Returns the first error in the steps of a job."""
    if not steps:
        return "steps: name at least one."
    for number, step in enumerate(steps):
        if step.count < 1:
            return f"steps[{number}].count is not above 0."
        if any(not 0 <= earlier < number for earlier in step.after):
            return f"steps[{number}].after is no earlier step."
        error = _find_number_error(
            {
                "count": step.count,
                "cpu": step.cpu,
                "memory_mb": step.memory_mb,
                "gpu": step.gpu,
                "estimate_ms": step.estimate_ms,
                "max_per_worker": step.max_per_worker,
                "target_ms": step.target_ms,
            }
        )
        if error:
            return f"steps[{number}].{error}"
    return ""


def _find_schedule_error(schedule: Schedule | None) -> str:
    if schedule is None:
        return ""
    error = _find_number_error(
        {
            "repeats": schedule.repeats,
            "start_ms": schedule.start_ms,
            "interval_ms": schedule.interval_ms,
        }
    )
    return f"schedule.{error}" if error else ""


def find_table_error(table: RoutingTable) -> str:
    """Returns the first number in a configuration that can't be used."""
    for route in table.routes:
        error = _find_number_error(
            {
                "timeout_ms": route.timeout_ms,
                "target_ms": route.target_ms,
                "priority": route.priority,
                "max_attempts": route.max_attempts,
                "stretch": route.stretch,
            }
        )
        if error:
            return f"{route.name}: {error}"
    for service in table.services:
        numbers = {"max_connections": service.max_connections}
        error = _find_number_error(numbers)
        if error:
            return f"{service.name}: {error}"
    limits = table.limits
    return _find_number_error(
        {
            "version": table.version,
            "header_bytes": limits.header_bytes,
            "body_bytes": limits.body_bytes,
            "header_ms": limits.header_ms,
            "idle_ms": limits.idle_ms,
        }
    )


def _find_number_error(numbers: dict[str, float]) -> str:
    """Returns the first number that is not between 0 and `MAX_NUMBER`."""
    for name, number in numbers.items():
        # NaN fails the comparison too.
        if not 0 <= number <= MAX_NUMBER:
            return f"{name} is not between 0 and 2^53."
    return ""
