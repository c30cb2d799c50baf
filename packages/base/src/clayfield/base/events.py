"""Numbered log events; docs/events.md is their catalogue.

An event is written as one line of JSON: time, number, name, level, and the
fields that the event declares.
"""

import enum
import sys
import typing

import logbook
import msgspec


class _Spec(typing.NamedTuple):
    number: int
    level: int
    text: str
    fields: tuple[str, ...]


class Event(enum.Enum):
    """Every event that the product logs."""

    STARTED = _Spec(
        1001,
        logbook.INFO,
        "the box started",
        ("box", "hall", "incarnation", "callers", "peers"),
    )
    READY = _Spec(1002, logbook.INFO, "the box became ready", ())
    NOT_READY = _Spec(1003, logbook.WARNING, "the box is no longer ready", ())
    STOPPING = _Spec(
        1004, logbook.INFO, "a planned stop began", ("open_submissions",)
    )
    STOPPED = _Spec(1005, logbook.INFO, "the box ended", ("drained",))
    CERTIFICATE_RELOADED = _Spec(
        1006, logbook.INFO, "certificates were read again", ("path",)
    )
    CERTIFICATE_BAD = _Spec(
        1007,
        logbook.ERROR,
        "a certificate could not be read; the earlier one stays",
        ("path", "error"),
    )
    PEER_CONNECTED = _Spec(
        2001, logbook.INFO, "a stream to a peer opened", ("peer",)
    )
    PEER_LOST = _Spec(
        2002, logbook.WARNING, "a stream to a peer broke", ("peer", "error")
    )
    FRAME_REFUSED = _Spec(
        2003,
        logbook.WARNING,
        "a frame from a peer was refused",
        ("peer", "error"),
    )
    LEADING = _Spec(
        2004, logbook.INFO, "this box began to lead a group", ("group", "term")
    )
    CONFIG_IN_FORCE = _Spec(
        3001, logbook.INFO, "a configuration came into force", ("version",)
    )
    CONFIG_REJECTED = _Spec(
        3002, logbook.WARNING, "a configuration was rejected", ("error",)
    )
    STORE_REPAIRED = _Spec(
        4001,
        logbook.WARNING,
        "an unfinished write at the end of the log was cut off",
        ("path", "bytes"),
    )
    STORE_FAILED = _Spec(
        4002,
        logbook.CRITICAL,
        "the data folder failed; this box votes no more until restarted",
        ("path", "error"),
    )
    LIST_FAILED = _Spec(
        5001,
        logbook.WARNING,
        "the platform list could not be read; the earlier one stays",
        ("error",),
    )
    WORKER_ANSWER_BAD = _Spec(
        5002,
        logbook.WARNING,
        "a worker broke the protocol",
        ("worker", "error"),
    )
    INTERNAL = _Spec(
        9001, logbook.ERROR, "an unexpected error was contained", ("error",)
    )

    @property
    def number(self) -> int:
        """The number by which the catalogue lists it."""
        return self.value.number


_logger = logbook.Logger("clayfield")


def emit(event: Event, **fields: object) -> None:
    """Logs an event.

    Raises:
        TypeError: the fields are not those that the event declares.
    """
    if set(fields) != set(event.value.fields):
        raise TypeError(f"{event.name} takes {event.value.fields}")
    _logger.log(
        event.value.level,
        event.value.text,
        extra={"event": event, "fields": fields},
    )


class JsonLines(logbook.StreamHandler):
    """Writes each event as one line of JSON."""

    def format(self, record: logbook.LogRecord) -> str:
        """Returns the line for a record."""
        line = {
            "time": record.time.isoformat(timespec="milliseconds") + "Z",
            "level": record.level_name.lower(),
        }
        event = record.extra.get("event")
        if event:
            line["event"] = event.number
            line["name"] = event.name
        line["message"] = record.message
        line.update(record.extra.get("fields") or {})
        return msgspec.json.encode(line, enc_hook=str).decode()


def set_up(level: str) -> None:
    """Sends events of a level and above to standard error."""
    handler = JsonLines(sys.stderr, level=logbook.lookup_level(level.upper()))
    handler.push_application()
