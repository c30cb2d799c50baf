"""Directed failure tests ("drills") on a simulated site.

A drill causes one kind of failure on a new site and raises an error when an
invariant is violated. Most drills end by resubmitting every key, which must
start nothing and return the same bytes.

A key such as `h1:k` names its hall. A claim is the record in the registry of a
hall that a box runs a key; the group `hall:h1` replicates the claims of `h1`.
"""

from collections.abc import Callable

import msgspec

from clayfield.base import ErrorKind
from clayfield.config import Configuration, Limits
from clayfield.state.membership import box_of
from clayfield.testbed.box import FakeBox
from clayfield.testbed.site import Site, SiteShape
from clayfield.wire.messages import Outcome

ONE_HALL = SiteShape({"h1": 3}, control_count=3, workers=2, slots=4)
THREE_HALLS = SiteShape(
    {"h1": 3, "h2": 3, "h3": 3}, control_count=3, workers=2, slots=4
)
FOUR_BOXES = SiteShape({"h1": 4}, control_count=3, workers=2, slots=4)
TWO_HALLS = SiteShape({"h1": 3, "h2": 3}, control_count=3, workers=2, slots=4)
TASKS_MS = [80.0, 120.0]
SHORT_MS = 1500.0
LONG_MS = 6000.0
TIMEOUT_MS = 20_000.0
MANY_CHANGES = 500


class Drill:
    """A site and the answers of its callers.

    Attributes:
        site: the simulated site.
        answers: all answers, by key.
    """

    def __init__(self, seed: int, shape: SiteShape = ONE_HALL):
        self.site = Site(shape, seed)
        self.answers: dict[str, list[Outcome]] = {}
        self._priorities: dict[str, str] = {}
        self.site.settle()

    def submit(self, box: str, key: str, priority: str = "dear") -> None:
        """Submits a job; its answer is added to `answers`."""
        answers = self.answers.setdefault(key, [])
        self.site.submit(box, key, priority, TASKS_MS, answers.append)

    def statuses(self, key: str) -> list[int]:
        """Returns the statuses of the answers to a key."""
        return [outcome.status for outcome in self.answers[key]]

    def leader(self, group: str) -> FakeBox:
        """Returns the box that leads a group."""
        for box in self.site.boxes.values():
            if box.core is None:
                continue
            for replica in box.core.groups:
                if replica.base == group and replica.is_leader:
                    return box
        raise AssertionError(f"group {group!r} has no leader")

    def followers(self, group: str) -> list[FakeBox]:
        """Returns the other boxes of a group."""
        leader = self.leader(group)
        voters = next(
            replica.consensus.members.voters
            for replica in leader.core.groups
            if replica.base == group
        )
        names = [box_of(voter) for voter in voters]
        return [self.site.boxes[n] for n in names if n != leader.name]

    def cut(self, box: FakeBox) -> None:
        """Partitions a box from all other boxes, but not from workers."""
        self.site.network.cut({box.name}, set(self.site.boxes) - {box.name})

    def change(self, box: str, base: Configuration, queue_ms: int) -> int:
        """Applies a configuration with another queue limit at a box.

        Args:
            box: name of the box.
            base: the configuration that it replaces.
            queue_ms: the new limit, in ms.

        Returns:
            The number of the request.
        """
        cfg = msgspec.structs.replace(
            base, replaces=base.version, limits=Limits(queue_ms=queue_ms)
        )
        return self.site.apply_config(box, cfg)

    def run_until(
        self,
        is_met: Callable[[], bool],
        step_ms: float = 10.0,
        meanwhile: Callable[[], None] = lambda: None,
    ) -> None:
        """Advances the simulation until a condition is met.

        Args:
            is_met: returns whether the condition is met.
            step_ms: time between two checks, in ms.
            meanwhile: called after each check that fails.

        Raises:
            AssertionError: the condition is not met in time.
        """
        end_ms = self.site.events.now_ms() + TIMEOUT_MS
        while not is_met():
            assert self.site.events.now_ms() < end_ms, "condition not met"
            meanwhile()
            self.site.run(step_ms)

    def resubmit_all(self) -> None:
        """Repairs the site and resubmits every key at every box."""
        self.site.network.heal()
        for box in self.site.boxes.values():
            if box.core is None:
                box.start()
        self.site.run(LONG_MS)
        for key in list(self.answers):
            for box in self.site.boxes:
                self.submit(box, key)
        self.site.run(LONG_MS)


def same_key_at_two_boxes(seed: int) -> None:
    """A key is submitted at all boxes of a hall at the same time."""
    drill = Drill(seed)
    for box in drill.site.boxes:
        drill.submit(box, "h1:k")
    drill.site.run(SHORT_MS)
    assert drill.statuses("h1:k") == [200, 200, 200]
    drill.resubmit_all()


def same_key_in_two_halls(seed: int) -> None:
    """A key without a hall is submitted in three halls at the same time."""
    drill = Drill(seed, THREE_HALLS)
    for box in ("h1-a", "h2-a", "h3-c"):
        drill.submit(box, "opaque")
    drill.site.run(SHORT_MS)
    assert drill.statuses("opaque") == [200, 200, 200]
    drill.resubmit_all()


def answer_lost(seed: int) -> None:
    """A caller resubmits at another box and gets the same answer."""
    drill = Drill(seed)
    drill.submit("h1-b", "h1:k")
    drill.site.run(SHORT_MS)
    drill.submit("h1-c", "h1:k")
    drill.site.run(100)
    first, second = drill.answers["h1:k"]
    assert first.status == 200
    assert first.body == second.body
    drill.resubmit_all()


def owner_died(seed: int) -> None:
    """The box that runs a job crashes; its key may have run."""
    drill = Drill(seed)
    drill.submit("h1-b", "h1:k")
    drill.site.run(40)
    drill.site.boxes["h1-b"].crash()
    drill.submit("h1-c", "h1:k")
    drill.site.run(LONG_MS)
    assert drill.statuses("h1:k") == [502]
    assert b'"ran":"maybe"' in drill.answers["h1:k"][0].body
    drill.resubmit_all()


def replica_died(seed: int) -> None:
    """A replica of the claims crashes while jobs run; all jobs succeed."""
    drill = Drill(seed)
    replica = drill.followers("hall:h1")[0]
    other = drill.leader("hall:h1").name
    drill.submit(other, "h1:k")
    drill.site.run(20)
    replica.crash()
    drill.submit(other, "h1:l")
    drill.site.run(SHORT_MS)
    assert drill.statuses("h1:k") == [200]
    assert drill.statuses("h1:l") == [200]
    drill.resubmit_all()


def second_lost_after_repair(seed: int) -> None:
    """A replica restarts empty and catches up; then another one crashes."""
    drill = Drill(seed)
    first, second = drill.followers("hall:h1")
    leader = drill.leader("hall:h1").name
    drill.submit(leader, "h1:k")
    drill.site.run(SHORT_MS)
    first.crash()
    first.start()
    drill.run_until(lambda: first.core.is_ready)
    second.crash()
    drill.submit(first.name, "h1:k")
    drill.site.run(SHORT_MS)
    assert drill.statuses("h1:k") == [200, 200]
    drill.resubmit_all()


def leader_isolated(seed: int) -> None:
    """The leader of the claims is partitioned; it must start nothing new."""
    drill = Drill(seed)
    leader = drill.leader("hall:h1")
    other = drill.followers("hall:h1")[0]
    drill.cut(leader)
    drill.submit(leader.name, "h1:k")
    drill.site.run(1800)
    drill.submit(other.name, "h1:k")
    drill.site.run(LONG_MS)
    assert drill.statuses("h1:k").count(200) == 1
    drill.resubmit_all()


def empty_voter_returns(seed: int) -> None:
    """One replica of a claim restarts empty, the other is partitioned."""
    drill = Drill(seed)
    leader = drill.leader("hall:h1")
    restarted, absent = drill.followers("hall:h1")
    drill.cut(absent)
    drill.submit(leader.name, "h1:k")
    drill.site.run(30)
    restarted.crash()
    restarted.start()
    drill.site.network.heal()
    drill.cut(leader)
    drill.site.run(LONG_MS)
    drill.submit(absent.name, "h1:k")
    drill.site.run(LONG_MS)
    drill.resubmit_all()


def hall_cut_off(seed: int) -> None:
    """A partitioned hall serves its own keys and rejects all others."""
    drill = Drill(seed, THREE_HALLS)
    inside = drill.site.names_in("h2")
    outside = {*drill.site.boxes, *drill.site.workers} - inside
    drill.site.network.cut(inside, outside)
    drill.submit("h2-b", "h2:k")
    drill.submit("h2-b", "h1:k")
    drill.submit("h1-b", "h1:l")
    drill.site.run(LONG_MS)
    assert drill.statuses("h2:k") == [200]
    assert drill.statuses("h1:l") == [200]
    assert drill.statuses("h1:k") == [ErrorKind.NO_REGISTRY.status]
    drill.resubmit_all()


def whole_hall_restarts(seed: int) -> None:
    """All replicas of a hall restart empty; earlier keys stay rejected."""
    drill = Drill(seed, THREE_HALLS)
    drill.submit("h2-a", "h2:k")
    drill.site.run(SHORT_MS)
    for box in drill.site.boxes_in("h2"):
        box.crash()
    for box in drill.site.boxes_in("h2"):
        box.start()
    drill.site.run(LONG_MS)
    drill.submit("h2-a", "h2:k")
    drill.submit("h2-b", "h2.2:new")
    drill.site.run(SHORT_MS)
    assert drill.statuses("h2:k") == [200, ErrorKind.CLAIMS_LOST.status]
    assert drill.statuses("h2.2:new") == [200]
    drill.resubmit_all()


def hall_added(seed: int) -> None:
    """A hall is added by a rolling restart; moved keys do not run twice."""
    drill = Drill(seed, TWO_HALLS)
    keys = [f"opaque-{number}" for number in range(30)]
    for key in keys:
        drill.submit("h1-a", key)
    drill.site.run(LONG_MS)
    first = list(drill.site.boxes)
    drill.site.add_hall("h3", 3)
    for name in first:
        drill.site.boxes[name].crash()
        drill.site.boxes[name].start()
        for key in keys[:5]:
            drill.submit(name, key)
            drill.submit("h3-a", key)
        drill.site.run(LONG_MS)
    drill.submit("h3-b", "h3.2:new")
    drill.site.run(SHORT_MS)
    assert drill.statuses("h3.2:new") == [200]
    drill.resubmit_all()


def control_box_moved(seed: int) -> None:
    """The control role moves to another box by a rolling restart."""
    drill = Drill(seed, FOUR_BOXES)
    version = 1
    drill.site.move_control("h1-a", "h1-d")
    for name, box in drill.site.boxes.items():
        drill.change(name, box.core.cfg, 600 + version)
        drill.site.run(SHORT_MS)
        version += 1
        box.crash()
        box.start()
        drill.run_until(lambda box=box: box.core.is_ready)
    drill.site.run(LONG_MS)
    leader = drill.leader("control")
    voters = leader.core.control.group.consensus.members.voters
    assert sorted(map(box_of, voters)) == ["h1-b", "h1-c", "h1-d"]
    drill.change("h1-a", leader.core.cfg, 999)
    drill.site.run(SHORT_MS)
    versions = {box.core.cfg.version for box in drill.site.boxes.values()}
    assert versions == {version + 1}, f"in force {versions}"


def worker_dies(seed: int) -> None:
    """The workers die while they run a job; it fails with TASK_LOST."""
    drill = Drill(seed)
    drill.submit("h1-a", "h1:k")
    drill.site.run(30)
    for worker in drill.site.workers.values():
        worker.kill()
    drill.site.run(20)
    for worker in drill.site.workers.values():
        worker.revive()
    drill.site.run(LONG_MS)
    assert drill.statuses("h1:k") == [ErrorKind.TASK_LOST.status]
    drill.resubmit_all()


def operators_race(seed: int) -> None:
    """Of two configurations for one version one is rejected, also if resent."""
    drill = Drill(seed)
    base = drill.site.boxes["h1-a"].core.cfg
    requests = []
    for _ in range(2):
        requests += [
            (box, drill.change(box, base, queue_ms))
            for box, queue_ms in (("h1-a", 700), ("h1-b", 900))
        ]
        drill.site.run(SHORT_MS)
    codes = [drill.site.boxes[b].applied[n].code for b, n in requests]
    assert codes[:2] == codes[2:]
    assert sorted(codes[:2]) == ["", ErrorKind.VERSION_RACE.code]


def resent_after_many_changes(seed: int) -> None:
    """A configuration resent after 500 changes gets its first answer."""
    drill = Drill(seed)
    base = drill.site.boxes["h1-a"].core.cfg
    first = drill.change("h1-a", base, 777)
    drill.site.run(SHORT_MS)
    for number in range(MANY_CHANGES):
        drill.change("h1-a", drill.site.boxes["h1-a"].core.cfg, 500 + number)
        drill.site.run(60)
    again = drill.change("h1-c", base, 777)
    drill.site.run(SHORT_MS)
    answers = [
        drill.site.boxes[box].applied[number]
        for box, number in (("h1-a", first), ("h1-c", again))
    ]
    assert [(a.version, a.code) for a in answers] == [(2, "")] * 2
    assert drill.site.boxes["h1-b"].core.cfg.version == MANY_CHANGES + 2


def many_changes_missed(seed: int) -> None:
    """A control box that was down for 500 changes catches up."""
    drill = Drill(seed)
    follower = drill.followers("control")[0]
    leader = drill.leader("control")
    follower.crash()
    for number in range(MANY_CHANGES):
        drill.change(leader.name, leader.core.cfg, 500 + number)
        drill.site.run(60)
    follower.start()
    drill.site.run(LONG_MS)
    assert follower.core.cfg == leader.core.cfg
    assert follower.core.cfg.version == MANY_CHANGES + 1


def accepted_then_power_lost(seed: int) -> None:
    """All boxes lose power just after a configuration was accepted."""
    drill = Drill(seed)
    leader = drill.leader("control")
    number = drill.change(leader.name, leader.core.cfg, 777)
    drill.run_until(lambda: number in leader.applied, step_ms=1.0)
    assert leader.applied[number].code == ""
    for box in drill.site.boxes.values():
        box.crash()
    for box in drill.site.boxes.values():
        box.start()
    drill.site.run(LONG_MS)
    versions = {box.core.cfg.version for box in drill.site.boxes.values()}
    assert versions == {2}, f"accepted version 2, in force {versions}"


def back_from_silence(seed: int) -> None:
    """A box returns from a long partition and deposes no leader."""
    for group in ("hall:h1", "control"):
        drill = Drill(seed)
        follower = drill.followers(group)[0]
        leader = drill.leader(group)
        before = {group: _term_of(leader, group)}
        drill.cut(follower)
        drill.site.run(60_000)
        drill.site.network.heal()
        drill.site.run(LONG_MS)
        after = {group: _term_of(drill.leader(group), group)}
        drill.site.checker.on_return(before, after)


def _term_of(box: FakeBox, group: str) -> int:
    return next(
        replica.consensus.term
        for replica in box.core.groups
        if replica.base == group
    )


def rolling_restart_under_load(seed: int) -> None:
    """Every box is stopped as planned and restarted, under load."""
    drill = Drill(seed)
    for name, box in drill.site.boxes.items():
        others = [other for other in drill.site.boxes if other != name]

        def submit(box: str = others[0]) -> None:
            drill.submit(box, f"h1:k{len(drill.answers)}")

        for _ in range(10):
            submit(name)
            drill.site.run(15)
        box.call(lambda core: core.announce_stop())
        box.call(lambda core: core.begin_stop())
        core = box.core
        drill.run_until(lambda core=core: core.is_drained, 30.0, submit)
        box.crash()
        box.start()
        core = box.core
        drill.run_until(lambda core=core: core.is_ready, 30.0, submit)
    drill.site.run(LONG_MS)
    for key in drill.answers:
        is_complete = drill.statuses(key) == [200]
        drill.site.checker.on_planned_stop_answer(key, is_complete)


DRILLS: dict[str, Callable[[int], None]] = {
    drill.__name__: drill
    for drill in (
        same_key_at_two_boxes,
        same_key_in_two_halls,
        answer_lost,
        owner_died,
        replica_died,
        second_lost_after_repair,
        leader_isolated,
        empty_voter_returns,
        hall_cut_off,
        whole_hall_restarts,
        hall_added,
        control_box_moved,
        worker_dies,
        operators_race,
        resent_after_many_changes,
        many_changes_missed,
        accepted_then_power_lost,
        back_from_silence,
        rolling_restart_under_load,
    )
}
