"""Numbered log events; docs/events.md is their catalogue.

An event is written as one line of JSON: time, number, name, level, and the
fields that the event declares.
"""

import enum
import os
import sys
import time
import typing

import logbook
import msgspec

# Bounds of what is written to standard output.
LINES_A_S = 150.0
BURST_LINES = 400.0


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
    NODE_STARTED = _Spec(
        1008, logbook.INFO, "the node started", ("node", "role")
    )
    NODE_STOPPED = _Spec(1009, logbook.INFO, "the node ended", ("node",))
    NODE_FAILED = _Spec(
        1010, logbook.CRITICAL, "the node cannot go on", ("node", "error")
    )
    RELOADED = _Spec(
        1011, logbook.INFO, "the settings were read again", ("node",)
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
    LEADING_ENDED = _Spec(
        2005, logbook.INFO, "this box leads no more", ("group", "term")
    )
    GRANT_KNOWN = _Spec(
        2006,
        logbook.INFO,
        "a node learnt who holds the workers",
        ("epoch", "holder"),
    )
    HOLDING = _Spec(
        2007, logbook.INFO, "this node began to hold workers", ("epoch",)
    )
    HOLDING_ENDED = _Spec(
        2008, logbook.INFO, "this node holds workers no more", ("epoch",)
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
    JOB_ANSWERED = _Spec(
        6001,
        logbook.INFO,
        "an entry answered the caller of a job",
        (
            "job",
            "queue",
            "verdict",
            "reason",
            "took_ms",
            "retry_after_ms",
            "epoch",
            "holder",
        ),
    )
    JOB_ENDED = _Spec(
        6002,
        logbook.INFO,
        "the holder ended a job",
        (
            "job",
            "queue",
            "verdict",
            "reason",
            "age_ms",
            "objective_ms",
            "forecast_ms",
            "starts",
            "workers",
            "open_jobs",
            "fence",
        ),
    )
    RUN_LOST = _Spec(
        6003,
        logbook.INFO,
        "a run ended otherwise than done",
        ("job", "step", "index", "run", "worker", "state", "end", "ran_ms"),
    )
    RUN_DOUBTFUL = _Spec(
        6004,
        logbook.WARNING,
        "a start got no answer and is being stopped",
        ("job", "step", "index", "run", "worker"),
    )
    WORKER_SILENT = _Spec(
        6005,
        logbook.WARNING,
        "a worker does not answer; nothing new is placed there",
        ("worker", "silent_ms", "runs"),
    )
    WORKER_BACK = _Spec(
        6006,
        logbook.INFO,
        "a worker answers again",
        ("worker", "silent_ms"),
    )
    WORKER_GONE = _Spec(
        6007, logbook.INFO, "a worker's life is over", ("worker", "runs")
    )
    WORKER_SET_ASIDE = _Spec(
        6008,
        logbook.WARNING,
        "a worker gets nothing new for a while",
        ("worker", "cause", "pause_ms"),
    )
    WORKER_FENCED = _Spec(
        6009,
        logbook.WARNING,
        "a worker obeys a higher fence",
        ("worker", "fence"),
    )
    WORKER_KNOWN = _Spec(
        6010,
        logbook.INFO,
        "a worker said something new of itself",
        ("worker", "state", "sequence", "hall"),
    )
    JOB_STORED = _Spec(
        6011,
        logbook.INFO,
        "a kept job is on stable storage and may start",
        ("job", "queue", "age_ms", "open_jobs", "epoch"),
    )
    JOBS_LOADED = _Spec(
        6012,
        logbook.INFO,
        "a new holder heard of the kept jobs",
        ("epoch", "open_jobs", "ended_jobs"),
    )
    AUTHORITY_LOST = _Spec(
        6013,
        logbook.WARNING,
        "no leader answers the holder; it stops kept jobs",
        ("epoch",),
    )
    AUTHORITY_BACK = _Spec(
        6014, logbook.INFO, "a leader answers the holder again", ("epoch",)
    )
    RUN_PACED = _Spec(
        6015,
        logbook.INFO,
        "a run that fills may work at another pace",
        ("job", "step", "index", "run", "worker", "percent"),
    )
    INTERNAL = _Spec(
        9001, logbook.ERROR, "an unexpected error was contained", ("error",)
    )

    @property
    def number(self) -> int:
        """The number by which the catalogue lists it."""
        return self.value.number


_logger = logbook.Logger("clayfield")
_bounded: list["BoundedJsonLines"] = []


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


class BoundedJsonLines(JsonLines):
    """Writes lines to standard output, within bounds, and never waits.

    At most `BURST_LINES` at once and `LINES_A_S` on average; what is beyond,
    or what the reader of the output does not take in time, is dropped and
    counted. Each line that follows tells how many were dropped before it.
    """

    def __init__(self, level: int):
        super().__init__(sys.stdout, level=level)
        self._fd = sys.stdout.fileno()
        os.set_blocking(self._fd, False)
        self._allowance = BURST_LINES
        self._filled_s = time.monotonic()
        self._dropped = 0
        self._dropped_ever = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes a record, or counts it as dropped."""
        if not self._may_write(record):
            self._drop()
            return
        line = self.format(record)
        if self._dropped:
            line = f'{line[:-1]},"dropped_before":{self._dropped}}}'
        try:
            os.write(self._fd, line.encode() + b"\n")
            self._dropped = 0
        except OSError:
            self._drop()

    @property
    def dropped(self) -> int:
        """How many lines were dropped since the start."""
        return self._dropped_ever

    def _drop(self) -> None:
        self._dropped += 1
        self._dropped_ever += 1

    def _may_write(self, record: logbook.LogRecord) -> bool:
        now_s = time.monotonic()
        gained = (now_s - self._filled_s) * LINES_A_S
        self._filled_s = now_s
        self._allowance = min(BURST_LINES, self._allowance + gained)
        if self._allowance < 1 and record.level < logbook.WARNING:
            return False
        self._allowance = max(0.0, self._allowance - 1)
        return True


def set_up_bounded(level: str) -> None:
    """Sends events to standard output, bounded, without ever waiting."""
    handler = BoundedJsonLines(logbook.lookup_level(level.upper()))
    handler.push_application()
    _bounded.append(handler)


def lines_dropped() -> int:
    """Returns how many lines bounded logging has dropped."""
    return sum(handler.dropped for handler in _bounded)


def set_up(level: str) -> None:
    """Sends events of a level and above to standard error."""
    handler = JsonLines(sys.stderr, level=logbook.lookup_level(level.upper()))
    handler.push_application()
