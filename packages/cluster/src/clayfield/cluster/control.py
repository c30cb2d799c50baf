"""One control node: its part in the replicated log, and what it publishes."""

import random

from clayfield.base import Clock
from clayfield.cluster.actions import (
    Action,
    Persist,
    Publish,
    Send,
    Settled,
    WriteOutcome,
)
from clayfield.cluster.directory import (
    ControlState,
    SetConfig,
    encode_command,
)
from clayfield.cluster.holders import HolderChoice
from clayfield.cluster.ledger import LeaderLedger
from clayfield.cluster.voters import VoterPolicy
from clayfield.cluster.workers import WorkerDirectory
from clayfield.state import (
    Append,
    Born,
    Consensus,
    HardState,
    Ready,
    Record,
    Replayed,
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
from clayfield.wire.jobs import WorkerInfo
from clayfield.wire.ledger import LoadJobs, WriteJobs
from clayfield.wire.messages import (
    AppendRequest,
    Grouped,
    Members,
    Message,
)

GROUP = "control"
ENTRY_ROLE = "entry"
CONTROL_ROLE = "control"
STATUS_MS = 200.0
# A write that is not in force after so long gets no clear answer.
WRITE_MS = 3000.0
TIMING = Timing(election_ms=500.0, heartbeat_ms=100.0, compact_entries=64)


def first_records(voters: tuple[str, ...]) -> list[Record]:
    """Returns what the store of each first voter starts with."""
    return [
        Born(GROUP),
        HardState(1, ""),
        Append(1, encode_members(1, Members(voters))),
    ]


class _Write:
    """An operator's write that waits for its commit."""

    __slots__ = ("since_ms", "version")

    def __init__(self, version: int, since_ms: float):
        self.version = version
        self.since_ms = since_ms


class ControlNode:
    """The decisions of one control node.

    Attributes:
        node: its name.
        consensus: its part in the replicated log.
        state: the replicated state as far as it knows it.
        workers: the workers that it has heard of.
    """

    def __init__(
        self,
        node: str,
        clock: Clock,
        rng: random.Random,
        stored: Replayed,
        voters: VoterPolicy,
        heartbeat_ms: float,
        keep_ended_ms: float = 120_000.0,
    ):
        """Starts a node from what its storage holds.

        Args:
            node: its name.
            clock: the time.
            rng: spreads the election times.
            stored: the term, vote and log that were stored.
            voters: which nodes should vote.
            heartbeat_ms: between the statements of a worker.
            keep_ended_ms: how long it is told how a kept job ended.
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
            stored.hard,
            stored.log,
        )
        self.workers = WorkerDirectory(clock, heartbeat_ms)
        self._holders = HolderChoice(clock)
        self._ledger = LeaderLedger(
            clock, self.consensus, self.state, keep_ended_ms
        )
        self._peers: dict[str, str] = {}
        self._addresses: set[str] = set()
        self._actions: list[Action] = []
        self._writes: dict[int, _Write] = {}
        self._published_version = 0
        self._published_epoch = 0
        self._next_status_ms = 0.0

    # Questions.

    @property
    def leader_address(self) -> str:
        """Where the leader's peers connect to it, "" when none is known."""
        leader = self.consensus.leader
        if not leader or (leader != self.node and leader not in self._peers):
            return ""
        return box_of(leader)

    @property
    def is_sure(self) -> bool:
        """Whether this node's state is surely the newest."""
        return self.consensus.has_lease and self.consensus.is_settled

    @property
    def has_entries(self) -> bool:
        """Whether any entry hears what this node learns."""
        return bool(self._holders.nodes())

    @property
    def addresses(self) -> set[str]:
        """The addresses of other control nodes that are known."""
        return self._addresses - {box_of(self.node)}

    # Events.

    def learn_addresses(self, addresses: tuple[str, ...]) -> None:
        """Learns where control nodes are."""
        self._addresses.update(addresses)

    def on_open(self, greeting: NodeGreeting) -> None:
        """Learns that a node is connected."""
        if greeting.role == ENTRY_ROLE:
            self._holders.on_open(greeting)
            self._bring_up_to_date(greeting.node)
        else:
            self._peers[greeting.node] = greeting.hall
            self._addresses.add(box_of(greeting.node))
        self._send_addresses(greeting.node)

    def _bring_up_to_date(self, entry: str) -> None:
        if self.state.version:
            self._send(entry, self._config_push())
        if self.state.grant.epoch:
            self._send(entry, self.state.grant)
        self._send(entry, WorkersPush(self.workers.all()))

    def _send_addresses(self, node: str) -> None:
        known = (*self.addresses, box_of(self.node))
        self._send(node, ControlNodes(tuple(sorted(known))))

    def on_closed(self, node: str) -> None:
        """Learns that a node is not connected any more."""
        self._holders.on_closed(node)
        if self._peers.pop(node, None) is not None:
            self.consensus.on_closed(box_of(node))

    def on_message(self, node: str, message: Message) -> None:
        """Takes a message of a node."""
        match message:
            case Grouped(source=source, to=to, body=body):
                if to == self.node:
                    self.consensus.on_message(source, body)
            case EntryStatus():
                self._holders.on_status(node, message)
                if self.is_sure:
                    self._actions += self._ledger.on_status(node, message)
            case LoadJobs():
                if self.is_sure:
                    self._actions += self._ledger.on_load(node, message)
            case WriteJobs():
                if self.is_sure:
                    self._ledger.on_write(node, message)
            case ControlNodes(addresses=addresses):
                self.learn_addresses(addresses)

    def on_worker(self, info: WorkerInfo) -> None:
        """Takes a worker's statement."""
        if self.workers.on_statement(info):
            self._actions.append(Publish(WorkersPush((info,))))

    def on_worker_left(self, name: str) -> None:
        """Learns that a worker has taken its leave."""
        self.workers.on_leave(name)
        self._actions.append(Publish(WorkerLeft(name)))

    def write(self, request: int, version: int, document: bytes) -> bool:
        """Puts a configuration in force; `Settled` tells what came of it.

        Returns:
            Whether this node took it; only the leader does.
        """
        if not self.is_sure:
            return False
        if version <= self.state.version:
            self._settle(request, WriteOutcome.IN_FORCE, self.state.version)
            return True
        command = encode_command(SetConfig(version, document))
        if self.consensus.propose(command) is None:
            return False
        self._writes[request] = _Write(version, self._clock.now_ms())
        return True

    def on_persisted(self, last_index: int) -> None:
        """Learns that records up to an index are on stable storage."""
        self.consensus.on_persisted(last_index)

    def tick(self) -> None:
        """Lets time act."""
        self.consensus.tick()
        if self.is_sure:
            self._lead()
        else:
            self._holders.on_follow()
        if not self.consensus.is_leader:
            self._ledger.on_follow()
        self.workers.forget_silent()
        now_ms = self._clock.now_ms()
        if now_ms >= self._next_status_ms:
            self._next_status_ms = now_ms + STATUS_MS
            for entry in self._holders.nodes():
                self._catch_up(entry)

    def _catch_up(self, entry: str) -> None:
        """Sends again what an entry does not say it has."""
        status = self._holders.status_of(entry)
        if status.config_version < self.state.version:
            self._send(entry, self._config_push())
        if status.epoch < self.state.grant.epoch:
            self._send(entry, self.state.grant)

    def _lead(self) -> None:
        live = {box_of(peer): peer for peer in self._peers}
        live[box_of(self.node)] = self.node
        members = self._voters.step(self.consensus, live, self._clock.now_ms())
        if members:
            self.consensus.change_members(members)
        wanted = self._holders.propose(self.state.grant)
        if wanted:
            self.consensus.propose(encode_command(wanted))
        self._ledger.forget_ended()

    # Actions.

    def take_actions(self) -> list[Action]:
        """Returns what is to be done since the last call."""
        self._publish_changes()
        self._settle_writes()
        ready = self.consensus.take_ready()
        if ready:
            self._take_ready(ready)
        actions = self._actions
        self._actions = []
        return actions

    def _take_ready(self, ready: Ready) -> None:
        """Passes on what consensus wants stored and sent.

        A leader's entries leave at once: it counts itself among those that
        have them only when its own disk has. All else that is sent vouches
        for what is stored, and waits for it.
        """
        waiting: list[Grouped] = []
        for to, body in ready.messages:
            message = Grouped(self.node, to, body)
            if isinstance(body, AppendRequest):
                self._send(to, message)
            else:
                waiting.append(message)
        self._actions.append(Persist(ready.records, waiting, ready.last_index))

    def _publish_changes(self) -> None:
        results = self.consensus.take_results()
        self._actions += self._ledger.on_applied(results)
        if self.state.version > self._published_version:
            self._published_version = self.state.version
            self._actions.append(Publish(self._config_push()))
        grant: Grant = self.state.grant
        if grant.epoch > self._published_epoch:
            self._published_epoch = grant.epoch
            self._holders.on_granted()
            self._actions.append(Publish(grant))

    def _settle_writes(self) -> None:
        now_ms = self._clock.now_ms()
        for request, write in list(self._writes.items()):
            if self.state.version >= write.version:
                del self._writes[request]
                self._settle(request, WriteOutcome.IN_FORCE, self.state.version)
            elif now_ms - write.since_ms > WRITE_MS:
                del self._writes[request]
                self._settle(request, WriteOutcome.UNKNOWN, 0)

    def _settle(
        self, request: int, outcome: WriteOutcome, version: int
    ) -> None:
        self._actions.append(Settled(request, outcome, version))

    def _config_push(self) -> ConfigPush:
        return ConfigPush(self.state.version, self.state.document)

    def _send(self, node: str, message: Message) -> None:
        self._actions.append(Send(node, message))
