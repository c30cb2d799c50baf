"""The operators' interface: configuration, status, metrics, health."""

import msgspec
from twisted.web import http, resource, server

from clayfield.base import ClayfieldError, Kind, Problem
from clayfield.base.events import Event, emit
from clayfield.box import Applied, BoxCore
from clayfield.config import parse, to_bytes
from clayfield.daemon.http import (
    JSON_TYPE,
    Endpoint,
    Leaf,
    token_hash,
    write_json,
    write_problem,
)
from clayfield.daemon.metrics import Metrics

UNAVAILABLE = 503


class Accepted(msgspec.Struct, frozen=True):
    """The answer to an accepted file."""

    version: int


class PeerStatus(msgspec.Struct, frozen=True):
    """A peer as this box sees it."""

    box: str
    hall: str
    is_live: bool
    config_version: int


class GroupStatus(msgspec.Struct, frozen=True):
    """A replicated group as this box sees it."""

    group: str
    leader: str
    term: int
    voters: list[str]
    is_voter: bool
    is_open: bool


class Status(msgspec.Struct, frozen=True):
    """The state of one box."""

    box: str
    hall: str
    node: str
    is_ready: bool
    config_version: int
    open_submissions: int
    key_prefixes: dict[str, str]
    peers: list[PeerStatus]
    groups: list[GroupStatus]


def read_status(core: BoxCore) -> Status:
    """Returns the state of a box."""
    identity = core.identity
    peers = []
    for box, place in identity.boxes.items():
        peer = core.peers.get(box)
        if box != identity.box:
            beat = peer.beat if peer else None
            peers.append(
                PeerStatus(
                    box,
                    place.hall,
                    core.peers.is_live(box),
                    beat.config_version if beat else 0,
                )
            )
    return Status(
        identity.box,
        identity.hall,
        identity.node,
        core.is_ready,
        core.cfg.version,
        core.entry.open_count,
        {
            hall: f"{hall}.{registry.table.count}:"
            for hall, registry in core.registries.items()
        },
        peers,
        _read_groups(core),
    )


def _read_groups(core: BoxCore) -> list[GroupStatus]:
    groups = []
    for group in core.groups:
        consensus = group.consensus
        groups.append(
            GroupStatus(
                group.base,
                group.leader,
                consensus.term if consensus else 0,
                list(consensus.members.voters) if consensus else [],
                group.is_voter,
                group.machine.is_open,
            )
        )
    return groups


class Operators:
    """What the resources for operators share.

    Attributes:
        core: the box's decisions.
        waiting: requests that wait for the control log, by number.
    """

    def __init__(self, core: BoxCore):
        self.core = core
        self.waiting: dict[int, http.Request] = {}

    def check(self, request: http.Request) -> None:
        """Checks that a request comes from an operator.

        Raises:
            ClayfieldError: of kind UNAUTHENTICATED.
        """
        token = token_hash(request)
        for operator in self.core.cfg.operators.values():
            if token in operator.tokens:
                return
        raise ClayfieldError(Kind.UNAUTHENTICATED)

    def on_applied(self, action: Applied) -> None:
        """Answers the request that waits for a file's fate."""
        request = self.waiting.pop(action.request, None)
        if request is None:
            return
        if action.code:
            emit(Event.CONFIG_REJECTED, error=action.detail)
            problem = Problem(Kind.from_code(action.code), action.detail)
            body = write_problem(request, problem)
        else:
            body = write_json(request, Accepted(action.version))
        request.write(body)
        request.finish()


class _Config(Endpoint):
    def __init__(self, operators: Operators):
        super().__init__()
        self._operators = operators

    def render_GET(self, request: http.Request) -> bytes:  # noqa: N802
        """Gives the configuration in force."""
        self._operators.check(request)
        request.setHeader(b"content-type", JSON_TYPE)
        return to_bytes(self._operators.core.cfg)

    def render_PUT(self, request: http.Request) -> int:  # noqa: N802
        """Takes a whole file."""
        operators = self._operators
        operators.check(request)
        try:
            text = request.content.read().decode()
        except UnicodeDecodeError as exc:
            raise ClayfieldError(Kind.BAD_CONFIG, f"{exc}.") from exc
        number = operators.core.apply(parse(text))
        operators.waiting[number] = request
        request.notifyFinish().addErrback(
            lambda _: operators.waiting.pop(number, None)
        )
        return server.NOT_DONE_YET


def make_root(
    operators: Operators, metrics: Metrics, callers: resource.Resource
) -> resource.Resource:
    """Returns the resources of the operators' port.

    Args:
        operators: what they share.
        metrics: of the box.
        callers: the callers' resources, served here as well.
    """
    core = operators.core

    def status(request: http.Request) -> bytes:
        operators.check(request)
        return write_json(request, read_status(core))

    def scrape(request: http.Request) -> bytes:
        request.setHeader(b"content-type", b"text/plain; version=0.0.4")
        return metrics.render()

    root = resource.Resource()
    versioned = resource.Resource()
    root.putChild(b"v1", versioned)
    versioned.putChild(b"config", _Config(operators))
    versioned.putChild(b"status", Leaf(status))
    versioned.putChild(b"submissions", callers)
    root.putChild(b"metrics", Leaf(scrape))
    add_health(root, core)
    return root


def add_health(root: resource.Resource, core: BoxCore) -> None:
    """Adds `/healthz` and `/readyz`."""

    def health(request: http.Request) -> bytes:
        return b"ok\n"

    def ready(request: http.Request) -> bytes:
        if core.is_ready:
            return b"ready\n"
        request.setResponseCode(UNAVAILABLE)
        return b"not ready\n"

    root.putChild(b"healthz", Leaf(health))
    root.putChild(b"readyz", Leaf(ready))
