"""Runs random schedules of requests and faults on a simulated site.

A schedule submits jobs, applies concurrent configurations, crashes, freezes
and stops boxes, partitions them and replaces their disks. Then it repairs all
faults and checks that every request was answered, that all boxes have the same
configuration and that every key still has the same answer.
"""

import collections
import random
from collections.abc import Callable

import msgspec

from clayfield.box import BoxCore
from clayfield.config import Configuration, Limits
from clayfield.state import Timing
from clayfield.state.membership import box_of
from clayfield.testbed.box import FakeBox
from clayfield.testbed.invariants import InvariantChecker
from clayfield.testbed.network import Faults
from clayfield.testbed.site import MEMBER, Site, SiteShape
from clayfield.wire.messages import Outcome

SHAPE = SiteShape(
    {"h1": 3, "h2": 2, "h3": 3}, control_count=3, workers=2, slots=4
)
BAD_NETWORK = Faults(drop=0.02, double=0.02, jitter_ms=3.0)
GOOD_NETWORK = Faults()
STEP_MS = 120.0
RECOVERY_MS = 20_000.0
PARTITION_MS = 8000.0
PRIORITIES = ("cancel", "dear", "cheap")


class Chaos:
    """A random schedule of actions on a site.

    The order and the names of the actions are the input of the random choice:
    changing them changes the schedule of every seed.

    Attributes:
        site: the simulated site.
        checker: checks the invariants.
        injected_counts: number of actions performed, by name.
        actions: weight and method of each action, by name; the method returns
            whether it was performed.
    """

    def __init__(
        self,
        seed: int,
        shape: SiteShape = SHAPE,
        make_core: type[BoxCore] = BoxCore,
        timing: Timing | None = None,
        is_strict: bool = True,
    ):
        self.checker = InvariantChecker(is_strict)
        self.site = Site(
            shape,
            seed,
            self.checker,
            timing or Timing(snapshot_threshold=200),
            make_core=make_core,
        )
        self.injected_counts: collections.Counter[str] = collections.Counter()
        self._rng = random.Random(seed * 7919 + 1)
        self._submitted: list[tuple[str, list[float]]] = []
        self._unanswered = 0
        self._stopping_boxes: dict[str, int] = {}
        self._requests_by_process: dict[tuple[str, int], list] = {}
        self.actions: dict[str, tuple[float, Callable[[], bool]]] = {
            "submit": (10.0, self.submit),
            "resubmit": (6.0, self.resubmit),
            "resubmit_at_once": (2.0, self.submit_twice),
            "apply": (2.0, self.apply),
            "race": (1.0, self.race),
            "crash": (1.2, self.crash),
            "crash_hall": (0.15, self.crash_hall),
            "restart": (3.0, self.restart),
            "lose_disk": (0.4, self.lose_disk),
            "freeze": (0.5, self.freeze),
            "thaw": (1.5, self.thaw),
            "cut_hall": (0.3, self.cut_hall),
            "cut_box": (0.4, self.cut_box),
            "heal": (1.0, self.heal),
            "bad_network": (0.4, self.degrade_network),
            "good_network": (0.4, self.repair_network),
            "planned_stop": (0.4, self.planned_stop),
            "worker_dies": (0.4, self.kill_worker),
            "worker_returns": (0.8, self.revive_worker),
            "worker_leaves": (0.2, self.leave_worker),
        }

    # Schedule.

    def run(self, steps: int) -> None:
        """Performs random actions, then repairs and checks the site."""
        self.site.settle()
        names = list(self.actions)
        weights = [self.actions[name][0] for name in names]
        for _ in range(steps):
            self.do(self._rng.choices(names, weights)[0])
            self.site.run(self._rng.random() * STEP_MS)
        self.rest()

    def do(self, name: str) -> None:
        """Performs an action, if it is possible now, and counts it."""
        if self.actions[name][1]():
            self.injected_counts[name] += 1

    def rest(self) -> None:
        """Repairs all faults, waits and checks the site.

        Raises:
            ViolationError: an invariant was violated.
            AssertionError: the site did not recover.
        """
        self.repair_network()
        self.heal()
        for box in self.site.boxes.values():
            if box.is_frozen:
                box.thaw()
        for worker in self.site.workers.values():
            worker.is_leaving = False
            worker.revive()
        for box in self.site.boxes.values():
            if box.core is None or box.name in self._stopping_boxes:
                box.crash()
                box.start()
        self.site.run(RECOVERY_MS)
        self._check_recovery()
        self._resubmit_all()
        self._check_return()

    def _check_recovery(self) -> None:
        boxes = self.site.boxes.values()
        busy = [box.name for box in boxes if not box.core.submissions.is_idle]
        assert not busy, f"boxes still have requests: {busy}"
        not_ready = [box.name for box in boxes if not box.core.is_ready]
        assert not not_ready, f"boxes not ready: {not_ready}"
        versions = {box.core.cfg.version for box in boxes}
        assert len(versions) == 1, f"configuration versions differ: {versions}"
        assert not self._unanswered, f"requests unanswered: {self._unanswered}"

    def _resubmit_all(self) -> None:
        """Resubmits every key: nothing may start, answers must be the same."""
        for key, run_ms in self._submitted:
            self._submit_at(self._choose_box(), key, run_ms)
        self.site.run(RECOVERY_MS)
        assert not self._unanswered, f"requests unanswered: {self._unanswered}"

    def _check_return(self) -> None:
        """Partitions a box for long: its return must depose no leader."""
        box = self._rng.choice(list(self.site.boxes))
        before = self._leaders(except_box=box)
        self.site.network.cut({box}, set(self.site.boxes) - {box})
        self.site.run(PARTITION_MS)
        self.site.network.heal()
        self.site.run(PARTITION_MS)
        after = self._leaders(except_box=box)
        self.checker.on_return(
            before, {base: after.get(base) for base in before}
        )

    def _leaders(self, except_box: str) -> dict[str, tuple[str, int]]:
        """Returns leader and term of each group not led by `except_box`."""
        leaders = {}
        for box in self.site.boxes.values():
            for group in box.core.groups:
                if group.is_leader:
                    leaders[group.base] = (group.node, group.consensus.term)
        return {
            base: leader
            for base, leader in leaders.items()
            if box_of(leader[0]) != except_box
        }

    # Requests of callers.

    def submit(self) -> bool:
        """Submits a new job."""
        hall = self._rng.choice([*self.site.shape.halls, ""])
        number = len(self._submitted)
        key = f"{hall}:{number}" if hall else f"k{number}"
        count = self._rng.choice((1, 1, 2, 3, 6))
        run_ms = [50.0 + self._rng.random() * 450 for _ in range(count)]
        self._submitted.append((key, run_ms))
        return self._submit_at(self._choose_box(), key, run_ms)

    def resubmit(self) -> bool:
        """Resubmits a recent job at a random box."""
        if not self._submitted:
            return False
        key, run_ms = self._rng.choice(self._submitted[-12:])
        return self._submit_at(self._choose_box(), key, run_ms)

    def submit_twice(self) -> bool:
        """Submits a new job at two boxes at the same moment."""
        self.submit()
        key, run_ms = self._submitted[-1]
        return self._submit_at(self._choose_box(), key, run_ms)

    def _choose_box(self) -> FakeBox | None:
        boxes = [box for box in self.site.boxes.values() if box.core]
        return self._rng.choice(boxes) if boxes else None

    def _submit_at(
        self, box: FakeBox | None, key: str, run_ms: list[float]
    ) -> bool:
        if box is None:
            return False
        incarnation = box.incarnation
        self._unanswered += 1
        is_answered = [False]
        self._requests_by_process.setdefault(
            (box.name, incarnation), []
        ).append((key, is_answered))

        def answered(outcome: Outcome) -> None:
            is_answered[0] = True
            self._unanswered -= 1

        self.site.submit(
            box.name,
            key,
            PRIORITIES[len(run_ms) % len(PRIORITIES)],
            run_ms,
            answered,
            member=MEMBER,
        )
        self._watch_for_crash(box, incarnation, is_answered)
        return True

    def _watch_for_crash(
        self, box: FakeBox, incarnation: int, is_answered: list[bool]
    ) -> None:
        """Counts a request as answered if its box crashes before the answer."""

        def check() -> None:
            if is_answered[0]:
                return
            if box.core is None or box.incarnation != incarnation:
                self._unanswered -= 1
                is_answered[0] = True
                return
            self.site.events.call_later(500.0, check)

        self.site.events.call_later(500.0, check)

    # Requests of operators.

    def apply(self) -> bool:
        """Applies a changed configuration at a box."""
        box = self._choose_box()
        return box is not None and self._apply_at(box, box.core.cfg)

    def race(self) -> bool:
        """Applies two configurations for the same version at two boxes."""
        box, other = self._choose_box(), self._choose_box()
        if box is None or box is other:
            return False
        base = box.core.cfg
        return self._apply_at(box, base) and self._apply_at(other, base)

    def _apply_at(self, box: FakeBox, base: Configuration) -> bool:
        if base.version < 1:
            return False
        cfg = msgspec.structs.replace(
            base,
            replaces=base.version,
            limits=Limits(queue_ms=self._rng.randrange(500, 5000)),
        )
        return bool(self.site.apply_config(box.name, cfg))

    # Faults.

    def crash(self) -> bool:
        """Kills a box, as long as more than half of all boxes run."""
        up = [b for b in self.site.boxes.values() if b.core]
        if len(up) <= len(self.site.boxes) // 2:
            return False
        self._rng.choice(up).crash()
        return True

    def crash_hall(self) -> bool:
        """Kills all boxes of a hall at once."""
        hall = self._rng.choice(list(self.site.shape.halls))
        for box in self.site.boxes_in(hall):
            box.crash()
        return True

    def restart(self) -> bool:
        """Starts a box that is down."""
        down = [b for b in self.site.boxes.values() if b.core is None]
        if not down:
            return False
        box = self._rng.choice(down)
        self._stopping_boxes.pop(box.name, None)
        box.start()
        return True

    def lose_disk(self) -> bool:
        """Replaces the disk of a control box, if all control boxes vote."""
        disks = [b for b in self.site.boxes.values() if b.disk]
        if not all(b.core and self._is_voting(b) for b in disks):
            return False
        box = self._rng.choice(disks)
        box.crash()
        box.lose_disk()
        return True

    def _is_voting(self, box: FakeBox) -> bool:
        """Returns whether a control box votes in a group with all voters."""
        group = box.core.control.group
        return group.is_voter and group.machine.is_open and group.has_all_voters

    def freeze(self) -> bool:
        """Suspends the process of a box without ending it."""
        box = self._choose_box()
        if box is None or box.is_frozen:
            return False
        box.freeze()
        return True

    def thaw(self) -> bool:
        """Resumes a frozen box."""
        frozen = [b for b in self.site.boxes.values() if b.is_frozen]
        if not frozen:
            return False
        self._rng.choice(frozen).thaw()
        return True

    def cut_hall(self) -> bool:
        """Partitions a hall from the others."""
        hall = self._rng.choice(list(self.site.shape.halls))
        inside = self.site.names_in(hall)
        outside = {*self.site.boxes, *self.site.workers} - inside
        self.site.network.cut(inside, outside)
        return True

    def cut_box(self) -> bool:
        """Partitions a box from the other boxes; its streams stay open."""
        box = self._rng.choice(list(self.site.boxes))
        self.site.network.cut({box}, set(self.site.boxes) - {box})
        return True

    def heal(self) -> bool:
        """Ends all partitions of the network."""
        self.site.network.heal()
        return True

    def degrade_network(self) -> bool:
        """Makes the network drop, duplicate and reorder messages."""
        self.site.network.faults = BAD_NETWORK
        return True

    def repair_network(self) -> bool:
        """Ends the random faults of the network."""
        self.site.network.faults = GOOD_NETWORK
        return True

    def planned_stop(self) -> bool:
        """Begins a planned stop of a box; another action restarts it."""
        box = self._choose_box()
        if box is None or box.is_frozen or box.name in self._stopping_boxes:
            return False
        self._stopping_boxes[box.name] = box.incarnation
        box.call(lambda core: core.announce_stop())
        incarnation = box.incarnation
        self.site.events.call_later(
            500.0, lambda: self._begin_stop(box, incarnation)
        )
        return True

    def _begin_stop(self, box: FakeBox, incarnation: int) -> None:
        if box.incarnation != incarnation or box.core is None:
            return
        box.call(lambda core: core.begin_stop())
        self._end_when_drained(box, incarnation)

    def _end_when_drained(self, box: FakeBox, incarnation: int) -> None:
        if box.incarnation != incarnation or box.core is None:
            return
        if box.core.is_drained:
            sent = self._requests_by_process.get((box.name, incarnation), [])
            for key, is_answered in sent:
                self.checker.on_planned_stop_answer(key, is_answered[0])
            box.crash()
            return
        self.site.events.call_later(
            50.0, lambda: self._end_when_drained(box, incarnation)
        )

    def kill_worker(self) -> bool:
        """Kills a worker; its running tasks are lost."""
        alive = [w for w in self.site.workers.values() if w.is_alive]
        if len(alive) <= len(self.site.workers) // 2:
            return False
        self._rng.choice(alive).kill()
        return True

    def revive_worker(self) -> bool:
        """Restarts a dead worker."""
        dead = [w for w in self.site.workers.values() if not w.is_alive]
        if not dead:
            return False
        self._rng.choice(dead).revive()
        return True

    def leave_worker(self) -> bool:
        """Makes a worker leave; starts after a grace period are violations."""
        staying = [w for w in self.site.workers.values() if not w.is_leaving]
        if len(staying) <= len(self.site.workers) // 2:
            return False
        worker = self._rng.choice(staying)
        worker.is_leaving = True
        return True
