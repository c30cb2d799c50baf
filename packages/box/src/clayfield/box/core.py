"""One box as a state machine: events and a clock in, actions out.

The daemon runs it on sockets and a disk; the failure tests and benchmarks run
the same class on a manual clock.
"""

import collections
import random
from collections.abc import Callable

from clayfield.base import Clock, Kind, Problem
from clayfield.box.actions import InForce, Persist, Send
from clayfield.box.applies import Applies
from clayfield.box.control import Control
from clayfield.box.follower import ConfigFollower
from clayfield.box.identity import Identity
from clayfield.box.registry import Registry
from clayfield.box.targets import beat_targets
from clayfield.config import Configuration
from clayfield.dispatch import (
    Action,
    Entry,
    JobRequest,
    Submission,
    TaskEnd,
    ToNode,
    ToRegistry,
    ToScheduler,
    WorkerInfo,
)
from clayfield.state import (
    ClaimTable,
    ConfigLog,
    Replayed,
    Timing,
    hall_replicas,
    home_hall,
    owned_key,
)
from clayfield.state.claims import is_opening
from clayfield.state.configlog import is_beginning
from clayfield.state.group import Group, base_of
from clayfield.state.membership import PeerTable, box_of
from clayfield.wire import messages as m

CONTROL_GROUP = "control"
HALL_GROUP_PREFIX = "hall:"
HEARTBEAT_MS = 250.0
SYNC_MS = 5000.0
WITNESS_PATIENCE = 3.0
NOT_READY_RETRY_MS = 500
# Configurations may wait longer for a leader than claims.
CONTROL_TIMING = Timing(
    election_ms=1200.0, heartbeat_ms=300.0, compact_entries=512
)


class BoxCore:
    """The decisions of one box.

    Attributes:
        identity: who the box is.
        entry: its submissions.
        peers: its peers.
        follower: its configuration in force.
        registries: the claims that it replicates, by hall.
        control: its part in the control log, None without a data folder.
    """

    def __init__(
        self,
        identity: Identity,
        clock: Clock,
        rng: random.Random,
        stored: Replayed | None = None,
        timing: Timing | None = None,
        control_timing: Timing | None = None,
    ):
        """Starts a box.

        Args:
            identity: who it is.
            clock: the time.
            rng: spreads election times.
            stored: what its data folder holds, None without one.
            timing: the times of the halls' groups.
            control_timing: the times of the control log.
        """
        self.identity = identity
        self.peers = PeerTable(clock, identity.node)
        self.follower = ConfigFollower(clock)
        self.entry = Entry(clock, identity.node, self.follower.current)
        self._clock = clock
        self._rng = rng
        self._timing = timing or Timing()
        self._control_timing = control_timing or CONTROL_TIMING
        self._actions: list[Action] = []
        self._local: collections.deque[tuple[str, m.Message]] = (
            collections.deque()
        )
        self._workers: list[WorkerInfo] = []
        self._applies = Applies(clock)
        # Apart, so that neither steps over the box that the other needs.
        self._next_hop = 0
        self._next_control_hop = 0
        self._next_beat_ms = 0.0
        self._next_sync_ms = 0.0
        self._scheduler: tuple[str, int] = ("", 0)
        self._is_persisting = False
        self._is_stopping = False
        self._has_store_failed = False
        self._handlers = self._make_handlers()
        self.control = self._make_control(stored)
        self.registries = self._make_registries()
        self._take_config()

    def _make_control(self, stored: Replayed | None) -> Control | None:
        if self.identity.box not in self.identity.control_boxes:
            return None
        group = Group(
            CONTROL_GROUP,
            self.identity.control_node,
            self.identity.control_boxes,
            ConfigLog,
            lambda g: (
                g.machine.is_open or g.consensus.has_command(is_beginning)
            ),
            self._clock,
            self._rng,
            self._control_timing,
            stored=stored,
        )
        return Control(group)

    def _make_registries(self) -> dict[str, Registry]:
        halls = {n: p.hall for n, p in self.identity.boxes.items()}
        registries = {}
        for hall in self.identity.halls:
            replicas = hall_replicas(hall, halls)
            if self.identity.box in replicas:
                is_own = hall == self.identity.hall
                registries[hall] = self._make_registry(hall, replicas, is_own)
        return registries

    def _make_registry(
        self, hall: str, replicas: tuple[str, ...], is_own: bool
    ) -> Registry:
        group = Group(
            HALL_GROUP_PREFIX + hall,
            self.identity.node,
            replicas,
            ClaimTable,
            lambda g: g.machine.is_open or g.consensus.has_command(is_opening),
            self._clock,
            self._rng,
            self._timing,
            patience=1.0 if is_own else WITNESS_PATIENCE,
            may_drop=True,
        )
        return Registry(self._clock, hall, self.identity.halls, group)

    # Questions.

    @property
    def cfg(self) -> Configuration:
        """The configuration in force."""
        return self.follower.current

    @property
    def groups(self) -> list[Group]:
        """The replicated groups that this box takes part in."""
        groups = [registry.group for registry in self.registries.values()]
        if self.control:
            groups.append(self.control.group)
        return groups

    @property
    def is_ready(self) -> bool:
        """Whether the box can serve callers now."""
        if self._is_stopping or self._has_store_failed:
            return False
        if not self.follower.version:
            return False
        own = self.registries.get(self.identity.hall)
        if own and not (own.group.is_voter and own.table.is_open):
            return False
        return bool(self._leader(HALL_GROUP_PREFIX + self.identity.hall)[0])

    def home_of(self, key: str) -> str:
        """Returns the home hall of a member's key."""
        return home_hall(key, self.identity.halls)

    # Events.

    def submit(self, req: JobRequest, waiter: object) -> Submission | None:
        """Takes a submission; see `Entry.submit`."""
        req.refusal = req.refusal or self._why_not(req.service, req.priority)
        key = owned_key(req.member, req.key)
        return self.entry.submit(key, req, waiter)

    def _why_not(self, service: str, priority: str) -> Problem | None:
        if not self.cfg.version:
            return Problem(Kind.NOT_READY, retry_after_ms=NOT_READY_RETRY_MS)
        if service not in self.cfg.services:
            return Problem(Kind.NOT_FOUND, f"Service {service!r}.")
        if priority not in self.cfg.classes:
            return Problem(Kind.NOT_FOUND, f"Class {priority!r}.")
        return None

    def look_up(self, member: str, key: str, waiter: object) -> None:
        """Asks for the state or the answer of a member's key."""
        self.entry.look_up(owned_key(member, key), waiter)

    def on_task_end(
        self, grant: int, end: TaskEnd, answer: bytes, took_ms: float
    ) -> None:
        """Takes the end of a start; see `Entry.on_task_end`."""
        self.entry.on_task_end(grant, end, answer, took_ms)

    def on_workers(self, workers: list[WorkerInfo]) -> None:
        """Takes the platform list of workers."""
        self._workers = workers
        self.entry.set_workers(workers)
        for registry in self.registries.values():
            if registry.scheduler:
                registry.scheduler.set_workers(workers)

    def apply(self, cfg: Configuration) -> int:
        """Hands a checked file to the control log.

        Returns:
            The number under which `Applied` will tell what became of it.
        """
        request = self._applies.add(cfg)
        self._send_control(request)
        return request.request

    def on_message(self, node: str, message: m.Message) -> None:
        """Takes a message of another box.

        Args:
            node: the sender, by the envelope.
            message: what it sent.
        """
        if not self.peers.accepts(node):
            return
        self.peers.on_heard(node)
        self._handle(node, message)

    def on_peer_closed(self, node: str) -> None:
        """Learns that the stream from a node ended."""
        self.peers.on_closed(node)
        peer = self.peers.get(box_of(node))
        if peer is None or peer.node != node:
            return
        for group in self.groups:
            if group.consensus:
                group.consensus.on_closed(box_of(node))

    def on_persisted(self, last_index: int) -> None:
        """Learns that the latest `Persist` was carried out."""
        self._is_persisting = False
        if self.control and self.control.group.consensus:
            self.control.group.consensus.on_persisted(last_index)

    def on_store_failed(self) -> None:
        """Learns that a `Persist` cannot be carried out, now or ever.

        Nothing of it was confirmed, and nothing after it will be: this box
        has no voice in the control log until it starts anew.
        """
        self._has_store_failed = True

    def announce_stop(self) -> None:
        """Says that the box is not ready, and goes on serving."""
        self._is_stopping = True
        self._next_beat_ms = 0.0

    def begin_stop(self) -> None:
        """Takes no new work, and hands leadership on."""
        self.announce_stop()
        self.entry.is_stopping = True
        self._hand_on()

    def _hand_on(self) -> None:
        for group in self.groups:
            if group.is_leader:
                group.consensus.transfer()

    @property
    def is_drained(self) -> bool:
        """Whether a stopping box may end."""
        return self.entry.is_idle and not any(
            map(self._must_hand_on, self.groups)
        )

    def _must_hand_on(self, group: Group) -> bool:
        """Tells whether this box leads a group that another could lead."""
        if not group.is_leader:
            return False
        return any(
            self.peers.is_live(box_of(voter))
            for voter in group.consensus.members.voters
            if voter != group.node
        )

    def tick(self) -> None:
        """Lets time act; to be called every few tens of ms."""
        now_ms = self._clock.now_ms()
        if self.control:
            self.control.tick(self.peers)
        for registry in self.registries.values():
            registry.tick(
                self.peers,
                self.identity.boxes_in(registry.hall),
                self.cfg.limits.claim_retention_ms,
            )
        self.entry.tick()
        self._tick_applies()
        if self.entry.is_stopping:
            self._hand_on()
        if now_ms >= self._next_beat_ms:
            self._beat(now_ms)
        if now_ms >= self._next_sync_ms:
            self._send_sync()

    def take_actions(self) -> list[Action]:
        """Returns what is to be done now, in order."""
        self._pump()
        actions = self._actions
        self._actions = []
        return actions

    # Messages.

    def _make_handlers(self) -> dict[type, Callable[[str, m.Message], None]]:
        """Returns what each type of message is given to."""
        entry = self.entry
        return {
            m.Grouped: self._on_grouped,
            m.Heartbeat: self._on_heartbeat,
            m.ConfigPull: self._on_config_pull,
            m.ConfigPush: self._on_config_push,
            m.ApplyRequest: self._on_control_request,
            m.OpenRequest: self._on_control_request,
            m.ApplyReply: self._on_apply_reply,
            m.OpenReply: self._on_open_reply,
            m.Claim: self._on_claim_command,
            m.Complete: self._on_claim_command,
            m.Unclaim: self._on_claim_command,
            m.Lookup: self._on_claim_command,
            m.ClaimReply: lambda node, reply: entry.on_claim_reply(reply),
            m.AnswerFetch: entry.on_answer_fetch,
            m.AnswerReply: lambda node, reply: entry.on_answer_reply(reply),
            m.SlotGrant: lambda node, grant: entry.on_grant(grant),
            m.SlotRefuse: lambda node, refuse: entry.on_refuse(refuse),
            m.SlotRequest: self._on_slot_message,
            m.SlotCancel: self._on_slot_message,
            m.SlotRelease: self._on_slot_message,
            m.SlotSync: self._on_slot_message,
        }

    def _handle(self, node: str, message: m.Message) -> None:
        self._handlers[type(message)](node, message)

    def _on_config_pull(self, node: str, pull: m.ConfigPull) -> None:
        push = self.follower.on_pull(pull)
        if push:
            self._send(node, push)

    def _on_config_push(self, node: str, push: m.ConfigPush) -> None:
        if self.follower.on_push(push):
            self._put_in_force()

    def _on_control_request(
        self, node: str, request: m.ApplyRequest | m.OpenRequest
    ) -> None:
        if self.control:
            self.control.take(node, request)

    def _on_open_reply(self, node: str, reply: m.OpenReply) -> None:
        registry = self.registries.get(reply.hall)
        if registry:
            registry.on_open_reply(reply)

    def _on_grouped(self, node: str, message: m.Grouped) -> None:
        base = base_of(message.body.group)
        for group in self.groups:
            if group.base == base:
                group.on_message(message)

    def _on_heartbeat(self, node: str, beat: m.Heartbeat) -> None:
        self.peers.on_heartbeat(node, beat)
        pull = self.follower.pull_from(beat.config_version)
        if pull:
            self._send(node, pull)
        self._watch_scheduler()

    def _on_claim_command(
        self, node: str, command: m.Claim | m.Complete | m.Unclaim | m.Lookup
    ) -> None:
        hall = self.home_of(command.key)
        registry = self.registries.get(hall)
        if registry and registry.take(command):
            return
        # Passed on at most once, so that two boxes that take each other for
        # the leader do not play with it.
        leader, _ = self._leader(HALL_GROUP_PREFIX + hall)
        is_first_hop = box_of(node) == box_of(command.owner)
        if leader and leader != self.identity.node and is_first_hop:
            self._send(leader, command)

    def _on_slot_message(self, node: str, message: m.Message) -> None:
        registry = self.registries.get(self.identity.hall_of(box_of(node)))
        if registry is None or registry.scheduler is None:
            return
        scheduler = registry.scheduler
        match message:
            case m.SlotRequest():
                scheduler.on_request(node, message)
            case m.SlotCancel():
                scheduler.on_cancel(node, message)
            case m.SlotRelease():
                scheduler.on_release(node, message)
            case m.SlotSync():
                registry.on_sync(node, message)

    # Heartbeats.

    def _beat(self, now_ms: float) -> None:
        self._next_beat_ms = now_ms + HEARTBEAT_MS
        groups = self.groups
        beat = m.Heartbeat(
            self.identity.hall,
            self.follower.version,
            tuple(g.base for g in groups if g.holds_nothing_live),
            {g.base: g.consensus.term for g in groups if g.is_leader},
            tuple(g.join_name() for g in groups),
            self._is_stopping,
        )
        for box in beat_targets(self.identity, self.peers, self.registries):
            self._actions.append(Send(box, beat))

    # Configurations.

    def _tick_applies(self) -> None:
        self._actions += self._applies.expire(self.follower.version)
        for request in self._applies.due():
            self._send_control(request)

    def _send_control(self, message: m.Message) -> None:
        leader, _ = self._leader(CONTROL_GROUP)
        box = box_of(leader)
        if not leader and self.identity.control_boxes:
            boxes = self.identity.control_boxes
            self._next_control_hop += 1
            box = boxes[self._next_control_hop % len(boxes)]
        if box:
            self._send(box, message)

    def _on_apply_reply(self, node: str, reply: m.ApplyReply) -> None:
        applied = self._applies.on_reply(reply)
        if applied:
            self._actions.append(applied)

    def _take_config(self) -> None:
        """Puts in force what the control log at this box has committed."""
        if self.control is None:
            return
        log = self.control.log
        if log.version <= self.follower.version:
            return
        deltas = log.deltas_after(self.follower.version)
        if deltas is None:
            self.follower.take_whole(log.current)
        else:
            self.follower.take_deltas(deltas)
        self._put_in_force()

    def _put_in_force(self) -> None:
        cfg = self.follower.current
        self.entry.set_config(cfg)
        for registry in self.registries.values():
            if registry.scheduler:
                registry.scheduler.set_config(cfg)
        self._actions.append(InForce(cfg.version))

    # Routing.

    def _leader(self, base: str) -> tuple[str, int]:
        """Returns the node that leads a group, "" if unknown, and its term."""
        for group in self.groups:
            if group.base == base and group.consensus and group.leader:
                return group.leader, group.consensus.term
        return self.peers.leader_of(base)

    def _watch_scheduler(self) -> None:
        """Reports to the hall's scheduler when it is another than before."""
        scheduler = self._leader(HALL_GROUP_PREFIX + self.identity.hall)
        if scheduler[0] and scheduler != self._scheduler:
            self._scheduler = scheduler
            self._send_sync()
            self.entry.resend_claims()

    def _send_sync(self) -> None:
        self._next_sync_ms = self._clock.now_ms() + SYNC_MS
        self._to_scheduler(self.entry.sync_message())

    def _to_scheduler(self, message: m.Message) -> None:
        if self._scheduler[0]:
            self._send(self._scheduler[0], message)

    def _to_registry(self, command: m.Message) -> None:
        hall = self.home_of(command.key)
        leader, _ = self._leader(HALL_GROUP_PREFIX + hall)
        box = box_of(leader)
        if not box:
            boxes = self.identity.boxes_in(hall)
            self._next_hop += 1
            box = boxes[self._next_hop % len(boxes)]
        self._send(box, command)

    def _send(self, node: str, message: m.Message) -> None:
        """Sends to a node or box, or to this box itself."""
        box = box_of(node)
        if box == self.identity.box:
            self._local.append((self.identity.node, message))
        else:
            self._actions.append(Send(box, message))

    # The pump.

    def _pump(self) -> None:
        """Carries decisions between the parts of the box until all rest."""
        while True:
            while self._local:
                node, message = self._local.popleft()
                self._handle(node, message)
            self._route_entry()
            self._run_control()
            for registry in self.registries.values():
                self._run_registry(registry)
            self._watch_scheduler()
            if not self._local and not self.entry.actions:
                return

    def _route_entry(self) -> None:
        actions = self.entry.actions
        self.entry.actions = []
        for action in actions:
            match action:
                case ToRegistry(message=message):
                    self._to_registry(message)
                case ToScheduler(message=message):
                    self._to_scheduler(message)
                case ToNode(node=node, message=message):
                    self._send(node, message)
                case _:
                    self._actions.append(action)

    def _run_control(self) -> None:
        if self.control is None:
            return
        if not self._is_persisting:
            ready = self.control.group.take_ready()
            if ready:
                self._is_persisting = True
                grouped = self.control.group.address(ready.messages)
                self._actions.append(
                    Persist(ready.records, grouped, ready.last_index)
                )
        self.control.collect_results()
        self._take_config()
        self._empty(self.control.outbox)

    def _run_registry(self, registry: Registry) -> None:
        registry.flush()
        group = registry.group
        while ready := group.take_ready():
            for message in group.address(ready.messages):
                self._actions.append(Send(box_of(message.to), message))
            if group.consensus:
                group.consensus.on_persisted(ready.last_index)
        registry.collect_results()
        if registry.opening:
            self._send_control(registry.opening)
            registry.opening = None
        if registry.keep_scheduler(self.cfg, self._workers):
            self._next_beat_ms = 0.0
        registry.assign()
        self._empty(registry.outbox)

    def _empty(self, outbox: list[tuple[str, m.Message]]) -> None:
        for node, message in outbox:
            self._send(node, message)
        outbox.clear()
