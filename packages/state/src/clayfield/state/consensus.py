"""Agreement among the nodes of a group on one log of commands.

A leader elected for a term appends commands; an entry is committed when a
majority of the voters has it on stable storage. Pre-votes and the rule that a
voter who hears a leader gives no vote keep a node back from a long silence
from deposing anybody. Members change one node at a time.

The class is pure: it reads a clock, is fed messages and ticks, and gives
back, by `take_ready`, records to store and messages to send after they are
stored.
"""

import enum
import random
from collections.abc import Callable

from clayfield.base import Clock
from clayfield.state._elections import Election
from clayfield.state._members import (
    decode_members,
    encode_members,
    is_members,
)
from clayfield.state._replication import Progress
from clayfield.state._snapshots import IncomingSnapshot, next_chunk
from clayfield.state.log import Log
from clayfield.state.machine import StateMachine
from clayfield.state.membership import box_of
from clayfield.state.records import Append, HardState, Record, Snapshot
from clayfield.wire.messages import (
    ENTRY_COMMAND,
    ENTRY_NOOP,
    AppendReply,
    AppendRequest,
    LogEntry,
    Members,
    Message,
    SnapshotChunk,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)

MAX_APPEND_BYTES = 512 * 1024
# A snapshot is taken only when the entries are this many times as large as the
# latest one, so that large states are not written again and again.
SNAPSHOT_RATIO = 4
# A lease is held for this part of the election time, the rest is margin for
# clocks that run at different rates.
LEASE_SHARE = 0.8


class Role(enum.Enum):
    """What a node is in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Timing:
    """The times of a group.

    Attributes:
        election_ms: silence after which a voter may ask for votes.
        heartbeat_ms: how often a leader speaks.
        compact_entries: entries held before a snapshot is taken.
    """

    __slots__ = ("compact_entries", "election_ms", "heartbeat_ms")

    def __init__(
        self,
        election_ms: float = 400.0,
        heartbeat_ms: float = 100.0,
        compact_entries: int = 4096,
    ):
        self.election_ms = election_ms
        self.heartbeat_ms = heartbeat_ms
        self.compact_entries = compact_entries


class Ready:
    """What a node wants done: store the records, then send the messages."""

    __slots__ = ("last_index", "messages", "records")

    def __init__(
        self,
        records: list[Record],
        messages: list[tuple[str, Message]],
        last_index: int,
    ):
        self.records = records
        self.messages = messages
        self.last_index = last_index


class Consensus:
    """One node of one group.

    Attributes:
        role: what the node is now.
        term: the latest term it knows.
        leader: the node it takes for leader, or "".
        commit: the index of the last committed entry.
        members: the voters and learners in force.
    """

    def __init__(
        self,
        group: str,
        node: str,
        machine: StateMachine,
        clock: Clock,
        rng: random.Random,
        timing: Timing,
        hard: HardState | None = None,
        log: Log | None = None,
        patience: float = 1.0,
    ):
        """Starts a node from what its storage holds.

        Args:
            group: the group's name.
            node: this node's name.
            machine: what committed commands are applied to.
            clock: the time.
            rng: spreads the election times.
            timing: the group's times.
            hard: the term and vote that were stored.
            log: the log that was stored.
            patience: multiplies the election time; above 1 for a node that
                should lead only when no other can.
        """
        self.group = group
        self.node = node
        self.role = Role.FOLLOWER
        self.leader = ""
        hard = hard or HardState(0, "")
        self.term = hard.term
        self._vote = hard.vote
        # An empty log is falsy, also when all of it is in its snapshot.
        self._log = Log() if log is None else log
        self._machine = machine
        self._clock = clock
        self._timing = timing
        self.commit = 0
        self._applied = 0
        self._persisted = self._log.last_index
        self.members = Members(())
        self._members_index = 0
        self._records: list[Record] = []
        self._messages: list[tuple[str, Message]] = []
        self._results: list[tuple[int, int, object]] = []
        self._progress: dict[str, Progress] = {}
        self._incoming = IncomingSnapshot()
        self._next_heartbeat_ms = 0.0
        self._term_start = 0
        self._read_members()
        if self._log.snapshot:
            self._machine.restore(self._log.snapshot.data)
            self.commit = self._applied = self._log.snapshot.index
        self._election = Election(clock, rng, timing.election_ms, patience)

    # Questions.

    @property
    def is_leader(self) -> bool:
        """Whether this node leads its term, perhaps no longer validly."""
        return self.role is Role.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this node has a vote."""
        return self.node in self.members.voters

    @property
    def last_index(self) -> int:
        """The index of the last entry of the log."""
        return self._log.last_index

    @property
    def has_lease(self) -> bool:
        """Whether no other node can lead for a while yet."""
        return self.is_leader and self._clock.now_ms() < self._lease_end_ms()

    @property
    def is_settled(self) -> bool:
        """Whether the leader has committed an entry of its own term."""
        return self.is_leader and self.commit >= self._term_start

    def has_command(self, is_wanted: Callable[[bytes], bool]) -> bool:
        """Tells whether a command stands in the log, committed or not."""
        return any(is_wanted(command) for command in self._log.commands())

    def lag_of(self, node: str) -> int | None:
        """Returns how many entries a node lacks, None if not followed."""
        progress = self._progress.get(node)
        if progress is None or not progress.match:
            return None
        return self.last_index - progress.match

    # Events.

    def form(self, first_members: Members) -> None:
        """Starts the group's very first log, as its only author."""
        if self._log.last_index or self.term:
            raise ValueError(f"{self.node}: {self.group} has a log already")
        self._set_hard(1, self.node)
        self._append(encode_members(1, first_members))
        self._election.hold_now()

    def propose(self, command: bytes) -> tuple[int, int] | None:
        """Appends a command; returns its index and term, None if no leader."""
        if not self.is_leader:
            return None
        self._append(LogEntry(self.term, ENTRY_COMMAND, command))
        self._broadcast()
        return self._log.last_index, self.term

    def change_members(self, members: Members) -> bool:
        """Proposes members that differ from the present ones by one voter.

        Returns:
            Whether it was proposed; False while another change is under way,
            or this node is not a settled leader.

        Raises:
            ValueError: more than one voter would change.
        """
        before = set(self.members.voters)
        if len(before.symmetric_difference(members.voters)) > 1:
            raise ValueError(f"more than one voter changes: {members.voters}")
        if not self.is_settled or self._members_index > self.commit:
            return False
        if not members.voters:
            return False
        self._append(encode_members(self.term, members))
        self._broadcast()
        return True

    def transfer(self) -> bool:
        """Asks the voter that lags least to take over; False if none can."""
        candidates = [v for v in self.members.voters if v != self.node]
        if not self.is_leader or not candidates:
            return False
        best = max(candidates, key=lambda v: self._progress[v].match)
        if self._progress[best].match < self.commit:
            return False
        self._send(best, TimeoutNow(self.group, self.term))
        return True

    def tick(self) -> None:
        """Lets time act."""
        now_ms = self._clock.now_ms()
        if self.is_leader:
            if now_ms - self._quorum_ms() > self._timing.election_ms * 2:
                self._become_follower(self.term, "")
            elif now_ms >= self._next_heartbeat_ms:
                self._heartbeat()
        elif self._election.is_due and self.is_voter:
            self._start_election(pre=True)

    def on_message(self, source: str, message: Message) -> None:
        """Takes a message of this group from another node."""
        if message.term > self.term and not _is_pre(message):
            self._become_follower(message.term, "")
        match message:
            case VoteRequest():
                self._on_vote_request(source, message)
            case VoteReply():
                self._on_vote_reply(source, message)
            case AppendRequest():
                self._on_append(source, message)
            case AppendReply():
                self._on_append_reply(source, message)
            case SnapshotChunk():
                self._on_snapshot_chunk(source, message)
            case SnapshotReply():
                self._on_snapshot_reply(source, message)
            case TimeoutNow(term=term):
                if term == self.term and self.is_voter:
                    self._start_election(pre=False)

    def on_closed(self, box: str) -> None:
        """Learns that the stream of a box ended.

        If it led, an election comes soon. The pre-vote still protects a
        leader that others hear; what is lost early is only its lease.
        """
        if self.leader and box_of(self.leader) == box and not self.is_leader:
            others = [v for v in self.members.voters if v != self.leader]
            turn = others.index(self.node) if self.node in others else 0
            self._election.on_leader_lost(turn)

    def on_persisted(self, last_index: int) -> None:
        """Learns that the records up to an index are on stable storage."""
        self._persisted = min(last_index, self._log.last_index)
        if self.is_leader:
            self._advance_commit()

    def take_ready(self) -> Ready | None:
        """Returns what is to be stored and sent, None if nothing is."""
        if not self._records and not self._messages:
            return None
        ready = Ready(self._records, self._messages, self._log.last_index)
        self._records = []
        self._messages = []
        return ready

    def take_results(self) -> list[tuple[int, int, object]]:
        """Returns (index, term, result) of commands applied since last."""
        results = self._results
        self._results = []
        return results

    # Elections.

    def _start_election(self, pre: bool) -> None:
        self._election.put_off()
        self.leader = ""
        self.role = Role.PRE_CANDIDATE if pre else Role.CANDIDATE
        self._election.begin(self.node)
        term = self.term + 1
        if not pre:
            self._set_hard(term, self.node)
        request = VoteRequest(
            self.group,
            term,
            self._log.last_index,
            self._log.last_term,
            pre,
        )
        for voter in self.members.voters:
            if voter != self.node:
                self._send(voter, request)
        self._count_votes()

    def _on_vote_request(self, source: str, req: VoteRequest) -> None:
        granted = self._may_vote(source, req)
        if granted and not req.pre:
            self._set_hard(self.term, source)
            self._election.put_off()
        reply_term = req.term if granted else self.term
        self._send(source, VoteReply(self.group, reply_term, granted, req.pre))

    def _may_vote(self, source: str, req: VoteRequest) -> bool:
        if req.term < self.term:
            return False
        ours = (self._log.last_term, self._log.last_index)
        if (req.last_term, req.last_index) < ours:
            return False
        if req.pre:
            return req.term > self.term and not self._hears_leader()
        return self._vote in ("", source)

    def _hears_leader(self) -> bool:
        return self.is_leader or self._election.hears_leader

    def _on_vote_reply(self, source: str, reply: VoteReply) -> None:
        wanted = Role.PRE_CANDIDATE if reply.pre else Role.CANDIDATE
        asked_term = self.term + 1 if reply.pre else self.term
        if reply.granted:
            if self.role is wanted and reply.term == asked_term:
                self._election.on_vote(source)
                self._count_votes()
        elif reply.term > self.term:
            self._become_follower(reply.term, "")

    def _count_votes(self) -> None:
        if not self._election.is_won(self.members.voters):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_election(pre=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader()

    def _become_follower(self, term: int, leader: str) -> None:
        if term > self.term:
            self._set_hard(term, "")
        if self.role is not Role.FOLLOWER:
            self._election.put_off()
        self.role = Role.FOLLOWER
        self.leader = leader
        self._progress = {}

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader = self.node
        self._progress = {}
        self._follow_members()
        self._append(LogEntry(self.term, ENTRY_NOOP, b""))
        self._term_start = self._log.last_index
        self._heartbeat()

    # Replication.

    def _follow_members(self) -> None:
        now_ms = self._clock.now_ms()
        wanted = {*self.members.voters, *self.members.learners} - {self.node}
        for node in sorted(wanted - self._progress.keys()):
            self._progress[node] = Progress(self._log.last_index + 1, now_ms)
        for node in sorted(self._progress.keys() - wanted):
            del self._progress[node]

    def _append(self, entry: LogEntry) -> None:
        index = self._log.last_index + 1
        self._put(index, entry)

    def _put(self, index: int, entry: LogEntry) -> None:
        replaces = index <= self._log.last_index
        self._log.put(index, entry)
        self._persisted = min(self._persisted, index - 1)
        self._records.append(Append(index, entry))
        if is_members(entry):
            self._set_members(index, decode_members(entry))
        elif replaces and self._members_index >= index:
            self._read_members()

    def _read_members(self) -> None:
        found = self._log.members()
        if found:
            self._set_members(*found)

    def _set_members(self, index: int, members: Members) -> None:
        self._members_index = index
        self.members = members
        if self.is_leader:
            self._follow_members()

    def _heartbeat(self) -> None:
        self._next_heartbeat_ms = (
            self._clock.now_ms() + self._timing.heartbeat_ms
        )
        for node, progress in self._progress.items():
            progress.restart_if_stuck()
            self._send_append(node, progress, is_heartbeat=True)

    def _broadcast(self) -> None:
        for node, progress in self._progress.items():
            self._send_append(node, progress, is_heartbeat=False)

    def _send_append(
        self, node: str, progress: Progress, is_heartbeat: bool
    ) -> None:
        now_ms = self._clock.now_ms()
        prev_index = progress.next - 1
        prev_term = self._log.term_at(prev_index)
        if prev_term is None:
            self._send_snapshot(node, progress)
            return
        entries: list[LogEntry] = []
        if progress.is_open:
            entries = self._log.entries_from(progress.next, MAX_APPEND_BYTES)
        if not entries and not is_heartbeat:
            return
        progress.next += len(entries)
        progress.pending += bool(entries)
        self._send(
            node,
            AppendRequest(
                self.group,
                self.term,
                prev_index,
                prev_term,
                entries,
                self.commit,
                now_ms,
            ),
        )

    def _on_append(self, source: str, req: AppendRequest) -> None:
        if req.term < self.term:
            reply = AppendReply(self.group, self.term, False, 0, 0.0)
            self._send(source, reply)
            return
        self._hear_leader(source)
        if self._log.term_at(req.prev_index) != req.prev_term:
            covered = req.prev_index < self._log.first_index - 1
            hint = self._log.first_index - 1 if covered else 0
            if not covered:
                hint = min(self._log.last_index, req.prev_index - 1)
            self._reply_append(source, req, covered, max(hint, self.commit))
            return
        index = req.prev_index
        for entry in req.entries:
            index += 1
            is_new = self._log.term_at(index) != entry.term
            if is_new and index > self.commit:
                self._put(index, entry)
        self._commit_to(min(req.commit, index))
        self._reply_append(source, req, True, index)

    def _reply_append(
        self, source: str, req: AppendRequest, ok: bool, match: int
    ) -> None:
        self._send(
            source,
            AppendReply(self.group, self.term, ok, match, req.sent_ms),
        )

    def _hear_leader(self, source: str) -> None:
        self._become_follower(self.term, source)
        self._election.on_leader_heard()

    def _on_append_reply(self, source: str, reply: AppendReply) -> None:
        progress = self._progress.get(source)
        if not self.is_leader or reply.term != self.term or not progress:
            return
        progress.acked_ms = max(progress.acked_ms, reply.sent_ms)
        if reply.ok:
            progress.on_match(reply.match)
            self._advance_commit()
        elif not progress.on_mismatch(reply.match):
            return
        if progress.next <= self._log.last_index:
            self._send_append(source, progress, is_heartbeat=False)

    def _advance_commit(self) -> None:
        matches = [
            self._persisted
            if voter == self.node
            else self._progress[voter].match
            for voter in self.members.voters
        ]
        matches.sort(reverse=True)
        index = matches[len(matches) // 2]
        if index > self.commit and self._log.term_at(index) == self.term:
            self._commit_to(index)

    def _commit_to(self, index: int) -> None:
        if index <= self.commit:
            return
        self.commit = index
        while self._applied < index:
            self._applied += 1
            entry = self._log.entry_at(self._applied)
            if entry.kind == ENTRY_COMMAND:
                result = self._machine.apply(entry.data)
                self._results.append((self._applied, entry.term, result))
        if self._is_compaction_due():
            self._compact()
        if self.is_leader and not self.is_voter:
            self._become_follower(self.term, "")

    # Snapshots.

    def _is_compaction_due(self) -> bool:
        if len(self._log) <= self._timing.compact_entries:
            return False
        snapshot = self._log.snapshot
        least = SNAPSHOT_RATIO * len(snapshot.data) if snapshot else 0
        return self._log.size >= least

    def _compact(self) -> None:
        members = self._members_at_applied()
        if members is None:
            return
        snapshot = Snapshot(
            self._applied,
            self._log.term_at(self._applied),
            members,
            self._machine.snapshot(),
        )
        self._log.compact(snapshot)
        self._records.append(snapshot)

    def _members_at_applied(self) -> Members | None:
        """Returns the members, None while a change is not yet applied."""
        return self.members if self._members_index <= self._applied else None

    def _send_snapshot(self, node: str, progress: Progress) -> None:
        now_ms = self._clock.now_ms()
        snapshot = self._log.snapshot
        chunk = next_chunk(self.group, self.term, snapshot, progress, now_ms)
        self._send(node, chunk)

    def _on_snapshot_chunk(self, source: str, chunk: SnapshotChunk) -> None:
        if chunk.term < self.term:
            return
        self._hear_leader(source)
        if chunk.index <= self.commit:
            self._incoming.drop()
            reply = AppendReply(
                self.group, self.term, True, self.commit, chunk.sent_ms
            )
            self._send(source, reply)
            return
        data = self._incoming.take(chunk)
        if data is not None:
            self._install(chunk, data)
        self._send(
            source,
            SnapshotReply(
                self.group,
                self.term,
                chunk.index,
                self._incoming.received,
                chunk.sent_ms,
            ),
        )

    def _install(self, chunk: SnapshotChunk, data: bytes) -> None:
        snapshot = Snapshot(chunk.index, chunk.index_term, chunk.members, data)
        self._log.compact(snapshot)
        self._records.append(snapshot)
        self._machine.restore(data)
        self.commit = self._applied = chunk.index
        self._persisted = min(self._persisted, chunk.index)
        self._read_members()

    def _on_snapshot_reply(self, source: str, reply: SnapshotReply) -> None:
        progress = self._progress.get(source)
        if not self.is_leader or reply.term != self.term or not progress:
            return
        progress.acked_ms = max(progress.acked_ms, reply.sent_ms)
        snapshot = self._log.snapshot
        if snapshot is None or reply.index != snapshot.index:
            return
        progress.snapshot_offset = reply.offset
        if reply.offset >= len(snapshot.data):
            progress.on_match(reply.index)
            self._advance_commit()
        self._send_append(source, progress, is_heartbeat=False)

    # Leases.

    def _quorum_ms(self) -> float:
        """Returns the latest time at which a majority followed this leader."""
        now_ms = self._clock.now_ms()
        times = [
            now_ms if voter == self.node else self._progress[voter].acked_ms
            for voter in self.members.voters
        ]
        times.sort(reverse=True)
        return times[len(times) // 2]

    def _lease_end_ms(self) -> float:
        return self._quorum_ms() + self._timing.election_ms * LEASE_SHARE

    def _set_hard(self, term: int, vote: str) -> None:
        self.term = term
        self._vote = vote
        self._records.append(HardState(term, vote))

    def _send(self, node: str, message: Message) -> None:
        self._messages.append((node, message))


def _is_pre(message: Message) -> bool:
    """Tells whether a message's term is one that nobody has entered yet."""
    match message:
        case VoteRequest(pre=pre):
            return pre
        case VoteReply(pre=pre, granted=granted):
            return pre and granted
    return False
