"""Which entry nodes are known to wait for the jobs that this node schedules.

A caller whose entry node is lost submits its job again after a fixed time, and
the copy may reach another scheduler. So the runs of a job must have ended by
then unless an entry node still waits for it. The scheduler sends a probe to
each entry node that waits for a job, and the reply confirms that the node was
waiting when the probe was sent. That time is on the scheduler's own clock, so
a reply that is read late confirms nothing that is no longer true.
"""

import math
from collections.abc import Iterable

from clayfield.base import Clock
from clayfield.wire.cluster import SessionProbe, SessionReply, SubmitJob

# Interval between the probes of an entry node that waits for jobs.
PROBE_INTERVAL_MS = 100.0


class EntrySession:
    """The time during which an entry node waits for the jobs it has sent.

    An entry node begins another session when it loses its connection to the
    scheduler or when a grant names another one; it then sends again those jobs
    that it still waits for.

    Attributes:
        entry: the entry node.
        number: number of the session, chosen by the entry node; 0 if the
            entry node has none.
        opened_ms: time of the first job that was sent in it, in ms.
        confirmed_ms: time at which the entry node last was in this session,
            in ms; infinite for a session that needs no confirmation, negative
            infinite for one without any.
    """

    __slots__ = ("confirmed_ms", "entry", "number", "opened_ms")

    def __init__(
        self, entry: str, number: int, opened_ms: float, confirmed_ms: float
    ):
        self.entry = entry
        self.number = number
        self.opened_ms = opened_ms
        self.confirmed_ms = confirmed_ms

    @property
    def silent_since_ms(self) -> float:
        """Time of the latest sign of the entry node, in ms."""
        return max(self.opened_ms, self.confirmed_ms)


class EntrySessions:
    """The sessions of the entry nodes with one scheduler.

    Attributes:
        probes: probes to send, with the entry node that each is for; the
            caller empties the list.
    """

    __slots__ = ("_clock", "_latest", "_node", "_probed_ms", "probes")

    def __init__(self, clock: Clock, node: str):
        """Creates the record of a scheduler without sessions.

        Args:
            clock: source of the current time.
            node: name of the scheduler's own node, which needs no probes.
        """
        self.probes: list[tuple[str, SessionProbe]] = []
        self._clock = clock
        self._node = node
        self._latest: dict[str, EntrySession] = {}
        self._probed_ms: dict[str, float] = {}

    def on_submit(self, entry: str, submit: SubmitJob) -> EntrySession:
        """Returns the session in which a job was sent.

        The entry node is probed at once if it was not confirmed lately.
        """
        session = self._find(entry, submit)
        if submit.probed_ms:
            self._confirm(session, submit.probed_ms)
        now_ms = self._clock.now_ms()
        if now_ms - session.confirmed_ms > PROBE_INTERVAL_MS:
            self._probe(entry, now_ms)
        return session

    def _find(self, entry: str, submit: SubmitJob) -> EntrySession:
        """Returns a submission's session; adds it if it is the latest."""
        latest = self._latest.get(entry)
        if latest and latest.number == submit.session:
            return latest
        is_always_valid = entry == self._node or not submit.session
        confirmed_ms = math.inf if is_always_valid else -math.inf
        session = EntrySession(
            entry, submit.session, self._clock.now_ms(), confirmed_ms
        )
        if latest is None or latest.number < submit.session:
            self._latest[entry] = session
        return session

    def on_reply(self, entry: str, reply: SessionReply) -> None:
        """Handles an entry node's reply to a probe."""
        session = self._latest.get(entry)
        if session and session.number == reply.session:
            self._confirm(session, reply.probed_ms)

    def _confirm(self, session: EntrySession, probed_ms: float) -> None:
        session.confirmed_ms = max(session.confirmed_ms, probed_ms)

    def probe_due(self, sessions: Iterable[EntrySession]) -> None:
        """Probes the entry nodes of sessions whose next probe is due."""
        now_ms = self._clock.now_ms()
        for session in sessions:
            sent_ms = self._probed_ms.get(session.entry, -math.inf)
            is_due = now_ms - sent_ms >= PROBE_INTERVAL_MS
            if is_due and session.confirmed_ms < math.inf:
                self._probe(session.entry, now_ms)

    def _probe(self, entry: str, now_ms: float) -> None:
        """Sends a probe, unless one was sent at the same time."""
        if self._probed_ms.get(entry) == now_ms:
            return
        self._probed_ms[entry] = now_ms
        self.probes.append((entry, SessionProbe(now_ms)))
