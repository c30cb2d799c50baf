"""How operators write the routing and workers state themselves.

`/v1/routing` holds the whole routing as JSON; `/v1/workers/NAME` takes a
worker's statement (PUT) and its leave (DELETE).
"""

import msgspec

from clayfield.base import ClayfieldError, Kind
from clayfield.node.faces import (
    HttpReply,
    LeaveCall,
    OperatorCall,
    OperatorProtocol,
    ReadCall,
    StatementCall,
    WriteCall,
)
from clayfield.node.httpserver import HttpRequest
from clayfield.wire.jobs import (
    Limits,
    Route,
    RoutingTable,
    Service,
    WorkerInfo,
    WorkerState,
)

ROUTING_PATH = "/v1/routing"
WORKERS_PREFIX = "/v1/workers/"
QUEUES_PREFIX = "/v1/queues/"


class _Queue(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    service: str
    timeout_ms: float
    host: str = ""
    target_ms: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    advised: bool = False


class _Service(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    max_connections: int = 64
    enforces_capacity: bool = True


class _Limits(msgspec.Struct, forbid_unknown_fields=True):
    header_bytes: int = 16384
    body_bytes: int = 262144
    header_ms: float = 3000.0
    idle_ms: float = 15000.0


class _Routing(msgspec.Struct, forbid_unknown_fields=True):
    version: int
    queues: list[_Queue]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Statement(msgspec.Struct, forbid_unknown_fields=True):
    service: str
    address: str
    hall: str
    state: WorkerState
    sequence: int
    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0
    labels: tuple[str, ...] = ()
    rack: str = ""


class _Problem(msgspec.Struct):
    code: str
    title: str
    detail: str
    remedy: str


_routing_decoder = msgspec.json.Decoder(_Routing)
_statement_decoder = msgspec.json.Decoder(_Statement)


class OwnOperators(OperatorProtocol):
    """Whole routings, and workers that state themselves."""

    def read_call(self, request: HttpRequest) -> OperatorCall:
        """Returns what a request asks for, or its answer at once."""
        path = request.path.partition("?")[0]
        try:
            if path == ROUTING_PATH:
                return _read_routing_call(request)
            if path.startswith(WORKERS_PREFIX):
                name = path.removeprefix(WORKERS_PREFIX)
                return _read_worker_call(request, name)
        except ClayfieldError as exc:
            return _problem(exc)
        return _problem(ClayfieldError(Kind.NOT_FOUND, path))

    def read_table(self, document: bytes) -> RoutingTable:
        """Returns the routes of a routing that was found valid."""
        return _to_table(_routing_decoder.decode(document))

    def write_redirect(self, host: str, port: int, path: str) -> HttpReply:
        """Returns the answer that sends an operator to another node."""
        location = f"http://{host}:{port}{path}"
        return HttpReply(307, headers=(("Location", location),))


def _decode(body: bytes, decoder: msgspec.json.Decoder) -> msgspec.Struct:
    try:
        return decoder.decode(body)
    except msgspec.ValidationError as exc:
        raise ClayfieldError(Kind.BAD_FIELD, f"{exc}.") from exc
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise ClayfieldError(Kind.BAD_JSON, f"{exc}.") from exc


def _read_routing_call(request: HttpRequest) -> OperatorCall:
    if request.method == "GET":
        return ReadCall()
    if request.method != "PUT":
        raise ClayfieldError(Kind.NOT_FOUND, f"{request.method} is not served.")
    routing = _decode(request.body, _routing_decoder)
    _check(routing)
    return WriteCall(routing.version, request.body)


def _check(routing: _Routing) -> None:
    """Refuses a routing as a whole, naming every fault.

    Raises:
        ClayfieldError: of kind BAD_CONFIG.
    """
    faults: list[str] = []
    if routing.version < 1:
        faults.append(f"version {routing.version} is not above 0.")
    services = {service.name for service in routing.services}
    seen: set[tuple[str, str]] = set()
    for queue in routing.queues:
        if queue.service not in services:
            faults.append(f"{queue.name}: no service {queue.service!r}.")
        if queue.timeout_ms <= 0:
            faults.append(f"{queue.name}: timeout_ms is not above 0.")
        if (queue.host, queue.name) in seen:
            faults.append(f"{queue.name}: stands twice.")
        seen.add((queue.host, queue.name))
    if faults:
        raise ClayfieldError(Kind.BAD_CONFIG, " ".join(faults))


def _read_worker_call(request: HttpRequest, name: str) -> OperatorCall:
    if request.method == "DELETE":
        return LeaveCall(name)
    if request.method != "PUT":
        raise ClayfieldError(Kind.NOT_FOUND, f"{request.method} is not served.")
    said = _decode(request.body, _statement_decoder)
    return StatementCall(
        WorkerInfo(
            name,
            said.service,
            said.address,
            said.hall,
            said.state,
            said.sequence,
            said.cpu,
            said.memory_mb,
            said.gpu,
            said.labels,
            said.rack,
        )
    )


def _to_table(routing: _Routing) -> RoutingTable:
    limits = routing.limits
    return RoutingTable(
        routing.version,
        tuple(_to_route(queue) for queue in routing.queues),
        tuple(
            Service(one.name, one.max_connections, one.enforces_capacity)
            for one in routing.services
        ),
        Limits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_ms,
            limits.idle_ms,
        ),
    )


def _to_route(queue: _Queue) -> Route:
    return Route(
        queue.name,
        queue.host,
        f"{QUEUES_PREFIX}{queue.name}/",
        queue.service,
        queue.timeout_ms,
        queue.target_ms,
        queue.priority,
        queue.max_attempts,
        queue.stretch,
        queue.advised,
    )


def _problem(exc: ClayfieldError) -> HttpReply:
    kind = exc.kind
    body = _Problem(kind.code, kind.title, exc.problem.detail, kind.remedy)
    return HttpReply(kind.status, msgspec.json.encode(body))
