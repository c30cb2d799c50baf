"""What a node is told when it starts."""

Place = tuple[str, int]


class NodeSettings:
    """The settings of one node.

    Attributes:
        cluster: the name that all nodes share.
        name: this node's name, for logs.
        hall: where it stands.
        peers: where other nodes connect to it.
        seeds: where control nodes accept other nodes.
        callers: where callers connect; entries only.
        readiness: where readiness is asked for; entries only.
        operators: where operators and workers connect; control nodes only.
        advisor: who tells which workers may run advised queues, None for
            nobody; entries only.
        metrics: where figures are served, None for nowhere.
        data_folder: where state is kept; control nodes only.
        is_first_start: whether the whole cluster starts for the first time.
        losses: how many control nodes may be lost at once.
        worker_heartbeat_ms: how often workers make their statement.
        lease_ms: the longest lease that a worker takes.
        stop_ms: how long a stop takes at most.
        grace_ms: how long a planned stop may take.
        keep_ended_ms: how long it is told how a kept job ended.
        log_level: debug, info, warning or error.
    """

    __slots__ = (
        "advisor",
        "callers",
        "cluster",
        "data_folder",
        "grace_ms",
        "hall",
        "is_first_start",
        "keep_ended_ms",
        "lease_ms",
        "log_level",
        "losses",
        "metrics",
        "name",
        "operators",
        "peers",
        "readiness",
        "seeds",
        "stop_ms",
        "worker_heartbeat_ms",
    )

    def __init__(self, name: str, hall: str, peers: Place):
        self.cluster = "clayfield"
        self.name = name
        self.hall = hall
        self.peers = peers
        self.seeds: tuple[Place, ...] = ()
        self.callers: Place | None = None
        self.readiness: Place | None = None
        self.operators: Place | None = None
        self.advisor: Place | None = None
        self.metrics: Place | None = None
        self.data_folder = ""
        self.is_first_start = False
        self.losses = 1
        self.worker_heartbeat_ms = 1500.0
        self.lease_ms = 1000.0
        self.stop_ms = 50.0
        self.grace_ms = 6000.0
        self.keep_ended_ms = 120_000.0
        self.log_level = "info"


def place_text(place: Place) -> str:
    """Returns IP:PORT."""
    return f"{place[0]}:{place[1]}"
