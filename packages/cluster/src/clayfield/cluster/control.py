"""A control node: its replica of the control log and its messages to others.

Control nodes vote in the replicated control log, which holds the
configuration, the grant and the kept jobs. They push these, and the
heartbeats of workers, to the entry nodes.
"""

import random

from clayfield.base import Clock
from clayfield.base.events import Event, emit
from clayfield.cluster.actions import (
    Action,
    Broadcast,
    Persist,
    Send,
    SendConfig,
    WriteFinished,
    WriteOutcome,
)
from clayfield.cluster.config_pushes import ConfigPushes
from clayfield.cluster.control_state import (
    ControlState,
    SetConfig,
    encode_command,
)
from clayfield.cluster.holder_selection import HolderSelector
from clayfield.cluster.job_store_leader import JobStoreLeader
from clayfield.cluster.voters import VoterPolicy
from clayfield.cluster.workers import WorkerDirectory
from clayfield.state import (
    Append,
    Consensus,
    HardState,
    LogCreated,
    Ready,
    Record,
    RestoredState,
    Timing,
    encode_members,
)
from clayfield.state.membership import box_of
from clayfield.wire.cluster import (
    ConfigPush,
    ControlNodes,
    EntryStatus,
    Grant,
    NodeGreeting,
    WorkerLeft,
    WorkersPush,
)
from clayfield.wire.job_store import LoadJobs, WriteJobs
from clayfield.wire.jobs import WorkerInfo
from clayfield.wire.messages import (
    AppendRequest,
    GroupMessage,
    Members,
    Message,
)

GROUP = "control"
ENTRY_ROLE = "entry"
CONTROL_ROLE = "control"
# Time between checks whether entry nodes lack the grant.
RESEND_INTERVAL_MS = 200.0
# Time after which an uncommitted write is answered with an unknown outcome.
WRITE_TIMEOUT_MS = 3000.0
TIMING = Timing(
    election_timeout_ms=500.0,
    heartbeat_interval_ms=100.0,
    snapshot_threshold=64,
)


def make_initial_records(voters: tuple[str, ...]) -> list[Record]:
    """Returns the initial contents of the store of each first voter.

    Args:
        voters: names of the first voters.
    """
    return [
        LogCreated(GROUP),
        HardState(1, ""),
        Append(1, encode_members(1, Members(voters))),
    ]


class _PendingWrite:
    """An operator's write that is not yet committed."""

    __slots__ = ("document", "since_ms", "term", "version")

    def __init__(
        self, version: int, document: bytes, term: int, since_ms: float
    ):
        self.version = version
        self.document = document
        self.term = term
        self.since_ms = since_ms

    def is_same(self, other: "_PendingWrite") -> bool:
        """Returns whether another write proposes the same in the same term."""
        return (
            self.term == other.term
            and self.version == other.version
            and self.document == other.document
        )


class ControlNode:
    """The logic of one control node.

    Attributes:
        node: name of this node.
        consensus: this node's replica of the control log.
        state: replicated state, as far as this node has applied the log.
        workers: workers that have sent heartbeats.
    """

    def __init__(
        self,
        node: str,
        clock: Clock,
        rng: random.Random,
        stored: RestoredState,
        voters: VoterPolicy,
        heartbeat_ms: float,
        keep_ended_ms: float = 120_000.0,
    ):
        """Restores a node from its stored state.

        Args:
            node: name of this node.
            clock: source of the current time.
            rng: randomizes the election timeout.
            stored: restored term, vote and log.
            voters: policy that selects the voters.
            heartbeat_ms: time between the heartbeats of a worker.
            keep_ended_ms: time for which the end state of a kept job is
                stored.
        """
        self.node = node
        self._clock = clock
        self._voters = voters
        self.state = ControlState(clock)
        self.consensus = Consensus(
            GROUP,
            node,
            self.state,
            clock,
            rng,
            TIMING,
            stored.hard_state,
            stored.log,
        )
        self.workers = WorkerDirectory(clock, heartbeat_ms)
        self._holder_selector = HolderSelector(clock)
        self._config_pushes = ConfigPushes()
        self._job_store_leader = JobStoreLeader(
            clock, self.consensus, self.state, keep_ended_ms
        )
        self._control_nodes: dict[str, str] = {}
        self._addresses: set[str] = set()
        self._actions: list[Action] = []
        self._pending_writes: dict[int, _PendingWrite] = {}
        self._published_version = 0
        self._published_epoch = 0
        self._next_resend_ms = 0.0

    # Queries.

    @property
    def leader_address(self) -> str:
        """Address at which nodes connect to the leader, "" if unknown."""
        leader = self.consensus.leader
        if not leader or (
            leader != self.node and leader not in self._control_nodes
        ):
            return ""
        return box_of(leader)

    @property
    def is_state_current(self) -> bool:
        """Whether this node leads and its state is certain to be the latest."""
        return self.consensus.has_lease and self.consensus.has_committed_in_term

    @property
    def has_entry_nodes(self) -> bool:
        """Whether an entry node is connected."""
        return bool(self._holder_selector.nodes())

    def reported_version(self, entry: str) -> int:
        """Returns the configuration that an entry node reported, 0 if none."""
        status = self._holder_selector.status_of(entry)
        return status.config_version if status else 0

    @property
    def addresses(self) -> set[str]:
        """Known addresses of the other control nodes."""
        return self._addresses - {box_of(self.node)}

    # Events.

    def add_addresses(self, addresses: tuple[str, ...]) -> None:
        """Adds addresses of control nodes; tells connected nodes of new ones.

        Each node passes on an address once, so all learn of it.
        """
        if self._addresses.issuperset(addresses):
            return
        self._addresses.update(addresses)
        self._actions.append(Broadcast(self._known_addresses()))
        for node in self._control_nodes:
            self._send_addresses(node)

    def on_connected(self, greeting: NodeGreeting) -> None:
        """Handles a new connection of a node."""
        if greeting.role == ENTRY_ROLE:
            self._holder_selector.on_connected(greeting)
            self._config_pushes.on_connected(greeting.node)
            self._send_current_state(greeting.node)
        else:
            self._control_nodes[greeting.node] = greeting.hall
            self.add_addresses((box_of(greeting.node),))
        self._send_addresses(greeting.node)

    def _send_current_state(self, entry: str) -> None:
        self._push_config(entry)
        if self.state.grant.epoch:
            self._send(entry, self.state.grant)
        self._send(entry, WorkersPush(self.workers.all()))

    def _send_addresses(self, node: str) -> None:
        self._send(node, self._known_addresses())

    def _known_addresses(self) -> ControlNodes:
        addresses = (*self.addresses, box_of(self.node))
        return ControlNodes(tuple(sorted(addresses)))

    def on_stream_lost(self, node: str) -> None:
        """Handles the loss of a stream to a node while another stays open."""
        if self._holder_selector.status_of(node):
            self._config_pushes.on_stream_lost(node)
            self._send_current_state(node)
        self._send_addresses(node)

    def on_disconnected(self, node: str) -> None:
        """Handles the end of the connection of a node."""
        self._holder_selector.on_disconnected(node)
        self._config_pushes.on_disconnected(node)
        if self._control_nodes.pop(node, None) is not None:
            self.consensus.on_disconnected(box_of(node))

    def on_data(self, node: str, is_in_message: bool) -> None:
        """Handles the arrival of bytes from a node.

        Args:
            node: the node.
            is_in_message: whether the rest of a message is still to arrive.
        """
        if node in self._control_nodes:
            self.consensus.on_data(node, is_in_message)

    def on_message(self, node: str, message: Message) -> None:
        """Handles a message of a node."""
        match message:
            case GroupMessage(source=source, to=to, body=body):
                if to == self.node:
                    self.consensus.on_message(source, body)
            case EntryStatus():
                self._on_entry_status(node, message)
                if self.is_state_current:
                    self._actions += self._job_store_leader.on_status(
                        node, message
                    )
            case LoadJobs():
                if self.is_state_current:
                    self._actions += self._job_store_leader.on_load(
                        node, message
                    )
            case WriteJobs():
                if self.is_state_current:
                    self._job_store_leader.on_write(node, message)
            case ControlNodes(addresses=addresses):
                self.add_addresses(addresses)

    def _on_entry_status(self, node: str, status: EntryStatus) -> None:
        self._holder_selector.on_status(node, status)
        self._push_config(node)

    def _push_config(self, entry: str) -> None:
        """Sends the configuration to an entry node if that is due."""
        status = self._holder_selector.status_of(entry)
        version = self.state.version
        if status and self._config_pushes.is_due(entry, status, version):
            is_repeated = self._config_pushes.on_sent(entry, version)
            push = ConfigPush(version, self.state.document)
            self._actions.append(SendConfig(entry, push, is_repeated))

    def on_worker_heartbeat(self, info: WorkerInfo) -> None:
        """Handles a heartbeat of a worker."""
        if self.workers.on_heartbeat(info):
            self._actions.append(Broadcast(WorkersPush((info,))))

    def on_worker_removed(self, name: str) -> None:
        """Handles the announcement of a worker that it has left."""
        born_ms = self.workers.on_leave(name)
        self._actions.append(Broadcast(WorkerLeft(name, born_ms)))

    def write_config(self, request: int, version: int, document: bytes) -> bool:
        """Proposes a configuration; a `WriteFinished` action follows.

        Args:
            request: number of the request, repeated in the action.
            version: version of the configuration.
            document: the configuration as the operator wrote it.

        Returns:
            Whether the write was accepted; only the leader accepts writes.
        """
        if not self.is_state_current:
            return False
        write = _PendingWrite(
            version, document, self.consensus.term, self._clock.now_ms()
        )
        if version <= self.state.version:
            self._finish_write(request, write, WriteOutcome.IN_FORCE)
            return True
        if any(write.is_same(other) for other in self._pending_writes.values()):
            # The operator sent it again; it is in the log of this term once.
            self._pending_writes[request] = write
            return True
        command = encode_command(SetConfig(version, document))
        position = self.consensus.propose(command)
        if position is None:
            return False
        emit(
            Event.CONFIG_PROPOSED,
            version=version,
            index=position[0],
            bytes=len(document),
        )
        self._pending_writes[request] = write
        return True

    def on_persisted(self, last_index: int) -> None:
        """Records that the entries up to an index are on stable storage."""
        self.consensus.on_persisted(last_index)

    def tick(self) -> None:
        """Runs the periodic work.

        Runs consensus, the work of the leader, the removal of expired workers,
        and the resending of the grant to entry nodes.
        """
        self.consensus.tick()
        if self.is_state_current:
            self._run_leader_work()
        else:
            self._holder_selector.on_leadership_lost()
        if not self.consensus.is_leader:
            self._job_store_leader.on_leadership_lost()
        self.workers.remove_expired()
        now_ms = self._clock.now_ms()
        if now_ms >= self._next_resend_ms:
            self._next_resend_ms = now_ms + RESEND_INTERVAL_MS
            for entry in self._holder_selector.nodes():
                self._resend_grant(entry)

    def _resend_grant(self, entry: str) -> None:
        """Resends the grant if an entry node lacks it."""
        status = self._holder_selector.status_of(entry)
        if status.epoch < self.state.grant.epoch:
            self._send(entry, self.state.grant)

    def _run_leader_work(self) -> None:
        """Proposes the changes of voters, grant and ended jobs that are due."""
        live = {box_of(peer): peer for peer in self._control_nodes}
        live[box_of(self.node)] = self.node
        members = self._voters.step(self.consensus, live, self._clock.now_ms())
        if members:
            self.consensus.change_members(members)
        grant = self._holder_selector.propose(self.state.grant)
        if grant:
            self.consensus.propose(encode_command(grant))
        self._job_store_leader.forget_ended()

    # Actions.

    def take_actions(self) -> list[Action]:
        """Returns the actions to perform since the last call."""
        self._publish_changes()
        self._finish_writes()
        ready = self.consensus.take_ready()
        if ready:
            self._add_ready_actions(ready)
        actions = self._actions
        self._actions = []
        return actions

    def _add_ready_actions(self, ready: Ready) -> None:
        """Adds actions for the records and messages of consensus.

        A leader's append requests are sent at once: it counts its own copy of
        an entry only once that is stored. All other messages imply that the
        records are stored, and are sent after that.
        """
        after_storing: list[GroupMessage] = []
        for to, body in ready.messages:
            message = GroupMessage(self.node, to, body)
            if isinstance(body, AppendRequest):
                self._send(to, message)
            else:
                after_storing.append(message)
        self._actions.append(
            Persist(ready.records, after_storing, ready.last_index)
        )

    def _publish_changes(self) -> None:
        results = self.consensus.take_results()
        self._actions += self._job_store_leader.on_applied(results)
        if self.state.version > self._published_version:
            self._published_version = self.state.version
            for entry in self._holder_selector.nodes():
                self._push_config(entry)
            emit(
                Event.CONFIG_COMMITTED,
                version=self.state.version,
                index=self.consensus.commit_index,
                entry_nodes=len(self._holder_selector.nodes()),
            )
        grant: Grant = self.state.grant
        if grant.epoch > self._published_epoch:
            self._published_epoch = grant.epoch
            self._holder_selector.on_granted()
            self._actions.append(Broadcast(grant))

    def _finish_writes(self) -> None:
        now_ms = self._clock.now_ms()
        for request, write in list(self._pending_writes.items()):
            if self.state.version >= write.version:
                del self._pending_writes[request]
                self._finish_write(request, write, WriteOutcome.IN_FORCE)
            elif now_ms - write.since_ms > WRITE_TIMEOUT_MS:
                del self._pending_writes[request]
                self._finish_write(request, write, WriteOutcome.UNKNOWN)

    def _finish_write(
        self, request: int, write: _PendingWrite, outcome: WriteOutcome
    ) -> None:
        is_known = outcome is WriteOutcome.IN_FORCE
        self._actions.append(
            WriteFinished(
                request,
                outcome,
                self.state.version if is_known else 0,
                write.version,
                self._clock.now_ms() - write.since_ms,
            )
        )

    def _send(self, node: str, message: Message) -> None:
        self._actions.append(Send(node, message))
