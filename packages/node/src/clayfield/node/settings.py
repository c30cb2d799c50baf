"""The settings of a node."""

Address = tuple[str, int]


class NodeSettings:
    """The settings of one node.

    Attributes:
        cluster: name of the cluster, the same at all nodes.
        name: name of this node, for logs.
        hall: hall (zone) of this node.
        peers: address at which this node listens for other nodes.
        seeds: addresses of control nodes to connect to first.
        callers: address for callers; entry nodes only.
        readiness: address for readiness checks; entry nodes only.
        operators: address for operators and workers' heartbeats; control
            nodes only.
        advisor: address of the advisor, the service that decides which
            workers may run advised jobs, None for none; entry nodes only.
        metrics: address at which metrics are served, None for none.
        data_folder: folder for stored state; control nodes only.
        is_first_start: whether the whole cluster starts for the first time.
        losses: number of control nodes that may fail at once.
        worker_heartbeat_ms: time between a worker's heartbeats.
        lease_ms: maximum lease of a worker.
        stop_ms: maximum time that a worker needs to stop a run.
        grace_ms: maximum time of a planned stop.
        keep_ended_ms: time for which the state of an ended kept job is
            available.
        resubmit_ms: time that a caller who has lost its connection waits
            before it submits a job that is not kept again.
        memory_mb: memory that the process may use, in MB.
        max_descriptors: descriptors that the process may open.
        log_level: lowest level to log: debug, info, warning or error.
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
        "max_descriptors",
        "memory_mb",
        "metrics",
        "name",
        "operators",
        "peers",
        "readiness",
        "resubmit_ms",
        "seeds",
        "stop_ms",
        "worker_heartbeat_ms",
    )

    def __init__(self, name: str, hall: str, peers: Address):
        self.cluster = "clayfield"
        self.name = name
        self.hall = hall
        self.peers = peers
        self.seeds: tuple[Address, ...] = ()
        self.callers: Address | None = None
        self.readiness: Address | None = None
        self.operators: Address | None = None
        self.advisor: Address | None = None
        self.metrics: Address | None = None
        self.data_folder = ""
        self.is_first_start = False
        self.losses = 1
        self.worker_heartbeat_ms = 1500.0
        self.lease_ms = 1000.0
        self.stop_ms = 50.0
        self.grace_ms = 6000.0
        self.keep_ended_ms = 120_000.0
        self.resubmit_ms = 1300.0
        self.memory_mb = 300
        self.max_descriptors = 4096
        self.log_level = "info"


def format_address(address: Address) -> str:
    """Returns an address as `IP:PORT`."""
    return f"{address[0]}:{address[1]}"
