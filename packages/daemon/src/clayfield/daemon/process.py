"""Starts and stops the process of one box.

Assembles the runtime, the HTTP ports for callers and operators, and the signal
handlers.
"""

import gc
import random
import signal
from collections.abc import Callable

from twisted.internet import defer, error, interfaces, reactor
from twisted.web import resource

from clayfield.base import MonotonicClock, use_monotonic_timers
from clayfield.base.events import Event, emit
from clayfield.base.turns import ReadScheduler
from clayfield.box import Identity
from clayfield.daemon import callers, operators
from clayfield.daemon.certificates import Certificates
from clayfield.daemon.fair_http import FairFactory
from clayfield.daemon.http import LimitedSite, RequestLimits
from clayfield.daemon.runtime import Runtime
from clayfield.daemon.settings import DaemonSettings
from clayfield.daemon.store import Store
from clayfield.daemon.tracing import Tracing

# Allocations between garbage collections of the youngest generation.
GC_THRESHOLD = 20_000


class Process:
    """The process of one box.

    Attributes:
        failure: reason why the process failed, "" if it did not.
        is_drained: whether the planned stop let every submission end.
    """

    def __init__(self, cfg: DaemonSettings, incarnation: int):
        """Opens the data folder and reads the certificates.

        Args:
            cfg: the settings.
            incarnation: a number that rises with each start of this box.

        Raises:
            ClayfieldError: the folder or a certificate cannot be used.
        """
        self.failure = ""
        self.is_drained = False
        use_monotonic_timers(reactor, MonotonicClock())
        self._cfg = cfg
        store = Store(cfg.data_folder) if cfg.data_folder else None
        identity = Identity(
            cfg.box, incarnation, cfg.boxes, store.disk_id if store else 0
        )
        self._identity = identity
        self._certificates = Certificates(cfg.tls_key, cfg.tls_certificate)
        self._runtime = Runtime(
            reactor, cfg, identity, store, _make_tracing(cfg)
        )
        self._turns = ReadScheduler(reactor)
        self._ports: list[interfaces.IListeningPort] = []
        self._is_stopping = False

    def run(self) -> None:
        """Runs until SIGTERM or SIGINT; SIGHUP reloads the certificates."""
        # Claims are many, live long and form no reference cycles, so that
        # frequent collections would cost time and free nothing.
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD)
        reactor.callWhenRunning(self._start)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: _call_from_signal(self.stop))
        signal.signal(signal.SIGHUP, lambda *_: _call_from_signal(self.reload))
        reactor.run(installSignalHandlers=False)

    def _start(self) -> None:
        try:
            self._runtime.start()
            self._listen()
        except error.CannotListenError as exc:
            self.failure = str(exc)
            reactor.stop()

    def _on_failure(self, failure: object) -> None:
        self.failure = failure.getErrorMessage()
        reactor.stop()

    def _listen(self) -> None:
        core = self._runtime.core
        limits = RequestLimits(
            reactor,
            lambda: core.cfg.limits.body_bytes,
            self._cfg.request_ms,
            self._cfg.header_bytes,
        )
        submissions = callers.make_root(
            callers.Callers(
                core, self._runtime.tracing, self._runtime.schedule_actions
            )
        )
        callers_root = resource.Resource()
        versioned = resource.Resource()
        callers_root.putChild(b"v1", versioned)
        versioned.putChild(b"submissions", submissions)
        operators.add_health(callers_root, core)
        operators_root = operators.make_root(
            self._runtime.operators,
            self._runtime.metrics,
            submissions,
        )
        self._listen_on(self._cfg.callers, callers_root, limits)
        self._listen_on(self._cfg.operators, operators_root, limits)
        emit(
            Event.STARTED,
            box=self._identity.box,
            hall=self._identity.hall,
            incarnation=self._identity.incarnation,
            callers=_format_port(self._ports[0]),
            peers=self._identity.boxes[self._identity.box].address,
        )

    def _listen_on(
        self,
        address: tuple[str, int],
        root: resource.Resource,
        limits: RequestLimits,
    ) -> None:
        host, port = address
        site = FairFactory(LimitedSite(root, limits), self._turns)
        if self._certificates.is_used:
            listening = reactor.listenSSL(
                port, site, self._certificates, interface=host
            )
        else:
            listening = reactor.listenTCP(port, site, interface=host)
        self._ports.append(listening)

    def reload(self) -> None:
        """Reads the certificates for callers and operators again."""
        self._certificates.reload()

    def stop(self) -> None:
        """Starts a planned stop, unless one is in progress."""
        if self._is_stopping:
            return
        self._is_stopping = True
        defer.ensureDeferred(self._stop()).addErrback(self._on_failure)

    async def _stop(self) -> None:
        self.is_drained = await self._runtime.drain()
        for port in self._ports:
            await defer.maybeDeferred(port.stopListening)
        self._runtime.stop()
        emit(Event.STOPPED, drained=self.is_drained)
        reactor.stop()


def _call_from_signal(function: Callable[[], None]) -> None:
    """Calls a function in the reactor's thread, outside the handler."""
    reactor.callFromThread(function)


def _format_port(port: interfaces.IListeningPort) -> str:
    host = port.getHost()
    return f"{host.host}:{host.port}"


def _make_tracing(cfg: DaemonSettings) -> Tracing:
    exporter = None
    if cfg.trace_endpoint:
        from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
            OTLPSpanExporter,
        )

        exporter = OTLPSpanExporter(endpoint=cfg.trace_endpoint)
    return Tracing(
        cfg.box,
        exporter,
        cfg.trace_percent,
        random.Random(),
    )
