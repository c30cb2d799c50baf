"""The metrics of a node, served in the Prometheus text format."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render
from twisted.internet import interfaces

from clayfield.base.events import dropped_line_count
from clayfield.cluster import ControlNode
from clayfield.node.descriptors import MAX_SIDE_CONNECTIONS
from clayfield.node.guard import ClientGuard
from clayfield.node.httpserver import (
    TEXT_TYPE,
    HttpLimits,
    HttpRequest,
    HttpServer,
)
from clayfield.node.settings import NodeSettings
from clayfield.node.streams import Streams
from clayfield.node.workers import WorkerCommands
from clayfield.pool import EntryNode
from clayfield.wire.cluster import JobEnded

RESPONSE_BUCKETS = [10, 30, 60, 100, 200, 300, 500, 1000, 2000, 5000]


class NodeMetrics:
    """The metrics of nodes of both roles."""

    def __init__(self, streams: Streams, guard: ClientGuard) -> None:
        self._streams = streams
        self._guard = guard
        self._registry = Registry()
        self._gauges: dict[str, Gauge] = {}
        self._dropped = Counter(
            "clayfield_log_lines_dropped_total",
            "Log lines beyond the bounds.",
            registry=self._registry,
        )
        self._refused = Counter(
            "clayfield_clients_refused_total",
            "Clients refused or disconnected because of a limit, by reason.",
            registry=self._registry,
        )

    def _set(self, name: str, help_text: str, value: float) -> None:
        """Sets a gauge, creating it on first use."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(
                f"clayfield_{name}", help_text, registry=self._registry
            )
            self._gauges[name] = gauge
        gauge.set({}, value)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        self._dropped.set({}, dropped_line_count())
        self._set(
            "stream_waiting_bytes",
            "Bytes that wait to be sent to other nodes.",
            self._streams.waiting_bytes(),
        )
        self._set(
            "request_memory_bytes",
            "Memory held for clients.",
            self._guard.budget.held_bytes,
        )
        self._set(
            "request_memory_limit_bytes",
            "Most memory that is held for clients.",
            self._guard.budget.limit_bytes,
        )
        self._set(
            "waiting_readers",
            "Connections whose data waits to be read.",
            self._guard.turns.waiting,
        )
        for reason, count in self._guard.refused.items():
            self._refused.set({"reason": reason}, count)
        self._update()
        content, _ = render(self._registry, ["text/plain"])
        return content

    def _update(self) -> None:
        """Sets the gauges to the current values."""


class EntryMetrics(NodeMetrics):
    """The metrics of an entry node."""

    def __init__(
        self,
        entry: EntryNode,
        commands: WorkerCommands,
        streams: Streams,
        guard: ClientGuard,
    ):
        super().__init__(streams, guard)
        self._entry = entry
        self._commands = commands
        self._jobs_ended = Counter(
            "clayfield_jobs_ended_total",
            "Jobs answered, by queue, verdict and reason.",
            registry=self._registry,
        )
        self._response_times = Histogram(
            "clayfield_job_response_ms",
            "From a job's arrival to its answer, by queue.",
            buckets=RESPONSE_BUCKETS,
            registry=self._registry,
        )

        self._configs_received = Counter(
            "clayfield_configs_received_total",
            "Copies of configurations received from control nodes.",
            registry=self._registry,
        )

    def on_config_received(self) -> None:
        """Counts a copy of a configuration from a control node."""
        self._configs_received.inc({})

    def on_answered(
        self, queue: str, ended: JobEnded, response_ms: float
    ) -> None:
        """Counts a job whose caller got a response.

        Args:
            queue: name of the job's queue.
            ended: verdict on the job and its reason.
            response_ms: time from the job's arrival to the response.
        """
        labels = {
            "queue": queue,
            "verdict": ended.verdict.name.lower(),
            "reason": ended.reason.value,
        }
        self._jobs_ended.inc(labels)
        self._response_times.observe({"queue": queue}, response_ms)

    def _update(self) -> None:
        entry = self._entry
        self._set("open_jobs", "Jobs without an answer.", entry.open_jobs)
        self._set(
            "job_memory_bytes",
            "Memory of accepted jobs, by their steps and tasks.",
            entry.memory.total_bytes,
        )
        self._set(
            "job_memory_limit_bytes",
            "Most memory of accepted jobs.",
            entry.memory.limit_bytes,
        )
        self._set("ready", "Whether it takes callers.", int(entry.is_ready))
        self._set("config_version", "In force.", entry.routes.version)
        self._set("epoch", "Of the latest grant.", entry.grant.epoch)
        self._set(
            "failed_commands",
            "Commands not sent and replies not read.",
            self._commands.failed,
        )
        self._set(
            "waiting_commands",
            "Commands to workers that wait until fewer are open.",
            self._commands.waiting,
        )
        dispatcher = entry.dispatcher
        self._set("holding", "Whether it holds workers.", int(bool(dispatcher)))
        if dispatcher is None:
            return
        workers = dispatcher.fleet.workers.values()
        self._set("held_workers", "Workers held.", len(workers))
        self._set(
            "silent_workers",
            "Workers that do not answer.",
            sum(not worker.is_reachable for worker in workers),
        )
        self._set(
            "accepting_workers",
            "Workers that accept tasks.",
            dispatcher.accepting_workers,
        )
        self._set("held_jobs", "Jobs of all entries.", dispatcher.open_jobs)
        self._set(
            "stalled_jobs",
            "Waiting jobs of all entries that no worker can take.",
            dispatcher.stalled_jobs,
        )
        self._set(
            "longest_stall_ms",
            "How long tasks have needed what no worker has, at most.",
            dispatcher.longest_stall_ms,
        )
        self._set(
            "waiting_jobs",
            "Jobs of all entries with tasks that wait for a worker.",
            dispatcher.waiting_jobs,
        )
        self._set("runs", "Runs on workers.", sum(len(w.runs) for w in workers))


class ControlMetrics(NodeMetrics):
    """The metrics of a control node."""

    def __init__(
        self, control: ControlNode, streams: Streams, guard: ClientGuard
    ):
        super().__init__(streams, guard)
        self._control = control
        self._rejected = Counter(
            "clayfield_heartbeats_rejected_total",
            "Heartbeats that name no worker to use.",
            registry=self._registry,
        )

    def on_heartbeat_rejected(self) -> None:
        """Counts a heartbeat that names no worker to use."""
        self._rejected.inc({})

    def _update(self) -> None:
        control = self._control
        self._set("leading", "Whether it leads.", int(control.is_state_current))
        self._set("term", "Of the log.", control.consensus.term)
        self._set("log_index", "Committed.", control.consensus.commit_index)
        self._set("config_version", "In force.", control.state.version)
        self._set("epoch", "Of the latest grant.", control.state.grant.epoch)
        worker_count = len(control.workers.all())
        self._set("known_workers", "That made statements.", worker_count)


class MetricsServer:
    """Serves a node's metrics over HTTP at a separate address."""

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        metrics: NodeMetrics,
        guard: ClientGuard,
    ):
        self._metrics = metrics
        self._server = HttpServer(
            reactor,
            self._on_request,
            HttpLimits,
            guard,
            max_connections=MAX_SIDE_CONNECTIONS,
        )

    def start(self, cfg: NodeSettings) -> None:
        """Starts to listen if the settings name an address for metrics.

        Raises:
            twisted.internet.error.CannotListenError: the address can't be
                used, though no other socket has it.
        """
        if cfg.metrics:
            self._server.listen(cfg.metrics)

    def check_timeouts(self) -> None:
        """Closes connections over a time limit; to be called periodically."""
        self._server.check_timeouts()

    def _on_request(self, request: HttpRequest) -> None:
        request.respond(200, self._metrics.render(), TEXT_TYPE)
