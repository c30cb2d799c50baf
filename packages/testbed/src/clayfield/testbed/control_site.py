"""Simulates a group of control nodes on a manual clock.

Control nodes vote in the replicated control log. Messages take a fixed time
and are lost between partitioned nodes; records are persisted at once, or after
a fixed time. Tests can kill, start, suspend and resume nodes, delete their
disks and send the statuses that entry nodes would report.
"""

import random
from collections.abc import Callable

from clayfield.cluster import (
    Broadcast,
    ControlNode,
    Persist,
    Send,
    VoterPolicy,
    WriteFinished,
    WriteOutcome,
    make_initial_records,
)
from clayfield.state import Record, RestoredState, replay
from clayfield.state.membership import box_of, node_name
from clayfield.testbed.machine_clock import MachineClock
from clayfield.testbed.slow_entry import SlowEntry
from clayfield.testbed.slow_link import SlowLink
from clayfield.testbed.timeline import Timeline
from clayfield.wire.cluster import (
    ConfigPush,
    EntryStatus,
    Grant,
    NodeGreeting,
    encode_batch,
)
from clayfield.wire.messages import Message

DELAY_MS = 1.0
TICK_MS = 20.0
KEEPALIVE_MS = 200.0
KEEPALIVE_BYTES = 4
PEER_TIMEOUT_MS = 1100.0
HEARTBEAT_MS = 1500.0
PORT = 7000


class ControlSite(Timeline):
    """Control nodes, their disks and the links between them.

    Attributes:
        clock: the manual clock to which the clocks of all nodes refer.
        persist_ms: time that storing records takes.
        acknowledged_version: the highest version that a node acknowledged.
        nodes: the running nodes, by address.
        write_outcomes: the outcome of each write, by request.
        grants: every grant that a node broadcast, by epoch.
        initial_addresses: the addresses of the initial nodes.
        links: the links of limited rate between control nodes, by the
            addresses of sender and receiver.
    """

    def __init__(self, count: int, seed: int, counts_suspension: bool = True):
        """Starts all nodes.

        Args:
            count: number of control nodes.
            seed: seed of the election timeouts.
            counts_suspension: whether the clocks of the nodes go on while
                they are suspended.
        """
        super().__init__()
        self.persist_ms = 0.0
        self.acknowledged_version = 0
        self._voter_count = max(3, count)
        self._counts_suspension = counts_suspension
        self._clocks: dict[str, MachineClock] = {}
        self._suspended: dict[str, list[Callable[[], None]]] = {}
        self._stored_at_ms: dict[str, float] = {}
        self.nodes: dict[str, ControlNode] = {}
        self.write_outcomes: dict[int, WriteOutcome] = {}
        self.grants: dict[int, Grant] = {}
        self._rng = random.Random(seed)
        self._disks: dict[str, list[Record]] = {}
        self._disk_ids: dict[str, int] = {}
        self._last_disk_id = 0
        self._partitioned: set[str] = set()
        self._silences = 0
        self._silenced: dict[str, int] = {}
        self._entry_halls: dict[str, str] = {}
        self._statuses: dict[str, EntryStatus] = {}
        self._slow_entries: dict[str, SlowEntry] = {}
        self._link_bytes_per_s = 0.0
        self.links: dict[tuple[str, str], SlowLink] = {}
        self.initial_addresses = tuple(
            f"10.0.{n}.1:{PORT}" for n in range(count)
        )
        voters = tuple(
            node_name(address, 0) for address in self.initial_addresses
        )
        for address in self.initial_addresses:
            self._disks[address] = list(make_initial_records(voters))
            self._disk_ids[address] = 0
        for address in self.initial_addresses:
            self.start(address)

    # Actions of tests.

    def start(self, address: str) -> None:
        """Starts a node from its disk, or from a new empty disk if lost."""
        if address not in self._disks:
            self._last_disk_id += 1
            self._disks[address] = []
            self._disk_ids[address] = self._last_disk_id
        clock = self._clocks.setdefault(
            address, MachineClock(self.clock, self._counts_suspension)
        )
        node = ControlNode(
            node_name(address, self._disk_ids[address]),
            clock,
            random.Random(self._rng.random()),
            self._restore(address),
            VoterPolicy(self._voter_count),
            HEARTBEAT_MS,
        )
        self.nodes[address] = node
        node.add_addresses(self.initial_addresses)
        for other in self.nodes.values():
            if other is not node and not self._is_partitioned(address, other):
                self._connect(node, other)
        for entry, hall in self._entry_halls.items():
            node.on_connected(NodeGreeting("test", entry, "entry", hall))
        self._tick(address, node)

    def _restore(self, address: str) -> RestoredState:
        """Returns the state that a node restores from its disk."""
        return replay(self._disks[address])

    def _connect(self, node: ControlNode, other: ControlNode) -> None:
        for one, peer in ((node, other), (other, node)):
            self._when_awake(
                box_of(one.node),
                lambda one=one, peer=peer: one.on_connected(_greeting(peer)),
            )

    def _disconnect(self, node: ControlNode, peer: ControlNode) -> None:
        """Ends the connection of a node to a peer, at the node's side."""
        self._when_awake(
            box_of(node.node), lambda: node.on_disconnected(peer.node)
        )

    def kill(self, address: str) -> None:
        """Ends the process of a node."""
        killed = self.nodes.pop(address)
        for other in self.nodes.values():
            self._disconnect(other, killed)

    def suspend(self, address: str) -> None:
        """Suspends the machine of a node; connections stay open."""
        self._clocks[address].suspend()
        self._suspended[address] = []

    def resume(self, address: str) -> None:
        """Resumes the machine of a node; what waits is handled by `run`."""
        self._clocks[address].resume()
        for callback in self._suspended.pop(address):
            self.call_later(0.0, callback)

    def is_suspended(self, address: str) -> bool:
        """Whether the machine of a node is suspended."""
        return address in self._suspended

    def _when_awake(self, address: str, callback: Callable[[], None]) -> None:
        """Calls a function once the machine of a node is not suspended."""
        if address in self._suspended:
            self._suspended[address].append(callback)
        else:
            callback()

    def transfer_leadership(self, address: str) -> bool:
        """Makes a node give up leadership; returns whether it asked another."""
        node = self.nodes[address]
        is_asked = node.consensus.transfer_leadership()
        self._run_actions(address, node)
        return is_asked

    def lose_disk(self, address: str) -> None:
        """Deletes the disk of a node that is not running."""
        del self._disks[address]

    def partition(self, address: str) -> None:
        """Partitions a node from the other control nodes."""
        self._partitioned.add(address)
        node = self.nodes[address]
        for other in self.nodes.values():
            if other is not node:
                self._disconnect(other, node)
                self._disconnect(node, other)

    def silence(self, address: str) -> None:
        """Partitions a node; connections end after `PEER_TIMEOUT_MS`."""
        self._partitioned.add(address)
        self._silences += 1
        self._silenced[address] = self._silences
        silence = self._silences
        self.call_later(
            PEER_TIMEOUT_MS, lambda: self._on_peer_timeout(address, silence)
        )

    def _on_peer_timeout(self, address: str, silence: int) -> None:
        """Ends the connections of a node if the same silence still lasts."""
        if self._silenced.get(address) != silence:
            return
        node = self.nodes[address]
        for other in self.nodes.values():
            if other is not node:
                self._disconnect(node, other)
                self._disconnect(other, node)

    def heal(self, address: str) -> None:
        """Ends the partition of a node."""
        self._partitioned.discard(address)
        self._silenced.pop(address, None)
        node = self.nodes[address]
        for other in self.nodes.values():
            if other is not node and not self._is_partitioned(address, other):
                self._connect(node, other)

    def reset(self, address: str, other_address: str) -> None:
        """Resets the connection of two nodes, which connect again at once."""
        node, other = self.nodes[address], self.nodes[other_address]
        if self._is_partitioned(address, other):
            return
        self._disconnect(node, other)
        self._disconnect(other, node)
        self._connect(node, other)

    def add_entry_node(self, entry: str, hall: str) -> None:
        """Connects an entry node to every control node."""
        self._entry_halls[entry] = hall
        self._statuses[entry] = EntryStatus(0, 0, False)
        for node in self.nodes.values():
            node.on_connected(NodeGreeting("test", entry, "entry", hall))

    def add_slow_entry(
        self, entry: str, hall: str, bytes_per_s: float, can_use: bool = True
    ) -> SlowEntry:
        """Connects an entry node whose link to it has a limited rate."""
        link = SlowLink(self, bytes_per_s, DELAY_MS)
        slow_entry = SlowEntry(self, self.nodes, entry, link, can_use)
        self._slow_entries[entry] = slow_entry
        self.add_entry_node(entry, hall)
        slow_entry.report_regularly()
        return slow_entry

    def remove_entry_node(self, entry: str) -> None:
        """Disconnects an entry node from every control node."""
        del self._entry_halls[entry]
        del self._statuses[entry]
        for node in self.nodes.values():
            node.on_disconnected(entry)

    def send_status(self, entry: str, status: EntryStatus) -> None:
        """Sends the status of an entry node to every control node."""
        for node in self.nodes.values():
            node.on_message(entry, status)

    def limit_links(self, bytes_per_s: float) -> None:
        """Limits the rate of every link between control nodes."""
        self._link_bytes_per_s = bytes_per_s
        self.links.clear()
        self._send_keepalives()

    def leader(self) -> ControlNode | None:
        """Returns the leader whose state is current, if any."""
        leaders = [
            node for node in self.nodes.values() if node.is_state_current
        ]
        return leaders[0] if leaders else None

    def write_config(
        self, request: int, version: int, padding: int = 0
    ) -> bool:
        """Writes a configuration at the leader.

        Args:
            request: the number of the write.
            version: the version of the configuration.
            padding: number of bytes added to the document.

        Returns:
            Whether the leader accepted it; False if there is no leader.
        """
        leader = self.leader()
        if leader is None:
            return False
        return self.write_config_at(
            box_of(leader.node), request, version, padding
        )

    def write_config_at(
        self, address: str, request: int, version: int, padding: int = 0
    ) -> bool:
        """Writes a configuration at a node; returns whether it accepted it."""
        node = self.nodes[address]
        document = b"document-%d" % version + b" " * padding
        is_accepted = node.write_config(request, version, document)
        self._run_actions(address, node)
        return is_accepted

    # Links.

    def _is_partitioned(self, address: str, other: ControlNode) -> bool:
        return (
            address in self._partitioned
            or box_of(other.node) in self._partitioned
        )

    def _tick(self, address: str, node: ControlNode) -> None:
        if address in self._suspended:
            self._when_awake(address, lambda: self._tick(address, node))
            return
        if self.nodes.get(address) is not node:
            return
        node.tick()
        self._run_actions(address, node)
        self.call_later(TICK_MS, lambda: self._tick(address, node))

    def _run_actions(self, address: str, node: ControlNode) -> None:
        for action in node.take_actions():
            match action:
                case Send(node=to, message=ConfigPush() as push):
                    self._push(node.node, to, push)
                case Send(node=to, message=message):
                    self._send(address, node, to, message)
                case Broadcast(message=Grant() as grant):
                    self.grants[grant.epoch] = grant
                    self._report_epoch(grant)
                case Broadcast():
                    pass
                case Persist():
                    self._persist(address, node, action)
                case WriteFinished(request=request, outcome=outcome):
                    self.write_outcomes[request] = outcome
                    if outcome is WriteOutcome.IN_FORCE:
                        self.acknowledged_version = max(
                            self.acknowledged_version, action.version
                        )

    def _push(self, control: str, entry: str, push: ConfigPush) -> None:
        slow_entry = self._slow_entries.get(entry)
        if slow_entry:
            slow_entry.link.send(
                len(push.document), lambda: slow_entry.on_push(control, push)
            )

    def _report_epoch(self, grant: Grant) -> None:
        """Makes every entry node report the epoch of a grant."""
        for entry in self._entry_halls:
            status = EntryStatus(0, grant.epoch, False)
            self._statuses[entry] = status
            self.call_later(
                DELAY_MS, lambda e=entry, s=status: self._report(e, s)
            )

    def _report(self, entry: str, status: EntryStatus) -> None:
        if entry in self._entry_halls:
            self.send_status(entry, status)

    def _persist(
        self, address: str, node: ControlNode, action: Persist
    ) -> None:
        """Persists records, then sends the messages that follow them."""
        if not self.persist_ms:
            self._on_stored(address, node, action)
            return
        due_ms = max(
            self.clock.now_ms() + self.persist_ms * bool(action.records),
            self._stored_at_ms.get(address, 0.0),
        )
        self._stored_at_ms[address] = due_ms
        self.call_later(
            due_ms - self.clock.now_ms(),
            lambda: self._when_awake(
                address, lambda: self._on_stored(address, node, action)
            ),
        )

    def _on_stored(
        self, address: str, node: ControlNode, action: Persist
    ) -> None:
        if self.nodes.get(address) is not node:
            return
        self._disks[address] += action.records
        for message in action.messages:
            self._send(address, node, message.to, message)
        node.on_persisted(action.last_index)

    def _send(
        self, address: str, node: ControlNode, to: str, message: Message
    ) -> None:
        def arrive() -> None:
            receiver = self._find_receiver(address, node, to)
            if receiver:
                receiver.on_message(node.node, message)
                self._run_actions(box_of(to), receiver)

        def arrive_when_awake() -> None:
            self._when_awake(box_of(to), arrive)

        def on_progress() -> None:
            receiver = self._find_receiver(address, node, to)
            if receiver and box_of(to) not in self._suspended:
                receiver.on_data(node.node, is_in_message=True)

        if not self._link_bytes_per_s:
            self.call_later(DELAY_MS, arrive_when_awake)
            return
        link = self._find_link(address, box_of(to))
        size = len(encode_batch([message]))
        link.send(size, arrive_when_awake, on_progress)

    def _find_receiver(
        self, address: str, node: ControlNode, to: str
    ) -> ControlNode | None:
        """Returns the receiver of a message, None if it does not arrive."""
        receiver = self.nodes.get(box_of(to))
        if receiver is None or receiver.node != to:
            return None
        if self.nodes.get(address) is not node:
            return None
        return None if self._is_partitioned(address, receiver) else receiver

    def _find_link(self, address: str, other: str) -> SlowLink:
        route = (address, other)
        if route not in self.links:
            self.links[route] = SlowLink(self, self._link_bytes_per_s, DELAY_MS)
        return self.links[route]

    def _send_keepalives(self) -> None:
        """Sends keepalives on all links between control nodes."""
        for address, node in self.nodes.items():
            for other in self.nodes.values():
                if other is not node and address not in self._suspended:
                    self._send_keepalive(address, node, other.node)
        self.call_later(KEEPALIVE_MS, self._send_keepalives)

    def _send_keepalive(self, address: str, node: ControlNode, to: str) -> None:
        def arrive() -> None:
            receiver = self._find_receiver(address, node, to)
            if receiver:
                receiver.on_data(node.node, is_in_message=False)

        link = self._find_link(address, box_of(to))
        link.send(KEEPALIVE_BYTES, arrive)


def _greeting(node: ControlNode) -> NodeGreeting:
    hall = f"hall-{box_of(node.node)}"
    return NodeGreeting("test", node.node, "control", hall)
