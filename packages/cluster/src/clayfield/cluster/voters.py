"""Selection of the voters among the control nodes, one change at a time."""

from clayfield.state.consensus import Consensus
from clayfield.state.membership import box_of
from clayfield.wire.messages import Members

MAX_LAG_TO_VOTE = 16
# Time without a connection after which a voter can be replaced.
VOTER_TIMEOUT_MS = 1800.0


class VoterPolicy:
    """Keeps the number of voters at its target and replaces lost voters.

    A voter is removed only when a node that has caught up can replace it, or
    when there are more voters than the target, and then only if

    - another node is connected with its address, which means that its disk
      was replaced, or
    - it has not been connected for `VOTER_TIMEOUT_MS`.
    """

    __slots__ = ("_disconnected_since", "_voter_count")

    def __init__(self, voter_count: int):
        """Sets up the policy.

        Args:
            voter_count: target number of voters.
        """
        self._voter_count = voter_count
        self._disconnected_since: dict[str, float] = {}

    def step(
        self, consensus: Consensus, live: dict[str, str], now_ms: float
    ) -> Members | None:
        """Returns the members to propose next, None if no change is needed.

        Args:
            consensus: the log of a leader that has committed an entry of its
                term.
            live: connected control nodes by address, the leader included.
            now_ms: current time, in ms.
        """
        members = consensus.members
        self._track_disconnected(members, live, now_ms)
        newcomers = [n for n in live.values() if n not in members.voters]
        for node in sorted(newcomers):
            if node not in members.learners:
                return _with_learner(members, node)
        stale = [n for n in members.learners if live.get(box_of(n)) != n]
        if stale:
            return _without_learner(members, stale[0])
        ready = [n for n in sorted(newcomers) if _is_caught_up(consensus, n)]
        return self._next_voters(members, ready, live, now_ms)

    def _next_voters(
        self,
        members: Members,
        ready: list[str],
        live: dict[str, str],
        now_ms: float,
    ) -> Members | None:
        """Returns the members with one voter added or removed.

        Args:
            members: current members.
            ready: connected nodes that have caught up and are no voters.
            live: connected control nodes by address.
            now_ms: current time, in ms.
        """
        if not ready:
            return self._remove_surplus_voter(members, live, now_ms)
        if len(members.voters) < self._voter_count:
            return _with_voter(members, ready[0])
        for voter in members.voters:
            if self._is_replaceable(voter, live, now_ms):
                return Members(
                    tuple(v for v in members.voters if v != voter),
                    members.learners,
                )
        return None

    def _remove_surplus_voter(
        self, members: Members, live: dict[str, str], now_ms: float
    ) -> Members | None:
        """Returns the members without a lost voter above the target number."""
        if len(members.voters) <= self._voter_count:
            return None
        for voter in members.voters:
            if self._is_replaceable(voter, live, now_ms):
                return Members(
                    tuple(v for v in members.voters if v != voter),
                    members.learners,
                )
        return None

    def _track_disconnected(
        self, members: Members, live: dict[str, str], now_ms: float
    ) -> None:
        for voter in members.voters:
            if live.get(box_of(voter)) == voter:
                self._disconnected_since.pop(voter, None)
            else:
                self._disconnected_since.setdefault(voter, now_ms)

    def _is_replaceable(
        self, voter: str, live: dict[str, str], now_ms: float
    ) -> bool:
        connected = live.get(box_of(voter))
        if connected is not None and connected != voter:
            return True
        since_ms = self._disconnected_since.get(voter)
        return since_ms is not None and now_ms - since_ms >= VOTER_TIMEOUT_MS


def _is_caught_up(consensus: Consensus, node: str) -> bool:
    lag = consensus.get_lag(node)
    return lag is not None and lag <= MAX_LAG_TO_VOTE


def _with_learner(members: Members, node: str) -> Members:
    return Members(members.voters, (*members.learners, node))


def _without_learner(members: Members, node: str) -> Members:
    learners = tuple(n for n in members.learners if n != node)
    return Members(members.voters, learners)


def _with_voter(members: Members, node: str) -> Members:
    learners = tuple(n for n in members.learners if n != node)
    return Members((*members.voters, node), learners)
