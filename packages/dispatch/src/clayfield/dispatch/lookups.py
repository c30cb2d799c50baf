"""Requests to home halls for the state of a key."""

from clayfield.base import ErrorKind, Problem, Ran
from clayfield.dispatch.actions import Action, SendAnswer, SendState
from clayfield.dispatch.response_bodies import render_problem
from clayfield.dispatch.retransmit import RetransmitTable
from clayfield.wire.messages import CLAIM_LOST, CLAIM_OWNED, ClaimReply, Lookup

RESEND_MS = 300.0
TIMEOUT_MS = 3000.0
RETRY_AFTER_MS = 1000
RUNNING = "running"


class _PendingLookup:
    """A lookup without a reply, and the caller that waits for it."""

    __slots__ = ("lookup", "waiter")

    def __init__(self, lookup: Lookup, waiter: object):
        self.lookup = lookup
        self.waiter = waiter


class PendingLookups:
    """The lookups of one box that have no reply yet.

    Lookups have negative numbers, which keeps them apart from submissions.
    """

    __slots__ = ("_last_number", "_node", "_pending")

    def __init__(self, node: str):
        self._node = node
        self._last_number = 0
        self._pending: RetransmitTable[int, _PendingLookup] = RetransmitTable(
            RESEND_MS
        )

    def add(self, key: str, waiter: object, now_ms: float) -> Lookup:
        """Registers a lookup and returns the message to send.

        Args:
            key: the caller's key with its member.
            waiter: identifies the caller; passed back with the answer.
            now_ms: the current time, in ms.
        """
        self._last_number -= 1
        lookup = Lookup(key, self._node, self._last_number)
        self._pending.add(
            self._last_number, _PendingLookup(lookup, waiter), now_ms
        )
        return lookup

    def on_reply(self, reply: ClaimReply) -> Action | None:
        """Returns the action that answers the caller.

        Returns None if the reply belongs to no pending lookup; each lookup is
        answered once.
        """
        pending = self._pending.pop(reply.nonce)
        if pending is None:
            return None
        if reply.outcome:
            return SendAnswer(pending.waiter, reply.outcome)
        if reply.verdict == CLAIM_OWNED:
            return SendState(pending.waiter, RUNNING)
        problem = Problem(ErrorKind.NOT_FOUND)
        if reply.verdict == CLAIM_LOST:
            problem = Problem(ErrorKind.CLAIMS_LOST, "", Ran.MAYBE)
        return SendAnswer(pending.waiter, render_problem(problem))

    def due(self, now_ms: float) -> list[Lookup]:
        """Returns the lookups that are due to be sent again."""
        return [pending.lookup for pending in self._pending.due(now_ms)]

    def expire(self, now_ms: float) -> list[Action]:
        """Removes lookups that timed out; returns the answers to callers."""
        problem = Problem(ErrorKind.NO_REGISTRY, "", Ran.MAYBE, RETRY_AFTER_MS)
        return [
            SendAnswer(pending.waiter, render_problem(problem))
            for _, pending in self._pending.expire(now_ms, TIMEOUT_MS)
        ]
