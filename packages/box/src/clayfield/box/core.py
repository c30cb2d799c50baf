"""One box as a deterministic state machine.

A box is a machine of the system and belongs to a hall (a zone). `BoxCore`
takes events and clock readings and returns actions; it does no I/O itself. The
daemon runs it on sockets and a disk; the failure tests and benchmarks run it
on a manual clock.
"""

import collections
import random
from collections.abc import Callable

from clayfield.base import Clock, ErrorKind, Problem
from clayfield.box.actions import ConfigActivated, Persist, Send
from clayfield.box.control import ControlReplica
from clayfield.box.follower import ConfigFollower
from clayfield.box.heartbeat_targets import heartbeat_targets
from clayfield.box.identity import Identity
from clayfield.box.pending_applies import PendingApplies
from clayfield.box.registry import Registry
from clayfield.config import Configuration
from clayfield.dispatch import (
    Action,
    JobRequest,
    SendToNode,
    SendToRegistry,
    SendToScheduler,
    Submission,
    SubmissionManager,
    TaskOutcome,
    WorkerInfo,
)
from clayfield.state import (
    ClaimTable,
    ConfigLog,
    RestoredState,
    Timing,
    hall_replicas,
    home_hall,
    member_key,
)
from clayfield.state.claims import is_open_table_command
from clayfield.state.configlog import is_opening_command
from clayfield.state.group import Group, base_name_of
from clayfield.state.membership import PeerTable, box_of
from clayfield.wire import messages as m

CONTROL_GROUP = "control"
HALL_GROUP_PREFIX = "hall:"
HEARTBEAT_INTERVAL_MS = 250.0
SLOT_SYNC_INTERVAL_MS = 5000.0
# Boxes of other halls stand for election later, so that a box of the hall
# itself usually leads.
REMOTE_ELECTION_TIMEOUT_FACTOR = 3.0
NOT_READY_RETRY_MS = 500
# Configuration changes tolerate a longer election than claims do.
CONTROL_TIMING = Timing(
    election_timeout_ms=1200.0,
    heartbeat_interval_ms=300.0,
    snapshot_threshold=512,
)


class BoxCore:
    """The decision logic of one box, without I/O.

    Attributes:
        identity: the box's name, hall, incarnation and configured peers.
        submissions: the submissions that callers sent to this box.
        peers: the last heartbeat of each peer.
        follower: the active configuration.
        registries: by hall, the replicas of the claims of idempotency keys
            that this box takes part in.
        control: this box's replica of the control log, None without a data
            folder.
    """

    def __init__(
        self,
        identity: Identity,
        clock: Clock,
        rng: random.Random,
        stored: RestoredState | None = None,
        timing: Timing | None = None,
        control_timing: Timing | None = None,
    ):
        """Creates the box's components and activates the stored configuration.

        Args:
            identity: the box's name, hall, incarnation and configured peers.
            clock: the source of time.
            rng: randomizes election timeouts.
            stored: the state read from the data folder, None without one.
            timing: the timeouts of the halls' groups, None for the defaults.
            control_timing: the timeouts of the control log, None for
                `CONTROL_TIMING`.
        """
        self.identity = identity
        self.peers = PeerTable(clock, identity.node)
        self.follower = ConfigFollower(clock)
        self.submissions = SubmissionManager(
            clock, identity.node, self.follower.current
        )
        self._clock = clock
        self._rng = rng
        self._timing = timing or Timing()
        self._control_timing = control_timing or CONTROL_TIMING
        self._actions: list[Action] = []
        self._local_messages: collections.deque[tuple[str, m.Message]] = (
            collections.deque()
        )
        self._workers: list[WorkerInfo] = []
        self._pending_applies = PendingApplies(clock)
        # Separate counters, so that requests to one group do not make those to
        # the other skip a box.
        self._registry_rotation = 0
        self._control_rotation = 0
        self._next_heartbeat_ms = 0.0
        self._next_slot_sync_ms = 0.0
        self._scheduler: tuple[str, int] = ("", 0)
        self._is_persisting = False
        self._is_stopping = False
        self._has_store_failed = False
        self._handlers = self._make_handlers()
        self.control = self._make_control(stored)
        self.registries = self._make_registries()
        self._follow_control_log()

    def _make_control(
        self, stored: RestoredState | None
    ) -> ControlReplica | None:
        if self.identity.box not in self.identity.control_boxes:
            return None
        group = Group(
            CONTROL_GROUP,
            self.identity.control_node,
            self.identity.control_boxes,
            ConfigLog,
            lambda g: (
                g.machine.is_open or g.consensus.has_command(is_opening_command)
            ),
            self._clock,
            self._rng,
            self._control_timing,
            stored=stored,
        )
        return ControlReplica(group)

    def _make_registries(self) -> dict[str, Registry]:
        halls = {n: p.hall for n, p in self.identity.boxes.items()}
        registries = {}
        for hall in self.identity.halls:
            replicas = hall_replicas(hall, halls)
            if self.identity.box in replicas:
                is_local = hall == self.identity.hall
                registries[hall] = self._make_registry(hall, replicas, is_local)
        return registries

    def _make_registry(
        self, hall: str, replicas: tuple[str, ...], is_local: bool
    ) -> Registry:
        group = Group(
            HALL_GROUP_PREFIX + hall,
            self.identity.node,
            replicas,
            ClaimTable,
            lambda g: (
                g.machine.is_open
                or g.consensus.has_command(is_open_table_command)
            ),
            self._clock,
            self._rng,
            self._timing,
            election_timeout_factor=1.0
            if is_local
            else REMOTE_ELECTION_TIMEOUT_FACTOR,
            may_drop=True,
        )
        return Registry(self._clock, hall, self.identity.halls, group)

    # Queries.

    @property
    def cfg(self) -> Configuration:
        """The configuration that this box has activated."""
        return self.follower.current

    @property
    def groups(self) -> list[Group]:
        """The replicated groups that this box is a replica of."""
        groups = [registry.group for registry in self.registries.values()]
        if self.control:
            groups.append(self.control.group)
        return groups

    @property
    def is_ready(self) -> bool:
        """Whether the box can serve callers now.

        Requires a configuration, a known leader of the hall's claims and, on a
        box that replicates them, a vote in their opened group.
        """
        if self._is_stopping or self._has_store_failed:
            return False
        if not self.follower.version:
            return False
        registry = self.registries.get(self.identity.hall)
        if registry and not (
            registry.group.is_voter and registry.table.is_open
        ):
            return False
        return bool(self._leader(HALL_GROUP_PREFIX + self.identity.hall)[0])

    def home_of(self, key: str) -> str:
        """Returns the hall whose registry holds the claim of a key.

        Args:
            key: a member's key as `member_key` returns it.
        """
        return home_hall(key, self.identity.halls)

    # Input events.

    def submit(self, req: JobRequest, waiter: object) -> Submission | None:
        """Accepts or refuses a caller's job; see `SubmissionManager.submit`.

        Args:
            req: the job; its `refusal` is set where the box can't serve it.
            waiter: the caller's handle, passed on to
                `SubmissionManager.submit`.
        """
        req.refusal = req.refusal or self._find_refusal(
            req.service, req.priority
        )
        key = member_key(req.member, req.key)
        return self.submissions.submit(key, req, waiter)

    def _find_refusal(self, service: str, priority: str) -> Problem | None:
        """Returns why a job can't be served, None if it can."""
        if not self.cfg.version:
            return Problem(
                ErrorKind.NOT_READY, retry_after_ms=NOT_READY_RETRY_MS
            )
        if service not in self.cfg.services:
            return Problem(ErrorKind.NOT_FOUND, f"Service {service!r}.")
        if priority not in self.cfg.classes:
            return Problem(ErrorKind.NOT_FOUND, f"Class {priority!r}.")
        return None

    def look_up_key(self, member: str, key: str, waiter: object) -> None:
        """Requests the state or the answer of a member's key.

        Args:
            member: the customer that sent the job.
            key: the idempotency key of the job.
            waiter: the caller's handle, passed on to
                `SubmissionManager.look_up_key`.
        """
        self.submissions.look_up_key(member_key(member, key), waiter)

    def on_task_end(
        self, grant: int, end: TaskOutcome, answer: bytes, took_ms: float
    ) -> None:
        """Handles the end of an attempt; see `SubmissionManager.on_task_end`.

        Args:
            grant: the number of the slot that the task ran in.
            end: how the attempt ended.
            answer: the body of the worker's reply.
            took_ms: the duration of the attempt.
        """
        self.submissions.on_task_end(grant, end, answer, took_ms)

    def on_workers(self, workers: list[WorkerInfo]) -> None:
        """Replaces the list of workers that the platform reports."""
        self._workers = workers
        self.submissions.set_workers(workers)
        for registry in self.registries.values():
            if registry.scheduler:
                registry.scheduler.set_workers(workers)

    def apply(self, cfg: Configuration) -> int:
        """Sends a validated configuration to the control log.

        Returns:
            The request number that the resulting `ApplyFinished` action
            carries.
        """
        request = self._pending_applies.add(cfg)
        self._send_to_control(request)
        return request.request

    def on_message(self, node: str, message: m.Message) -> None:
        """Handles a message from another box.

        A message from an earlier incarnation of a live peer is dropped.

        Args:
            node: the sender, as BOX/INCARNATION.
            message: the decoded message.
        """
        if not self.peers.accepts(node):
            return
        self.peers.on_contact(node)
        self._handle(node, message)

    def on_peer_closed(self, node: str) -> None:
        """Handles the end of the stream from a node."""
        self.peers.on_disconnected(node)
        peer = self.peers.get(box_of(node))
        if peer is None or peer.node != node:
            return
        for group in self.groups:
            if group.consensus:
                group.consensus.on_disconnected(box_of(node))

    def on_persisted(self, last_index: int) -> None:
        """Handles the completion of the pending `Persist` action.

        Args:
            last_index: the index of the last stored log entry.
        """
        self._is_persisting = False
        if self.control and self.control.group.consensus:
            self.control.group.consensus.on_persisted(last_index)

    def on_store_failed(self) -> None:
        """Handles the permanent failure of a `Persist` action.

        Nothing of the action was acknowledged. No further `Persist` follows,
        so this box does not vote in the control log until it is restarted.
        """
        self._has_store_failed = True

    def announce_stop(self) -> None:
        """Announces in heartbeats that the box stops; it still serves."""
        self._is_stopping = True
        self._next_heartbeat_ms = 0.0

    def begin_stop(self) -> None:
        """Refuses new work and transfers leadership to other boxes."""
        self.announce_stop()
        self.submissions.is_stopping = True
        self._transfer_leadership()

    def _transfer_leadership(self) -> None:
        """Asks another voter of each group that this box leads to take over."""
        for group in self.groups:
            if group.is_leader:
                group.consensus.transfer_leadership()

    @property
    def is_drained(self) -> bool:
        """Whether a stopping box may exit without cutting off work."""
        return self.submissions.is_idle and not any(
            map(self._can_transfer, self.groups)
        )

    def _can_transfer(self, group: Group) -> bool:
        """Returns whether this box leads a group that another could lead."""
        if not group.is_leader:
            return False
        return any(
            self.peers.is_live(box_of(voter))
            for voter in group.consensus.members.voters
            if voter != group.node
        )

    def tick(self) -> None:
        """Runs the periodic work: elections, retries, heartbeats, syncs.

        To be called every few tens of milliseconds.
        """
        now_ms = self._clock.now_ms()
        if self.control:
            self.control.tick(self.peers)
        for registry in self.registries.values():
            registry.tick(
                self.peers,
                self.identity.boxes_in(registry.hall),
                self.cfg.limits.claim_retention_ms,
            )
        self.submissions.tick()
        self._tick_pending_applies()
        if self.submissions.is_stopping:
            self._transfer_leadership()
        if now_ms >= self._next_heartbeat_ms:
            self._send_heartbeats(now_ms)
        if now_ms >= self._next_slot_sync_ms:
            self._send_slot_sync()

    def take_actions(self) -> list[Action]:
        """Returns the actions to carry out now, in order, and clears them."""
        self._process_pending()
        actions = self._actions
        self._actions = []
        return actions

    # Messages.

    def _make_handlers(self) -> dict[type, Callable[[str, m.Message], None]]:
        """Returns the handler of each message type."""
        entry = self.submissions
        return {
            m.GroupMessage: self._on_group_message,
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
            self._activate_config()

    def _on_control_request(
        self, node: str, request: m.ApplyRequest | m.OpenRequest
    ) -> None:
        if self.control:
            self.control.handle(node, request)

    def _on_open_reply(self, node: str, reply: m.OpenReply) -> None:
        registry = self.registries.get(reply.hall)
        if registry:
            registry.on_open_reply(reply)

    def _on_group_message(self, node: str, message: m.GroupMessage) -> None:
        base = base_name_of(message.body.group)
        for group in self.groups:
            if group.base == base:
                group.on_message(message)

    def _on_heartbeat(self, node: str, heartbeat: m.Heartbeat) -> None:
        self.peers.on_heartbeat(node, heartbeat)
        pull = self.follower.make_pull(heartbeat.config_version)
        if pull:
            self._send(node, pull)
        self._track_scheduler()

    def _on_claim_command(
        self, node: str, command: m.Claim | m.Complete | m.Unclaim | m.Lookup
    ) -> None:
        hall = self.home_of(command.key)
        registry = self.registries.get(hall)
        if registry and registry.handle(command):
            return
        # Forwarded at most once, so that two boxes with outdated leaders do
        # not send a command back and forth.
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
                registry.on_slot_sync(node, message)

    # Heartbeats.

    def _send_heartbeats(self, now_ms: float) -> None:
        self._next_heartbeat_ms = now_ms + HEARTBEAT_INTERVAL_MS
        groups = self.groups
        heartbeat = m.Heartbeat(
            self.identity.hall,
            self.follower.version,
            tuple(g.base for g in groups if g.is_discardable),
            {g.base: g.consensus.term for g in groups if g.is_leader},
            tuple(g.make_join_name() for g in groups),
            self._is_stopping,
        )
        for box in heartbeat_targets(
            self.identity, self.peers, self.registries
        ):
            self._actions.append(Send(box, heartbeat))

    # Configurations.

    def _tick_pending_applies(self) -> None:
        self._actions += self._pending_applies.expire(self.follower.version)
        for request in self._pending_applies.due():
            self._send_to_control(request)

    def _send_to_control(self, message: m.Message) -> None:
        """Sends to the control leader, or to each control box in turn."""
        leader, _ = self._leader(CONTROL_GROUP)
        box = box_of(leader)
        if not leader and self.identity.control_boxes:
            boxes = self.identity.control_boxes
            self._control_rotation += 1
            box = boxes[self._control_rotation % len(boxes)]
        if box:
            self._send(box, message)

    def _on_apply_reply(self, node: str, reply: m.ApplyReply) -> None:
        applied = self._pending_applies.on_reply(reply)
        if applied:
            self._actions.append(applied)

    def _follow_control_log(self) -> None:
        """Activates the latest configuration in this box's control log."""
        if self.control is None:
            return
        log = self.control.log
        if log.version <= self.follower.version:
            return
        deltas = log.deltas_after(self.follower.version)
        if deltas is None:
            self.follower.apply_full(log.current)
        else:
            self.follower.apply_deltas(deltas)
        self._activate_config()

    def _activate_config(self) -> None:
        """Passes a newly active configuration to the components."""
        cfg = self.follower.current
        self.submissions.set_config(cfg)
        for registry in self.registries.values():
            if registry.scheduler:
                registry.scheduler.set_config(cfg)
        self._actions.append(ConfigActivated(cfg.version))

    # Routing.

    def _leader(self, base: str) -> tuple[str, int]:
        """Returns the leader of a group, "" if unknown, and its term."""
        for group in self.groups:
            if group.base == base and group.consensus and group.leader:
                return group.leader, group.consensus.term
        return self.peers.leader_of(base)

    def _track_scheduler(self) -> None:
        """Sends slots and open claims to the hall's leader after a change."""
        scheduler = self._leader(HALL_GROUP_PREFIX + self.identity.hall)
        if scheduler[0] and scheduler != self._scheduler:
            self._scheduler = scheduler
            self._send_slot_sync()
            self.submissions.resend_claims()

    def _send_slot_sync(self) -> None:
        self._next_slot_sync_ms = self._clock.now_ms() + SLOT_SYNC_INTERVAL_MS
        self._send_to_scheduler(self.submissions.make_sync())

    def _send_to_scheduler(self, message: m.Message) -> None:
        """Sends to the hall's scheduler; drops the message if none is known."""
        if self._scheduler[0]:
            self._send(self._scheduler[0], message)

    def _send_to_registry(self, command: m.Message) -> None:
        """Sends to the leader of a key's home hall, or to its boxes in turn."""
        hall = self.home_of(command.key)
        leader, _ = self._leader(HALL_GROUP_PREFIX + hall)
        box = box_of(leader)
        if not box:
            boxes = self.identity.boxes_in(hall)
            self._registry_rotation += 1
            box = boxes[self._registry_rotation % len(boxes)]
        self._send(box, command)

    def _send(self, node: str, message: m.Message) -> None:
        """Queues a message for a node or box, which may be this box."""
        box = box_of(node)
        if box == self.identity.box:
            self._local_messages.append((self.identity.node, message))
        else:
            self._actions.append(Send(box, message))

    # Message processing within the box.

    def _process_pending(self) -> None:
        """Exchanges messages between the components until none is left."""
        while True:
            while self._local_messages:
                node, message = self._local_messages.popleft()
                self._handle(node, message)
            self._route_entry_actions()
            self._run_control()
            for registry in self.registries.values():
                self._run_registry(registry)
            self._track_scheduler()
            if not self._local_messages and not self.submissions.actions:
                return

    def _route_entry_actions(self) -> None:
        """Sends the entry's messages and keeps its other actions."""
        actions = self.submissions.actions
        self.submissions.actions = []
        for action in actions:
            match action:
                case SendToRegistry(message=message):
                    self._send_to_registry(message)
                case SendToScheduler(message=message):
                    self._send_to_scheduler(message)
                case SendToNode(node=node, message=message):
                    self._send(node, message)
                case _:
                    self._actions.append(action)

    def _run_control(self) -> None:
        """Emits the control log's records, replies and configuration.

        Only one `Persist` is pending at a time.
        """
        if self.control is None:
            return
        if not self._is_persisting:
            ready = self.control.group.take_ready()
            if ready:
                self._is_persisting = True
                messages = self.control.group.wrap_messages(ready.messages)
                self._actions.append(
                    Persist(ready.records, messages, ready.last_index)
                )
        self.control.collect_results()
        self._follow_control_log()
        self._send_all(self.control.outbox)

    def _run_registry(self, registry: Registry) -> None:
        """Emits a registry's messages; its log is kept in memory only."""
        registry.flush()
        group = registry.group
        while ready := group.take_ready():
            for message in group.wrap_messages(ready.messages):
                self._actions.append(Send(box_of(message.to), message))
            if group.consensus:
                group.consensus.on_persisted(ready.last_index)
        registry.collect_results()
        if registry.open_request:
            self._send_to_control(registry.open_request)
            registry.open_request = None
        if registry.update_scheduler(self.cfg, self._workers):
            self._next_heartbeat_ms = 0.0
        registry.grant_slots()
        self._send_all(registry.outbox)

    def _send_all(self, outbox: list[tuple[str, m.Message]]) -> None:
        for node, message in outbox:
            self._send(node, message)
        outbox.clear()
