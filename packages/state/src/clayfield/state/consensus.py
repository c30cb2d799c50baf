"""Raft consensus of the nodes of a group on one log of commands.

A leader elected for a term appends commands. An entry is committed when a
majority of the voters has it on stable storage. Elections begin with a
pre-vote, which voters refuse while they are in contact with a leader, so a
node that returns after a long partition does not depose it. Voters are added
and removed one at a time.

`Consensus` does no I/O: it reads a clock, receives messages and ticks, and
returns from `take_ready` the records to store and the messages to send once
they are stored.
"""

import enum
import random
from collections.abc import Callable

from clayfield.base import Clock
from clayfield.state._elections import Election
from clayfield.state._members import decode_members, encode_members, is_members
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
# Least size of the log, relative to the latest snapshot, at which another is
# taken; keeps a large state from being written again and again.
SNAPSHOT_RATIO = 4
# Part of the election timeout for which a lease is valid; the rest is a margin
# for clocks that run at different rates.
LEASE_FRACTION = 0.8


class Role(enum.Enum):
    """The role of a node in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Timing:
    """Timing parameters of a group.

    Attributes:
        election_timeout_ms: election timeout: time without contact to a leader
            after which a voter may start an election.
        heartbeat_interval_ms: time between the heartbeats of a leader.
        snapshot_threshold: number of log entries above which a snapshot is
            taken.
        snapshot_bytes: size of the log entries above which a snapshot is
            taken, too.
    """

    __slots__ = (
        "snapshot_bytes",
        "snapshot_threshold",
        "election_timeout_ms",
        "heartbeat_interval_ms",
    )

    def __init__(
        self,
        election_timeout_ms: float = 400.0,
        heartbeat_interval_ms: float = 100.0,
        snapshot_threshold: int = 4096,
        snapshot_bytes: int = 8 * 1024 * 1024,
    ):
        self.election_timeout_ms = election_timeout_ms
        self.heartbeat_interval_ms = heartbeat_interval_ms
        self.snapshot_threshold = snapshot_threshold
        self.snapshot_bytes = snapshot_bytes


class Ready:
    """Records to store, and messages to send once they are stored.

    Attributes:
        records: records in the order in which they must be stored.
        messages: (receiving node, message) pairs.
        last_index: index of the last log entry, to be passed to
            `Consensus.on_persisted` after the records are stored.
    """

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
    """One node's replica of a group's log.

    Attributes:
        group: name of the group.
        node: name of this node.
        role: current role of this node.
        term: latest term seen.
        leader: name of the current leader, "" if unknown.
        commit_index: index of the last committed entry.
        members: voters and learners of the latest members entry in the log,
            which may not be committed yet.
    """

    def __init__(
        self,
        group: str,
        node: str,
        machine: StateMachine,
        clock: Clock,
        rng: random.Random,
        timing: Timing,
        hard_state: HardState | None = None,
        log: Log | None = None,
        election_timeout_factor: float = 1.0,
    ):
        """Restores a node from its stored state.

        Args:
            group: name of the group.
            node: name of this node.
            machine: state machine to which committed commands are applied.
            clock: source of the current time.
            rng: randomizes the election timeout.
            timing: timing parameters of the group.
            hard_state: stored term and vote, None for a new node.
            log: stored log, None for a new node.
            election_timeout_factor: factor of the election timeout; above 1 for
                a node that should lead only when no other can.
        """
        self.group = group
        self.node = node
        self.role = Role.FOLLOWER
        self.leader = ""
        hard_state = hard_state or HardState(0, "")
        self.term = hard_state.term
        self._vote = hard_state.vote
        # A log without entries is falsy even if it has a snapshot.
        self._log = Log() if log is None else log
        self._machine = machine
        self._clock = clock
        self._timing = timing
        self.commit_index = 0
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
        self._term_start_index = 0
        self._load_members()
        if self._log.snapshot:
            self._machine.restore(self._log.snapshot.data)
            self.commit_index = self._applied = self._log.snapshot.index
        self._election = Election(
            clock, rng, timing.election_timeout_ms, election_timeout_factor
        )

    # Queries.

    @property
    def is_leader(self) -> bool:
        """Whether this node leads its term; its lease may have expired."""
        return self.role is Role.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this node is a voter."""
        return self.node in self.members.voters

    @property
    def last_index(self) -> int:
        """Index of the last entry of the log."""
        return self._log.last_index

    @property
    def has_lease(self) -> bool:
        """Whether this node leads and its lease excludes any other leader."""
        return self.lease_left_ms > 0

    @property
    def lease_left_ms(self) -> float:
        """Time until the lease of this node ends, in ms; 0 without one."""
        if not self.is_leader:
            return 0.0
        return max(0.0, self._lease_end_ms() - self._clock.now_ms())

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this node leads and has committed an entry of its term."""
        return self.is_leader and self.commit_index >= self._term_start_index

    def has_command(self, predicate: Callable[[bytes], bool]) -> bool:
        """Returns whether a command in the log satisfies a predicate.

        Uncommitted entries count; entries compacted into a snapshot do not.
        """
        return any(predicate(command) for command in self._log.commands())

    def get_lag(self, node: str) -> int | None:
        """Returns the number of entries that a node lacks.

        None if this node does not lead, or the other has not acknowledged
        any entry yet.
        """
        progress = self._progress.get(node)
        if progress is None or not progress.match_index:
            return None
        return self.last_index - progress.match_index

    # Events.

    def bootstrap(self, first_members: Members) -> None:
        """Creates the log with its first members and starts an election.

        Raises:
            ValueError: the node has a log already.
        """
        if self._log.last_index or self.term:
            raise ValueError(
                f"cannot create the log of group {self.group!r} on node"
                f" {self.node!r}: it has a log already"
            )
        self._set_hard_state(1, self.node)
        self._append(encode_members(1, first_members))
        self._election.start_now()

    def propose(self, command: bytes) -> tuple[int, int] | None:
        """Appends a command to the log.

        Returns:
            The index and term of its entry, None if this node does not lead.
        """
        if not self.is_leader:
            return None
        self._append(LogEntry(self.term, ENTRY_COMMAND, command))
        self._broadcast()
        return self._log.last_index, self.term

    def change_members(self, members: Members) -> bool:
        """Proposes members that differ from the current ones by one voter.

        Returns:
            Whether they were proposed. False while another change is not
            committed, when no voter would remain, and while this node does
            not lead or has committed no entry of its term.

        Raises:
            ValueError: more than one voter would change.
        """
        current_voters = set(self.members.voters)
        if len(current_voters.symmetric_difference(members.voters)) > 1:
            raise ValueError(
                f"voters {members.voters} differ from the current ones by more"
                " than one"
            )
        if (
            not self.has_committed_in_term
            or self._members_index > self.commit_index
        ):
            return False
        if not members.voters:
            return False
        self._append(encode_members(self.term, members))
        self._broadcast()
        return True

    def transfer_leadership(self) -> bool:
        """Steps down and asks the voter with the smallest lag to take over.

        Returns:
            Whether a voter was asked; False if this node does not lead or no
            other voter has all committed entries.
        """
        candidates = [v for v in self.members.voters if v != self.node]
        if not self.is_leader or not candidates:
            return False
        target = max(candidates, key=lambda v: self._progress[v].match_index)
        if self._progress[target].match_index < self.commit_index:
            return False
        self._send(target, TimeoutNow(self.group, self.term))
        self._become_follower(self.term, "")
        return True

    def tick(self) -> None:
        """Runs the periodic work: sends heartbeats or starts an election.

        A leader that has had no contact with a majority for two election
        timeouts steps down.
        """
        now_ms = self._clock.now_ms()
        if self.is_leader:
            if (
                now_ms - self._quorum_activity_ms()
                > self._timing.election_timeout_ms * 2
            ):
                self._become_follower(self.term, "")
            elif now_ms >= self._next_heartbeat_ms:
                self._heartbeat()
        elif self._election.is_due and self.is_voter:
            self._start_election(is_prevote=True)

    def on_message(self, source: str, message: Message) -> None:
        """Handles a message of this group from another node."""
        if message.term > self.term and not _has_prospective_term(message):
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
                    self._start_election(is_prevote=False, is_transfer=True)

    def on_disconnected(self, box: str) -> None:
        """Handles the end of the connection to a box.

        If the box was the leader's, an election follows soon. The pre-vote
        still protects a leader that other voters are in contact with; only
        its lease may end early. A leader no longer counts on a lease from
        that box.
        """
        for node, progress in self._progress.items():
            if box_of(node) == box:
                progress.on_disconnected(self._clock.now_ms())
        if self.leader and box_of(self.leader) == box and not self.is_leader:
            others = [v for v in self.members.voters if v != self.leader]
            rank = others.index(self.node) if self.node in others else 0
            self._election.on_leader_lost(rank)

    def on_data(self, source: str, is_in_message: bool) -> None:
        """Handles the arrival of bytes from another node.

        Heartbeats and their replies wait behind a large message. A follower
        that is receiving one from its leader starts no election, and a leader
        does not step down while followers that have not answered it are alive.
        Leases count replies only.

        Args:
            source: the other node.
            is_in_message: whether the rest of a message is still to arrive.
        """
        if self.is_leader:
            progress = self._progress.get(source)
            if progress:
                progress.on_data(self._clock.now_ms())
        elif is_in_message and source == self.leader:
            self._election.on_leader_contact()

    def on_persisted(self, last_index: int) -> None:
        """Records that the entries up to an index are on stable storage."""
        self._persisted = min(last_index, self._log.last_index)
        if self.is_leader:
            self._advance_commit()

    def take_ready(self) -> Ready | None:
        """Returns what to store and send since the last call.

        None if there is nothing.
        """
        if not self._records and not self._messages:
            return None
        ready = Ready(self._records, self._messages, self._log.last_index)
        self._records = []
        self._messages = []
        return ready

    def take_results(self) -> list[tuple[int, int, object]]:
        """Returns the results of commands applied since the last call.

        Each is the index and term of the entry and what the state machine
        returned.
        """
        results = self._results
        self._results = []
        return results

    # Elections.

    def _start_election(
        self, is_prevote: bool, is_transfer: bool = False
    ) -> None:
        self._election.postpone()
        self.leader = ""
        self.role = Role.PRE_CANDIDATE if is_prevote else Role.CANDIDATE
        self._election.begin(self.node)
        term = self.term + 1
        if not is_prevote:
            self._set_hard_state(term, self.node)
        request = VoteRequest(
            self.group,
            term,
            self._log.last_index,
            self._log.last_term,
            is_prevote,
            is_transfer,
        )
        for voter in self.members.voters:
            if voter != self.node:
                self._send(voter, request)
        self._count_votes()

    def _on_vote_request(self, source: str, req: VoteRequest) -> None:
        granted = self._can_grant_vote(source, req)
        if granted and not req.is_prevote:
            self._set_hard_state(self.term, source)
            self._election.postpone()
        reply_term = req.term if granted else self.term
        self._send(
            source, VoteReply(self.group, reply_term, granted, req.is_prevote)
        )

    def _can_grant_vote(self, source: str, req: VoteRequest) -> bool:
        if req.term < self.term:
            return False
        own_last = (self._log.last_term, self._log.last_index)
        if (req.last_term, req.last_index) < own_last:
            return False
        if self._has_recent_leader() and not req.is_transfer:
            return False
        if req.is_prevote:
            return req.term > self.term
        return self._vote in ("", source)

    def _has_recent_leader(self) -> bool:
        return self.is_leader or self._election.has_recent_leader

    def _on_vote_reply(self, source: str, reply: VoteReply) -> None:
        expected_role = (
            Role.PRE_CANDIDATE if reply.is_prevote else Role.CANDIDATE
        )
        requested_term = self.term + 1 if reply.is_prevote else self.term
        if reply.granted:
            if self.role is expected_role and reply.term == requested_term:
                self._election.on_vote(source)
                self._count_votes()
        elif reply.term > self.term:
            self._become_follower(reply.term, "")

    def _count_votes(self) -> None:
        if not self._election.is_won(self.members.voters):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_election(is_prevote=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader()

    def _become_follower(self, term: int, leader: str) -> None:
        if term > self.term:
            self._set_hard_state(term, "")
        if self.role is not Role.FOLLOWER:
            self._election.postpone()
        self.role = Role.FOLLOWER
        self.leader = leader
        self._progress = {}

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader = self.node
        self._progress = {}
        self._sync_progress()
        self._append(LogEntry(self.term, ENTRY_NOOP, b""))
        self._term_start_index = self._log.last_index
        self._heartbeat()

    # Replication.

    def _sync_progress(self) -> None:
        """Tracks the progress of exactly the current members."""
        now_ms = self._clock.now_ms()
        others = {*self.members.voters, *self.members.learners} - {self.node}
        for node in sorted(others - self._progress.keys()):
            self._progress[node] = Progress(self._log.last_index + 1, now_ms)
        for node in sorted(self._progress.keys() - others):
            del self._progress[node]

    def _append(self, entry: LogEntry) -> None:
        index = self._log.last_index + 1
        self._write_entry(index, entry)

    def _write_entry(self, index: int, entry: LogEntry) -> None:
        """Writes an entry at an index and drops all entries after it."""
        replaces = index <= self._log.last_index
        self._log.truncate_and_append(index, entry)
        self._persisted = min(self._persisted, index - 1)
        self._records.append(Append(index, entry))
        if is_members(entry):
            self._set_members(index, decode_members(entry))
        elif replaces and self._members_index >= index:
            self._load_members()

    def _load_members(self) -> None:
        latest = self._log.find_members()
        if latest:
            self._set_members(*latest)

    def _set_members(self, index: int, members: Members) -> None:
        self._members_index = index
        self.members = members
        if self.is_leader:
            self._sync_progress()

    def _heartbeat(self) -> None:
        self._next_heartbeat_ms = (
            self._clock.now_ms() + self._timing.heartbeat_interval_ms
        )
        for node, progress in self._progress.items():
            self._send_append(node, progress, is_heartbeat=True)

    def _broadcast(self) -> None:
        for node, progress in self._progress.items():
            self._send_append(node, progress, is_heartbeat=False)

    def _send_append(
        self, node: str, progress: Progress, is_heartbeat: bool
    ) -> None:
        """Sends entries or a heartbeat, or a snapshot chunk.

        A chunk is sent when the entry before the next one is compacted.
        """
        now_ms = self._clock.now_ms()
        prev_index = progress.next_index - 1
        prev_term = self._log.term_at(prev_index)
        if prev_term is None:
            self._send_snapshot(node, progress, is_heartbeat)
            return
        entries: list[LogEntry] = []
        if progress.can_send_entries:
            entries = self._log.entries_from(
                progress.next_index, MAX_APPEND_BYTES
            )
        if not entries and not is_heartbeat:
            return
        if entries:
            size = sum(len(entry.data) for entry in entries)
            progress.on_sent(len(entries), size)
        self._send(
            node,
            AppendRequest(
                self.group,
                self.term,
                prev_index,
                prev_term,
                entries,
                self.commit_index,
                now_ms,
            ),
        )

    def _on_append(self, source: str, req: AppendRequest) -> None:
        if req.term < self.term:
            reply = AppendReply(self.group, self.term, False, 0, 0.0)
            self._send(source, reply)
            return
        self._on_leader_contact(source)
        if self._log.term_at(req.prev_index) != req.prev_term:
            # What the snapshot covers is committed and thus agrees.
            is_compacted = req.prev_index < self._log.first_index - 1
            hint = self._log.first_index - 1 if is_compacted else 0
            if not is_compacted:
                hint = min(self._log.last_index, req.prev_index - 1)
            self._reply_append(
                source, req, is_compacted, max(hint, self.commit_index)
            )
            return
        index = req.prev_index
        for entry in req.entries:
            index += 1
            is_new = self._log.term_at(index) != entry.term
            if is_new and index > self.commit_index:
                self._write_entry(index, entry)
        self._commit_to(min(req.commit_index, index))
        self._reply_append(source, req, True, index)

    def _reply_append(
        self,
        source: str,
        req: AppendRequest,
        is_matching: bool,
        match_index: int,
    ) -> None:
        self._send(
            source,
            AppendReply(
                self.group, self.term, is_matching, match_index, req.sent_ms
            ),
        )

    def _on_leader_contact(self, source: str) -> None:
        self._become_follower(self.term, source)
        self._election.on_leader_contact()

    def _on_append_reply(self, source: str, reply: AppendReply) -> None:
        progress = self._progress.get(source)
        if not self.is_leader or reply.term != self.term or not progress:
            return
        progress.on_ack(reply.sent_ms)
        if reply.is_matching:
            progress.on_match(reply.match_index)
            self._advance_commit()
        elif not progress.on_mismatch(
            reply.match_index, reply.sent_ms, self._clock.now_ms()
        ):
            return
        if progress.next_index <= self._log.last_index:
            self._send_append(source, progress, is_heartbeat=False)

    def _advance_commit(self) -> None:
        """Commits the entries that a majority of the voters has stored.

        Entries of earlier terms are committed only together with one of this
        term.
        """
        match_indices = [
            self._persisted
            if voter == self.node
            else self._progress[voter].match_index
            for voter in self.members.voters
        ]
        match_indices.sort(reverse=True)
        index = match_indices[len(match_indices) // 2]
        if index > self.commit_index and self._log.term_at(index) == self.term:
            self._commit_to(index)

    def _commit_to(self, index: int) -> None:
        if index <= self.commit_index:
            return
        self.commit_index = index
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
        is_long = len(self._log) > self._timing.snapshot_threshold
        is_large = self._log.size_bytes > self._timing.snapshot_bytes
        if not is_long and not is_large:
            return False
        snapshot = self._log.snapshot
        min_size = SNAPSHOT_RATIO * len(snapshot.data) if snapshot else 0
        return self._log.size_bytes >= min_size

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
        """Returns the members, None while a change of them is not applied."""
        return self.members if self._members_index <= self._applied else None

    def _send_snapshot(
        self, node: str, progress: Progress, is_heartbeat: bool
    ) -> None:
        """Sends the next chunk, or a heartbeat while one is unanswered."""
        now_ms = self._clock.now_ms()
        snapshot = self._log.snapshot
        progress.begin_snapshot(snapshot.index)
        if progress.is_chunk_unanswered and not is_heartbeat:
            return
        chunk = next_chunk(self.group, self.term, snapshot, progress, now_ms)
        self._send(node, chunk)

    def _on_snapshot_chunk(self, source: str, chunk: SnapshotChunk) -> None:
        if chunk.term < self.term:
            return
        self._on_leader_contact(source)
        if chunk.index <= self.commit_index:
            self._incoming.clear()
            reply = AppendReply(
                self.group, self.term, True, self.commit_index, chunk.sent_ms
            )
            self._send(source, reply)
            return
        data = self._incoming.add_chunk(chunk)
        if data is not None:
            self._install_snapshot(chunk, data)
        self._send(
            source,
            SnapshotReply(
                self.group,
                self.term,
                chunk.index,
                self._incoming.received_bytes,
                chunk.sent_ms,
            ),
        )

    def _install_snapshot(self, chunk: SnapshotChunk, data: bytes) -> None:
        snapshot = Snapshot(chunk.index, chunk.index_term, chunk.members, data)
        self._log.compact(snapshot)
        self._records.append(snapshot)
        self._machine.restore(data)
        self.commit_index = self._applied = chunk.index
        self._persisted = min(self._persisted, chunk.index)
        self._load_members()

    def _on_snapshot_reply(self, source: str, reply: SnapshotReply) -> None:
        progress = self._progress.get(source)
        if not self.is_leader or reply.term != self.term or not progress:
            return
        progress.on_ack(reply.sent_ms)
        snapshot = self._log.snapshot
        if snapshot is None or reply.index != snapshot.index:
            return
        if not progress.on_chunk_reply(reply.offset, reply.sent_ms):
            return
        if reply.offset >= len(snapshot.data):
            progress.on_match(reply.index)
            self._advance_commit()
        self._send_append(source, progress, is_heartbeat=False)

    # Leases.

    def _quorum_activity_ms(self) -> float:
        """Returns when a majority last showed that it is alive, in ms."""
        return self._majority_ms(lambda progress: progress.last_active_ms)

    def _lease_end_ms(self) -> float:
        """Returns when the lease from a majority of the voters ends, in ms."""
        return (
            self._majority_ms(lambda progress: progress.lease_from_ms)
            + self._timing.election_timeout_ms * LEASE_FRACTION
        )

    def _majority_ms(self, time_of: Callable[[Progress], float]) -> float:
        """Returns the latest time that a majority of the voters has reached.

        Args:
            time_of: returns the time that another voter has reached, in ms;
                for this node it is now.
        """
        now_ms = self._clock.now_ms()
        times_ms = [
            now_ms if voter == self.node else time_of(self._progress[voter])
            for voter in self.members.voters
        ]
        times_ms.sort(reverse=True)
        return times_ms[len(times_ms) // 2]

    def _set_hard_state(self, term: int, vote: str) -> None:
        self.term = term
        self._vote = vote
        self._records.append(HardState(term, vote))

    def _send(self, node: str, message: Message) -> None:
        self._messages.append((node, message))


def _has_prospective_term(message: Message) -> bool:
    """Returns whether a message carries the term of a pre-vote.

    No node has entered that term yet, so receiving it does not raise the term
    of the receiver.
    """
    match message:
        case VoteRequest(is_prevote=pre):
            return pre
        case VoteReply(is_prevote=pre, granted=granted):
            return pre and granted
    return False
