"""Questions about keys, asked of their home halls."""

from clayfield.base import Kind, Problem, Ran
from clayfield.dispatch.actions import Action, Answer, Tell
from clayfield.dispatch.outstanding import Outstanding
from clayfield.dispatch.rendering import render_problem
from clayfield.wire.messages import (
    CLAIM_LOST,
    CLAIM_OWNED,
    ClaimReply,
    Lookup,
)

RESEND_MS = 300.0
TIMEOUT_MS = 3000.0
RETRY_AFTER_MS = 1000
RUNNING = "running"


class _Asked:
    __slots__ = ("lookup", "waiter")

    def __init__(self, lookup: Lookup, waiter: object):
        self.lookup = lookup
        self.waiter = waiter


class Lookups:
    """The questions of one box that are not answered yet.

    Their numbers are negative, those of submissions positive.
    """

    __slots__ = ("_asked", "_node", "_number")

    def __init__(self, node: str):
        self._node = node
        self._number = 0
        self._asked: Outstanding[int, _Asked] = Outstanding(RESEND_MS)

    def ask(self, key: str, waiter: object, now_ms: float) -> Lookup:
        """Returns the question to send."""
        self._number -= 1
        lookup = Lookup(key, self._node, self._number)
        self._asked.add(self._number, _Asked(lookup, waiter), now_ms)
        return lookup

    def on_reply(self, reply: ClaimReply) -> Action | None:
        """Returns what to tell the asker, None if the reply is to no question.

        Each question is answered once.
        """
        asked = self._asked.pop(reply.nonce)
        if asked is None:
            return None
        if reply.outcome:
            return Answer(asked.waiter, reply.outcome)
        if reply.verdict == CLAIM_OWNED:
            return Tell(asked.waiter, RUNNING)
        problem = Problem(Kind.NOT_FOUND)
        if reply.verdict == CLAIM_LOST:
            problem = Problem(Kind.CLAIMS_LOST, "", Ran.MAYBE)
        return Answer(asked.waiter, render_problem(problem))

    def due(self, now_ms: float) -> list[Lookup]:
        """Returns the questions to send again now."""
        return [asked.lookup for asked in self._asked.due(now_ms)]

    def expire(self, now_ms: float) -> list[Action]:
        """Returns, once, what to tell those whose questions stay open."""
        problem = Problem(Kind.NO_REGISTRY, "", Ran.MAYBE, RETRY_AFTER_MS)
        return [
            Answer(asked.waiter, render_problem(problem))
            for _, asked in self._asked.expire(now_ms, TIMEOUT_MS)
        ]
