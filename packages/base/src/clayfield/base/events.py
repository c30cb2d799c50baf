"""Numbered log events; docs/events.md lists them.

Each event is logged as one line of JSON with time, level, number, name,
message and the fields that the event declares.
"""

import enum
import os
import sys
import time
import typing

import logbook
import msgspec

# Rate limit of the log on standard output: average rate and burst.
LINES_PER_S = 150.0
BURST_LINES = 400.0


class _Spec(typing.NamedTuple):
    number: int
    level: int
    text: str
    fields: tuple[str, ...]


class Event(enum.Enum):
    """The log events: number, level, text and fields of each."""

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
    STOPPED = _Spec(1005, logbook.INFO, "the box stopped", ("drained",))
    CERTIFICATE_RELOADED = _Spec(
        1006, logbook.INFO, "certificates were reloaded", ("path",)
    )
    CERTIFICATE_BAD = _Spec(
        1007,
        logbook.ERROR,
        "a certificate could not be read; the previous one stays in use",
        ("path", "error"),
    )
    NODE_STARTED = _Spec(
        1008, logbook.INFO, "the node started", ("node", "role")
    )
    NODE_STOPPED = _Spec(1009, logbook.INFO, "the node stopped", ("node",))
    NODE_FAILED = _Spec(
        1010,
        logbook.CRITICAL,
        "the node stops after a fatal error",
        ("node", "error"),
    )
    RELOADED = _Spec(
        1011, logbook.INFO, "the settings were reloaded", ("node",)
    )
    RELOAD_FAILED = _Spec(
        1012,
        logbook.WARNING,
        "the settings can't be read; those read before stay in use",
        ("path", "error"),
    )
    PEER_CONNECTED = _Spec(
        2001, logbook.INFO, "a stream to a peer opened", ("peer",)
    )
    PEER_LOST = _Spec(
        2002, logbook.WARNING, "a stream to a peer was lost", ("peer", "error")
    )
    FRAME_REFUSED = _Spec(
        2003,
        logbook.WARNING,
        "a frame from a peer was rejected",
        ("peer", "error"),
    )
    LEADING = _Spec(
        2004,
        logbook.INFO,
        "this node became leader of a group",
        ("group", "term"),
    )
    LEADING_ENDED = _Spec(
        2005,
        logbook.INFO,
        "this node is no longer leader of a group",
        ("group", "term"),
    )
    GRANT_KNOWN = _Spec(
        2006,
        logbook.INFO,
        "this node received a new grant for the workers",
        ("epoch", "holder"),
    )
    HOLDING = _Spec(
        2007, logbook.INFO, "this node began to schedule workers", ("epoch",)
    )
    HOLDING_ENDED = _Spec(
        2008, logbook.INFO, "this node no longer schedules workers", ("epoch",)
    )
    CONFIG_IN_FORCE = _Spec(
        3001, logbook.INFO, "a configuration became active", ("version",)
    )
    CONFIG_REJECTED = _Spec(
        3002, logbook.WARNING, "a configuration was rejected", ("error",)
    )
    CONFIG_PROPOSED = _Spec(
        3003,
        logbook.INFO,
        "this leader appended a configuration to its log",
        ("version", "index", "bytes"),
    )
    CONFIG_STORED = _Spec(
        3004,
        logbook.INFO,
        "a configuration is on this node's disk",
        ("version", "index"),
    )
    CONFIG_COMMITTED = _Spec(
        3005,
        logbook.INFO,
        "a configuration is committed and goes to the entry nodes",
        ("version", "index", "entry_nodes"),
    )
    CONFIG_ACKNOWLEDGED = _Spec(
        3006,
        logbook.INFO,
        "an operator's write was answered",
        ("version", "active_version", "outcome", "took_ms"),
    )
    CONFIG_RESENT = _Spec(
        3007,
        logbook.WARNING,
        "a configuration is sent to an entry node that reports an older one",
        ("peer", "version", "reported_version", "waiting_bytes"),
    )
    CONFIG_RECEIVED = _Spec(
        3008,
        logbook.INFO,
        "an entry node received a configuration for the first time",
        ("version", "peer", "bytes"),
    )
    CONFIG_READ = _Spec(
        3009,
        logbook.INFO,
        "an operator read the configuration",
        ("version", "term", "lease_left_ms"),
    )
    STORE_REPAIRED = _Spec(
        4001,
        logbook.WARNING,
        "an incomplete write at the end of the log was truncated",
        ("path", "bytes"),
    )
    STORE_FAILED = _Spec(
        4002,
        logbook.CRITICAL,
        "the data folder failed; this box does not vote until restarted",
        ("path", "error"),
    )
    LIST_FAILED = _Spec(
        5001,
        logbook.WARNING,
        "the platform list could not be read; the previous one stays in use",
        ("error",),
    )
    WORKER_ANSWER_BAD = _Spec(
        5002,
        logbook.WARNING,
        "a worker sent an invalid response",
        ("worker", "error"),
    )
    JOB_ANSWERED = _Spec(
        6001,
        logbook.INFO,
        "an entry node replied to the caller of a job",
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
        "a run ended without success",
        (
            "job",
            "step",
            "index",
            "run",
            "worker",
            "state",
            "end",
            "cause",
            "ran_ms",
        ),
    )
    RUN_DOUBTFUL = _Spec(
        6004,
        logbook.WARNING,
        "a start request got no reply; the run is being stopped",
        ("job", "step", "index", "run", "worker"),
    )
    WORKER_SILENT = _Spec(
        6005,
        logbook.WARNING,
        "a worker is unresponsive; no new tasks are placed on it",
        ("worker", "silent_ms", "runs"),
    )
    WORKER_BACK = _Spec(
        6006,
        logbook.INFO,
        "a worker is responsive again",
        ("worker", "silent_ms"),
    )
    WORKER_GONE = _Spec(
        6007, logbook.INFO, "a worker was removed", ("worker", "runs")
    )
    WORKER_SET_ASIDE = _Spec(
        6008,
        logbook.WARNING,
        "a worker gets no new tasks for a while",
        ("worker", "cause", "pause_ms"),
    )
    WORKER_FENCED = _Spec(
        6009,
        logbook.WARNING,
        "a worker rejected a request, as it has a higher fencing token",
        ("worker", "fence"),
    )
    WORKER_KNOWN = _Spec(
        6010,
        logbook.INFO,
        "a worker's heartbeat has new content",
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
        "a new holder loaded the kept jobs",
        ("epoch", "open_jobs", "ended_jobs"),
    )
    AUTHORITY_LOST = _Spec(
        6013,
        logbook.WARNING,
        "no control leader answers the holder; it stops runs of kept jobs",
        ("epoch",),
    )
    AUTHORITY_BACK = _Spec(
        6014,
        logbook.INFO,
        "a control leader answers the holder again",
        ("epoch",),
    )
    RUN_PACED = _Spec(
        6015,
        logbook.INFO,
        "the throttle of a batch run changed",
        ("job", "step", "index", "run", "worker", "percent"),
    )
    RUN_CLAIMED = _Spec(
        6016,
        logbook.INFO,
        "a run that another node started was assigned to its task",
        ("job", "step", "index", "run", "worker", "lease_left_ms"),
    )
    JOB_RESOLVED = _Spec(
        6017,
        logbook.INFO,
        "the runs of a job that another node had were determined",
        ("job", "waited_ms", "workers", "claimed", "done", "fence"),
    )
    HEARTBEAT_IGNORED = _Spec(
        6018,
        logbook.INFO,
        "a heartbeat with other content than the latest counts as outdated",
        (
            "worker",
            "state",
            "sequence",
            "born_ms",
            "latest_state",
            "latest_sequence",
            "latest_born_ms",
        ),
    )
    WORKER_RESTARTED = _Spec(
        6019,
        logbook.INFO,
        "a worker started again under its name",
        ("worker", "born_ms", "runs"),
    )
    JOB_PAUSED = _Spec(
        6020,
        logbook.WARNING,
        "the runs of a job are stopped, as no entry node confirms that it"
        " waits",
        ("job", "entries", "silent_ms", "runs", "fence"),
    )
    JOB_RESUMED = _Spec(
        6021,
        logbook.INFO,
        "an entry node confirms again that it waits for a paused job",
        ("job", "entries", "silent_ms", "runs", "fence"),
    )
    COMMAND_FAILED = _Spec(
        6022,
        logbook.ERROR,
        "a command to a worker could not be sent",
        ("worker", "address", "error"),
    )
    REPLY_UNREADABLE = _Spec(
        6023,
        logbook.ERROR,
        "a reply of a worker could not be read; it counts as lost",
        ("worker", "address", "error"),
    )
    HEARTBEAT_REJECTED = _Spec(
        6024,
        logbook.WARNING,
        "a heartbeat names no worker to use",
        ("worker", "error"),
    )
    ROWS_IGNORED = _Spec(
        6025,
        logbook.WARNING,
        "a worker lists runs that name no task",
        ("worker", "rows"),
    )
    MESSAGE_DROPPED = _Spec(
        2009,
        logbook.ERROR,
        "a message to a peer can't be sent",
        ("peer", "message_type", "error"),
    )
    ADDRESS_IN_USE = _Spec(
        2010,
        logbook.WARNING,
        "another socket uses an address of this node, which tries it again",
        ("address", "remedy"),
    )
    SELF_CONNECTED = _Spec(
        2011,
        logbook.WARNING,
        "a connection to a peer's address reached this node and was closed",
        ("address",),
    )
    PASS_CUT_SHORT = _Spec(
        6026,
        logbook.WARNING,
        "placement did not reach every waiting job; the next pass goes on",
        ("examined", "waiting", "needs"),
    )
    NEED_UNMET = _Spec(
        6027,
        logbook.WARNING,
        "tasks wait for what no worker that accepts tasks has",
        (
            "service",
            "label",
            "cpu",
            "memory_mb",
            "gpu",
            "gang_size",
            "stalled_ms",
            "jobs",
            "workers",
            "with_label",
            "accepting",
        ),
    )
    NEED_MET = _Spec(
        6028,
        logbook.INFO,
        "a worker has again what tasks have waited for",
        ("service", "label", "cpu", "memory_mb", "gpu", "gang_size"),
    )
    WORKERS_RESERVED = _Spec(
        6029,
        logbook.INFO,
        "workers are reserved for a job that others have overtaken",
        ("job", "queue", "workers", "cpu", "gang_size"),
    )
    WORKER_CRASHED = _Spec(
        6030,
        logbook.WARNING,
        "the process of a worker ended without notice, with runs on it",
        ("worker", "evidence", "runs", "rack_down"),
    )
    TASK_SUSPECTED = _Spec(
        6031,
        logbook.WARNING,
        "a worker crashed while a task ran on it",
        ("job", "step", "index", "crashes", "alone", "is_given_up"),
    )
    CLIENT_REFUSED = _Spec(
        6032,
        logbook.WARNING,
        "a client was refused or disconnected because of a limit",
        ("reason", "peer", "figure", "limit", "held_bytes"),
    )
    INTERNAL = _Spec(
        9001, logbook.ERROR, "an unexpected error was caught", ("error",)
    )

    @property
    def number(self) -> int:
        """The number of the event in docs/events.md."""
        return self.value.number


_logger = logbook.Logger("clayfield")
_bounded_handlers: list["BoundedJsonLinesHandler"] = []


def emit(event: Event, **fields: object) -> None:
    """Logs an event.

    Args:
        event: the event.
        **fields: a value for each field that the event declares.

    Raises:
        TypeError: the fields are not those that the event declares.
    """
    if set(fields) != set(event.value.fields):
        raise TypeError(
            f"event {event.name} must have the fields {event.value.fields}"
        )
    _logger.log(
        event.value.level,
        event.value.text,
        extra={"event": event, "fields": fields},
    )


class JsonLinesHandler(logbook.StreamHandler):
    """Formats each event as one line of JSON."""

    def format(self, record: logbook.LogRecord) -> str:
        """Returns the line for a log record."""
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


class BoundedJsonLinesHandler(JsonLinesHandler):
    """Writes lines to standard output, rate-limited and without blocking.

    A token bucket allows bursts of `BURST_LINES` and `LINES_PER_S` on average;
    warnings and errors pass it regardless. A line beyond the limit, or one
    that the full pipe does not accept, is dropped. The next line written has
    the number of lines dropped before it in `dropped_before`.
    """

    def __init__(self, level: int):
        super().__init__(sys.stdout, level=level)
        self._fd = sys.stdout.fileno()
        os.set_blocking(self._fd, False)
        self._tokens = BURST_LINES
        self._refilled_s = time.monotonic()
        self._dropped = 0
        self._total_dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes a record, or drops and counts it."""
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
        """Number of lines dropped since the start."""
        return self._total_dropped

    def _drop(self) -> None:
        self._dropped += 1
        self._total_dropped += 1

    def _may_write(self, record: logbook.LogRecord) -> bool:
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * LINES_PER_S
        self._refilled_s = now_s
        self._tokens = min(BURST_LINES, self._tokens + refill)
        if self._tokens < 1 and record.level < logbook.WARNING:
            return False
        self._tokens = max(0.0, self._tokens - 1)
        return True


def configure_bounded_logging(level: str) -> None:
    """Logs events to standard output, rate-limited and without blocking.

    Args:
        level: name of the lowest level to log.
    """
    handler = BoundedJsonLinesHandler(logbook.lookup_level(level.upper()))
    handler.push_application()
    _bounded_handlers.append(handler)


def dropped_line_count() -> int:
    """Returns how many lines `configure_bounded_logging` handlers dropped."""
    return sum(handler.dropped for handler in _bounded_handlers)


def configure_logging(level: str) -> None:
    """Logs events to standard error.

    Args:
        level: name of the lowest level to log.
    """
    handler = JsonLinesHandler(
        sys.stderr, level=logbook.lookup_level(level.upper())
    )
    handler.push_application()
