"""The native HTTP protocol for operators and workers' heartbeats.

`/v1/routing` is the configuration of queues, services and limits as one JSON
document (GET, PUT). At `/v1/workers/NAME` a worker sends its heartbeat (PUT)
and announces that it leaves (DELETE).
"""

import msgspec

from clayfield.base import ClayfieldError, ErrorKind
from clayfield.node.httpserver import HttpRequest
from clayfield.node.interfaces import (
    HeartbeatCall,
    HttpReply,
    LeaveCall,
    OperatorCall,
    OperatorProtocol,
    ReadCall,
    RejectedHeartbeat,
    WriteCall,
)
from clayfield.wire.checks import (
    DECODE_ERRORS,
    find_document_error,
    find_heartbeat_error,
    find_table_errors,
)
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


class _Heartbeat(msgspec.Struct, forbid_unknown_fields=True):
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
    born_ms: int = 0


class _Problem(msgspec.Struct):
    code: str
    title: str
    detail: str
    remedy: str


_routing_decoder = msgspec.json.Decoder(_Routing)
_heartbeat_decoder = msgspec.json.Decoder(_Heartbeat)


class NativeOperators(OperatorProtocol):
    """Decodes operators' requests and workers' heartbeats."""

    def read_call(self, request: HttpRequest) -> OperatorCall:
        """Returns the decoded call, or the response to an invalid request."""
        path = request.path.partition("?")[0]
        try:
            if path == ROUTING_PATH:
                return _read_routing_call(request)
            if path.startswith(WORKERS_PREFIX):
                name = path.removeprefix(WORKERS_PREFIX)
                return _read_worker_call(request, name)
        except ClayfieldError as exc:
            return _problem(exc)
        return _problem(ClayfieldError(ErrorKind.NOT_FOUND, path))

    def read_table(self, document: bytes) -> RoutingTable:
        """Returns the routing table of a valid configuration."""
        return _to_table(_routing_decoder.decode(document))

    def write_redirect(self, host: str, port: int, path: str) -> HttpReply:
        """Returns a redirect to the same path at another node."""
        location = f"http://{host}:{port}{path}"
        return HttpReply(307, headers=(("Location", location),))


def _decode(body: bytes, decoder: msgspec.json.Decoder) -> msgspec.Struct:
    try:
        return decoder.decode(body)
    except msgspec.ValidationError as exc:
        raise ClayfieldError(ErrorKind.BAD_FIELD, f"{exc}.") from exc
    except DECODE_ERRORS as exc:
        raise ClayfieldError(ErrorKind.BAD_JSON, f"{exc}.") from exc


def _read_routing_call(request: HttpRequest) -> OperatorCall:
    if request.method == "GET":
        return ReadCall()
    if request.method != "PUT":
        raise ClayfieldError(
            ErrorKind.NOT_FOUND, f"{request.method} is not served."
        )
    routing = _decode(request.body, _routing_decoder)
    error = find_document_error(request.body)
    if error:
        raise ClayfieldError(ErrorKind.BAD_JSON, error)
    errors = find_table_errors(_to_table(routing))
    if errors:
        raise ClayfieldError(ErrorKind.BAD_CONFIG, " ".join(errors))
    return WriteCall(routing.version, request.body)


def _read_worker_call(request: HttpRequest, name: str) -> OperatorCall:
    if request.method == "DELETE":
        return LeaveCall(name)
    if request.method != "PUT":
        raise ClayfieldError(
            ErrorKind.NOT_FOUND, f"{request.method} is not served."
        )
    try:
        return HeartbeatCall(_read_worker_info(request, name))
    except ClayfieldError as exc:
        return RejectedHeartbeat(name, exc.problem.detail, _problem(exc))


def _read_worker_info(request: HttpRequest, name: str) -> WorkerInfo:
    """Returns the worker that a heartbeat describes.

    Raises:
        ClayfieldError: of kind BAD_JSON or BAD_FIELD.
    """
    heartbeat = _decode(request.body, _heartbeat_decoder)
    info = WorkerInfo(
        name,
        heartbeat.service,
        heartbeat.address,
        heartbeat.hall,
        heartbeat.state,
        heartbeat.sequence,
        heartbeat.cpu,
        heartbeat.memory_mb,
        heartbeat.gpu,
        heartbeat.labels,
        heartbeat.rack,
        heartbeat.born_ms,
    )
    error = find_heartbeat_error(info)
    if error:
        raise ClayfieldError(ErrorKind.BAD_FIELD, error)
    return info


def _to_table(routing: _Routing) -> RoutingTable:
    limits = routing.limits
    return RoutingTable(
        routing.version,
        tuple(_to_route(queue) for queue in routing.queues),
        tuple(
            Service(
                service.name,
                service.max_connections,
                service.enforces_capacity,
            )
            for service in routing.services
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
