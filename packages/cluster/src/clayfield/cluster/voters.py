"""Which control nodes vote, changed one at a time."""

from clayfield.state.consensus import Consensus
from clayfield.state.membership import box_of
from clayfield.wire.messages import Members

MAX_LAG_TO_VOTE = 16
# A voter that was silent for so long gives its vote to one that is not.
SILENT_MS = 1800.0


class VoterPolicy:
    """Brings the voters nearer to the wanted ones.

    A voter is replaced when its address speaks as another node, since its
    disk is then gone, or when it was silent for `SILENT_MS` and another node
    has caught up. Nothing else takes a vote away.
    """

    __slots__ = ("_silent_since", "_wanted")

    def __init__(self, wanted: int):
        """Starts.

        Args:
            wanted: how many are to vote.
        """
        self._wanted = wanted
        self._silent_since: dict[str, float] = {}

    def step(
        self, consensus: Consensus, live: dict[str, str], now_ms: float
    ) -> Members | None:
        """Returns the members to propose next, None when all is well.

        Args:
            consensus: a settled leader's log.
            live: by address the control node that is connected, own included.
            now_ms: the time.
        """
        members = consensus.members
        self._note_silent(members, live, now_ms)
        newcomers = [n for n in live.values() if n not in members.voters]
        for node in sorted(newcomers):
            if node not in members.learners:
                return _with_learner(members, node)
        stale = [n for n in members.learners if live.get(box_of(n)) != n]
        if stale:
            return _without_learner(members, stale[0])
        ready = [n for n in sorted(newcomers) if _is_caught_up(consensus, n)]
        return self._replace(members, ready, live, now_ms)

    def _replace(
        self,
        members: Members,
        ready: list[str],
        live: dict[str, str],
        now_ms: float,
    ) -> Members | None:
        if not ready:
            return self._shrink(members, live, now_ms)
        if len(members.voters) < self._wanted:
            return _with_voter(members, ready[0])
        for voter in members.voters:
            if self._is_gone(voter, live, now_ms):
                return Members(
                    tuple(v for v in members.voters if v != voter),
                    members.learners,
                )
        return None

    def _shrink(
        self, members: Members, live: dict[str, str], now_ms: float
    ) -> Members | None:
        """Takes the vote of a node too many."""
        if len(members.voters) <= self._wanted:
            return None
        for voter in members.voters:
            if self._is_gone(voter, live, now_ms):
                return Members(
                    tuple(v for v in members.voters if v != voter),
                    members.learners,
                )
        return None

    def _note_silent(
        self, members: Members, live: dict[str, str], now_ms: float
    ) -> None:
        for voter in members.voters:
            if live.get(box_of(voter)) == voter:
                self._silent_since.pop(voter, None)
            else:
                self._silent_since.setdefault(voter, now_ms)

    def _is_gone(self, voter: str, live: dict[str, str], now_ms: float) -> bool:
        heard = live.get(box_of(voter))
        if heard is not None and heard != voter:
            return True
        since_ms = self._silent_since.get(voter)
        return since_ms is not None and now_ms - since_ms >= SILENT_MS


def _is_caught_up(consensus: Consensus, node: str) -> bool:
    lag = consensus.lag_of(node)
    return lag is not None and lag <= MAX_LAG_TO_VOTE


def _with_learner(members: Members, node: str) -> Members:
    return Members(members.voters, (*members.learners, node))


def _without_learner(members: Members, node: str) -> Members:
    learners = tuple(n for n in members.learners if n != node)
    return Members(members.voters, learners)


def _with_voter(members: Members, node: str) -> Members:
    learners = tuple(n for n in members.learners if n != node)
    return Members((*members.voters, node), learners)
