"""HTTP interface for operators: configuration, status, metrics, health."""

import msgspec
from twisted.web import http, resource, server

from clayfield.base import ClayfieldError, ErrorKind, Problem
from clayfield.base.events import Event, emit
from clayfield.box import ApplyFinished, BoxCore
from clayfield.config import encode_config, parse
from clayfield.daemon.http import (
    JSON_TYPE,
    GetResource,
    ProblemResource,
    token_hash,
    write_json,
    write_problem,
)
from clayfield.daemon.metrics import Metrics

HTTP_UNAVAILABLE = 503


class ConfigAccepted(msgspec.Struct, frozen=True):
    """Response body for an accepted configuration file.

    Attributes:
        version: the version that the file became.
    """

    version: int


class PeerStatus(msgspec.Struct, frozen=True):
    """State of another box, from the information on this box.

    Attributes:
        box: name of the box.
        hall: hall of the box.
        is_live: whether its heartbeats arrive.
        config_version: version it reported last, 0 if it reported none.
    """

    box: str
    hall: str
    is_live: bool
    config_version: int


class GroupStatus(msgspec.Struct, frozen=True):
    """State of a replicated group, from the information on this box.

    Attributes:
        group: name of the group.
        leader: node that leads it, "" if not known.
        term: the current term, 0 if this box is no member.
        voters: nodes that vote, empty if this box is no member.
        is_voter: whether this box votes.
        is_open: whether the group's state machine accepts commands.
    """

    group: str
    leader: str
    term: int
    voters: list[str]
    is_voter: bool
    is_open: bool


class Status(msgspec.Struct, frozen=True):
    """Response body for the state of one box.

    Attributes:
        box: name of the box.
        hall: hall of the box.
        node: name of this process, with its incarnation.
        is_ready: whether the box can serve callers.
        config_version: version of the configuration in force, 0 for none.
        open_submissions: number of submissions without an answer.
        key_prefixes: by hall, the prefix of new keys with that home hall.
        peers: the other boxes.
        groups: the replicated groups that this box takes part in.
    """

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
    for box, address in identity.boxes.items():
        peer = core.peers.get(box)
        if box != identity.box:
            heartbeat = peer.heartbeat if peer else None
            peers.append(
                PeerStatus(
                    box,
                    address.hall,
                    core.peers.is_live(box),
                    heartbeat.config_version if heartbeat else 0,
                )
            )
    return Status(
        identity.box,
        identity.hall,
        identity.node,
        core.is_ready,
        core.cfg.version,
        core.submissions.open_count,
        {
            hall: f"{hall}.{registry.table.start_count}:"
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
    """State shared by the HTTP resources for operators.

    Attributes:
        core: the state machine of the box.
        pending_requests: requests to apply a file that have no response yet,
            by the number that `BoxCore.apply` returned.
    """

    def __init__(self, core: BoxCore):
        self.core = core
        self.pending_requests: dict[int, http.Request] = {}

    def authenticate(self, request: http.Request) -> None:
        """Checks that a request has the bearer token of an operator.

        Raises:
            ClayfieldError: of kind UNAUTHENTICATED.
        """
        token = token_hash(request)
        for operator in self.core.cfg.operators.values():
            if token in operator.tokens:
                return
        raise ClayfieldError(ErrorKind.UNAUTHENTICATED)

    def on_applied(self, action: ApplyFinished) -> None:
        """Responds to the request that submitted a configuration file."""
        request = self.pending_requests.pop(action.request, None)
        if request is None:
            return
        if action.code:
            emit(Event.CONFIG_REJECTED, error=action.detail)
            problem = Problem(ErrorKind.from_code(action.code), action.detail)
            body = write_problem(request, problem)
        else:
            body = write_json(request, ConfigAccepted(action.version))
        request.write(body)
        request.finish()


class _ConfigResource(ProblemResource):
    def __init__(self, operators: Operators):
        super().__init__()
        self._operators = operators

    def render_GET(self, request: http.Request) -> bytes:  # noqa: N802
        """Returns the configuration in force."""
        self._operators.authenticate(request)
        request.setHeader(b"content-type", JSON_TYPE)
        return encode_config(self._operators.core.cfg)

    def render_PUT(self, request: http.Request) -> int:  # noqa: N802
        """Submits a configuration file; the response is sent once decided."""
        operators = self._operators
        operators.authenticate(request)
        try:
            text = request.content.read().decode()
        except UnicodeDecodeError as exc:
            raise ClayfieldError(ErrorKind.BAD_CONFIG, f"{exc}.") from exc
        request_id = operators.core.apply(parse(text))
        operators.pending_requests[request_id] = request
        request.notifyFinish().addErrback(
            lambda _: operators.pending_requests.pop(request_id, None)
        )
        return server.NOT_DONE_YET


def make_root(
    operators: Operators, metrics: Metrics, callers: resource.Resource
) -> resource.Resource:
    """Returns the root resource of the port for operators.

    Args:
        operators: state that the resources share.
        metrics: the metrics of the box.
        callers: resource for `/v1/submissions`, served on this port, too.
    """
    core = operators.core

    def status(request: http.Request) -> bytes:
        operators.authenticate(request)
        return write_json(request, read_status(core))

    def scrape(request: http.Request) -> bytes:
        request.setHeader(b"content-type", b"text/plain; version=0.0.4")
        return metrics.render()

    root = resource.Resource()
    versioned = resource.Resource()
    root.putChild(b"v1", versioned)
    versioned.putChild(b"config", _ConfigResource(operators))
    versioned.putChild(b"status", GetResource(status))
    versioned.putChild(b"submissions", callers)
    root.putChild(b"metrics", GetResource(scrape))
    add_health(root, core)
    return root


def add_health(root: resource.Resource, core: BoxCore) -> None:
    """Adds the resources `/healthz` and `/readyz`."""

    def health(request: http.Request) -> bytes:
        return b"ok\n"

    def ready(request: http.Request) -> bytes:
        if core.is_ready:
            return b"ready\n"
        request.setResponseCode(HTTP_UNAVAILABLE)
        return b"not ready\n"

    root.putChild(b"healthz", GetResource(health))
    root.putChild(b"readyz", GetResource(ready))
