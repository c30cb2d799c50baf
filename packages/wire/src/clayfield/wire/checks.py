"""Checks of what workers, callers and operators send, before a node uses it.

What passes can be stored, sent to other nodes and used in arithmetic. Each
check returns the first error as a sentence for the sender, "" for none; that of
a configuration returns all.
"""

import collections
import ipaddress
import json
import math
import re

import msgspec

from clayfield.wire.jobs import (
    Job,
    Limits,
    Route,
    RoutingTable,
    Schedule,
    Step,
    WorkerInfo,
    normalize_host,
)

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


def find_table_errors(table: RoutingTable) -> list[str]:
    """Returns each reason why a configuration can't be used.

    The names of queues and services identify them: the workers' tasks, the
    counts and the estimates of a queue are kept by its name.
    """
    errors = [_find_number_error({"version": table.version})]
    if table.version < 1:
        errors.append(f"version {table.version} is not above 0.")
    services = [service.name for service in table.services]
    errors += _find_repeated("service", services)
    errors += _find_repeated("queue", [route.name for route in table.routes])
    places = [
        f"{normalize_host(route.host)} {route.prefix}" for route in table.routes
    ]
    errors += _find_repeated("host and path", places)
    known_services = frozenset(services)
    for route in table.routes:
        errors += _find_route_errors(route, known_services)
    for service in table.services:
        numbers = {"max_connections": service.max_connections}
        errors.append(_find_number_error(numbers, f"{service.name}: "))
    errors += _find_limit_errors(table.limits)
    return [error for error in errors if error]


def _find_repeated(kind: str, names: list[str]) -> list[str]:
    """Returns an error for each name that stands more than once."""
    counts = collections.Counter(names)
    return [
        f"{kind} {name!r} stands twice."
        for name, count in counts.items()
        if count > 1
    ]


def _find_route_errors(route: Route, services: frozenset[str]) -> list[str]:
    numbers = {
        "timeout_ms": route.timeout_ms,
        "target_ms": route.target_ms,
        "priority": route.priority,
        "max_attempts": route.max_attempts,
        "stretch": route.stretch,
    }
    where = f"{route.name}: "
    errors = [
        _find_number_error(numbers, where),
        _find_zero({"timeout_ms": route.timeout_ms}, where),
        _find_zero({"max_attempts": route.max_attempts}, where),
    ]
    if route.service not in services:
        errors.append(f"{where}no service {route.service!r}.")
    return errors


def _find_limit_errors(limits: Limits) -> list[str]:
    """Returns the limits that no request could keep."""
    numbers = {
        "header_bytes": limits.header_bytes,
        "body_bytes": limits.body_bytes,
        "header_ms": limits.header_ms,
        "idle_ms": limits.idle_ms,
    }
    return [_find_number_error(numbers), _find_zero(numbers)]


def _find_zero(numbers: dict[str, float], where: str = "") -> str:
    """Returns an error for the first number that is 0, "" for none."""
    for name, number in numbers.items():
        if number == 0:
            return f"{where}{name} is not above 0."
    return ""


def find_document_error(document: bytes) -> str:
    """Returns why a document is not JSON that every reader reads alike.

    `msgspec` uses the last of equal keys and skips what no type names; this
    reads the whole document.
    """
    try:
        json.loads(
            document.decode(),
            object_pairs_hook=_check_keys,
            parse_constant=_reject_constant,
            parse_float=_check_float,
        )
    except (ValueError, RecursionError) as exc:
        return f"{exc}."
    return ""


def _check_keys(pairs: list[tuple[str, object]]) -> None:
    """Raises ValueError if a key of an object stands twice."""
    keys = [key for key, _ in pairs]
    if len(set(keys)) < len(keys):
        raise ValueError(_find_repeated("key", keys)[0].removesuffix("."))


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a number of JSON")


def _check_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(f"{text[:60]} is out of range")
    return number


def _find_number_error(numbers: dict[str, float], where: str = "") -> str:
    """Returns the first number that is not between 0 and `MAX_NUMBER`.

    Args:
        numbers: the numbers by name.
        where: start of the sentence, which says whose numbers they are.
    """
    for name, number in numbers.items():
        # NaN fails the comparison too.
        if not 0 <= number <= MAX_NUMBER:
            return f"{where}{name} is not between 0 and 2^53."
    return ""
