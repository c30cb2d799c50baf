"""Control nodes and entries' statuses on a manual clock.

Messages take a fixed time and are lost between nodes that are cut apart.
Records count as stored when the node is told so, here at once; a disk can be
lost, and a node can be killed and started again.
"""

import random

from clayfield.cluster import (
    ControlNode,
    Persist,
    Publish,
    Send,
    Settled,
    VoterPolicy,
    WriteOutcome,
    first_records,
)
from clayfield.state import Record, replay
from clayfield.state.membership import box_of, node_name
from clayfield.testbed.timeline import Timeline
from clayfield.wire.cluster import EntryStatus, Grant, NodeGreeting
from clayfield.wire.messages import Message

DELAY_MS = 1.0
TICK_MS = 20.0
HEARTBEAT_MS = 1500.0
PORT = 7000


class ControlSite(Timeline):
    """Control nodes, their disks and the links between them.

    Attributes:
        clock: of all of them.
        nodes: those that run, by address.
        settled: by request what became of a write.
        grants: every grant that a node published, by epoch.
        configs: by address the versions that a node published, in order.
    """

    def __init__(self, count: int, seed: int):
        super().__init__()
        self.nodes: dict[str, ControlNode] = {}
        self.settled: dict[int, WriteOutcome] = {}
        self.grants: dict[int, Grant] = {}
        self.configs: dict[str, list[int]] = {}
        self._rng = random.Random(seed)
        self._disks: dict[str, list[Record]] = {}
        self._stores: dict[str, int] = {}
        self._stores_made = 0
        self._cut: set[str] = set()
        self._entries: dict[str, str] = {}
        self._statuses: dict[str, EntryStatus] = {}
        self.first = tuple(f"10.0.{n}.1:{PORT}" for n in range(count))
        voters = tuple(node_name(address, 0) for address in self.first)
        for address in self.first:
            self._disks[address] = list(first_records(voters))
            self._stores[address] = 0
        for address in self.first:
            self.start(address)

    # What tests do.

    def start(self, address: str) -> None:
        """Starts a node from its disk; one without a disk gets an empty one."""
        if address not in self._disks:
            self._stores_made += 1
            self._disks[address] = []
            self._stores[address] = self._stores_made
        node = ControlNode(
            node_name(address, self._stores[address]),
            self.clock,
            random.Random(self._rng.random()),
            replay(self._disks[address]),
            VoterPolicy(3),
            HEARTBEAT_MS,
        )
        self.nodes[address] = node
        node.learn_addresses(self.first)
        for other in self.nodes.values():
            if other is not node and not self._is_cut(address, other):
                self._connect(node, other)
        for entry, hall in self._entries.items():
            node.on_open(NodeGreeting("test", entry, "entry", hall))
        self._tick(address, node)

    def _connect(self, node: ControlNode, other: ControlNode) -> None:
        node.on_open(_greeting(other))
        other.on_open(_greeting(node))

    def kill(self, address: str) -> None:
        """Ends a node's process."""
        gone = self.nodes.pop(address)
        for other in self.nodes.values():
            other.on_closed(gone.node)

    def wipe(self, address: str) -> None:
        """Loses a disk; the node must not run."""
        del self._disks[address]

    def cut_off(self, address: str) -> None:
        """Cuts a node off from the other control nodes."""
        self._cut.add(address)
        lone = self.nodes[address]
        for other in self.nodes.values():
            if other is not lone:
                other.on_closed(lone.node)
                lone.on_closed(other.node)

    def heal(self, address: str) -> None:
        """Joins a node with the others again."""
        self._cut.discard(address)
        lone = self.nodes[address]
        for other in self.nodes.values():
            if other is not lone:
                self._connect(lone, other)

    def add_entry(self, entry: str, hall: str) -> None:
        """Connects an entry to every node."""
        self._entries[entry] = hall
        self._statuses[entry] = EntryStatus(0, 0, False)
        for node in self.nodes.values():
            node.on_open(NodeGreeting("test", entry, "entry", hall))

    def remove_entry(self, entry: str) -> None:
        """Ends an entry."""
        del self._entries[entry]
        del self._statuses[entry]
        for node in self.nodes.values():
            node.on_closed(entry)

    def tell_status(self, entry: str, status: EntryStatus) -> None:
        """Has an entry tell its status."""
        for node in self.nodes.values():
            node.on_message(entry, status)

    def leader(self) -> ControlNode | None:
        """Returns the node that surely leads, if any."""
        sure = [node for node in self.nodes.values() if node.is_sure]
        return sure[0] if sure else None

    def write(self, request: int, version: int) -> bool:
        """Has the leader take a configuration; False where there is none."""
        leader = self.leader()
        if leader is None:
            return False
        taken = leader.write(request, version, b"document-%d" % version)
        self._carry_out(box_of(leader.node), leader)
        return taken

    # Links.

    def _is_cut(self, address: str, other: ControlNode) -> bool:
        return address in self._cut or box_of(other.node) in self._cut

    def _tick(self, address: str, node: ControlNode) -> None:
        if self.nodes.get(address) is not node:
            return
        node.tick()
        self._carry_out(address, node)
        self.after(TICK_MS, lambda: self._tick(address, node))

    def _carry_out(self, address: str, node: ControlNode) -> None:
        for action in node.take_actions():
            match action:
                case Send(node=to, message=message):
                    self._send(address, node, to, message)
                case Publish(message=Grant() as grant):
                    self.grants[grant.epoch] = grant
                    self._follow(grant)
                case Publish():
                    self._note_config(address, node)
                case Persist():
                    self._store(address, node, action)
                case Settled(request=request, outcome=outcome):
                    self.settled[request] = outcome

    def _follow(self, grant: Grant) -> None:
        """Has the entries tell that they know a grant."""
        for entry in self._entries:
            status = EntryStatus(0, grant.epoch, False)
            self._statuses[entry] = status
            self.after(DELAY_MS, lambda e=entry, s=status: self._tell(e, s))

    def _tell(self, entry: str, status: EntryStatus) -> None:
        if entry in self._entries:
            self.tell_status(entry, status)

    def _note_config(self, address: str, node: ControlNode) -> None:
        versions = self.configs.setdefault(address, [])
        if not versions or versions[-1] != node.state.version:
            versions.append(node.state.version)

    def _store(self, address: str, node: ControlNode, action: Persist) -> None:
        self._disks[address] += action.records
        for message in action.messages:
            self._send(address, node, message.to, message)
        node.on_persisted(action.last_index)

    def _send(
        self, address: str, node: ControlNode, to: str, message: Message
    ) -> None:
        def arrive() -> None:
            receiver = self.nodes.get(box_of(to))
            if receiver is None or receiver.node != to:
                return
            if self.nodes.get(address) is not node:
                return
            if self._is_cut(address, receiver):
                return
            receiver.on_message(node.node, message)
            self._carry_out(box_of(to), receiver)

        self.after(DELAY_MS, arrive)


def _greeting(node: ControlNode) -> NodeGreeting:
    hall = f"hall-{box_of(node.node)}"
    return NodeGreeting("test", node.node, "control", hall)
