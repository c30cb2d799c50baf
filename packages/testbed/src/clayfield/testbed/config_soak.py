"""Runs real node processes under faults and checks four promises.

A confirmed configuration is in force in time, never comes back older, is
valid, and its routes are served. Run by hand with
`python -m clayfield.testbed.config_soak --seed 1 --seconds 60`.
"""

import argparse
import pathlib
import random
import signal
import sys
import tempfile
import time
from collections.abc import Callable

import msgspec

from clayfield.testbed.processes import wait_for
from clayfield.testbed.proxy import Link
from clayfield.testbed.soak_checks import EntryChecker, ReadChecker
from clayfield.testbed.soak_operator import OK, History, Operator
from clayfield.testbed.soak_site import SoakNode, SoakSite

CATCH_UP_S = 4.0
SETTLE_S = 12.0
POLL_S = 0.02
READ_BACK_S = 3.0
FAULT_S = (0.3, 4.0)
CALM_S = (0.2, 5.0)
SLOW_LINK_BYTES_PER_S = (20_000, 400_000)
LINK_DELAY_S = (0.05, 0.4)
GRACE_S = 6.0
CORE_RETURN_S = 1.0
ENTRY_COUNT = 4
FIRST_CHANGE_S = 30.0


class SoakResult(msgspec.Struct):
    """What a soak found.

    Attributes:
        seed: seed of the run.
        violations: descriptions of the violations.
        unanswered: descriptions of the jobs without an answer.
        faults: number of faults, by name.
        counts: number of calls, by kind and status.
        checked: number of checks of versions that were due at entry nodes.
        answered: number of reads that control nodes answered.
        acked: number of versions acknowledged.
    """

    seed: int
    violations: list[str]
    unanswered: list[str]
    faults: dict[str, int]
    counts: dict[str, int]
    checked: int
    answered: int
    acked: int


class ConfigSoak:
    """One run with a seed."""

    def __init__(self, seed: int, folder: pathlib.Path, controls: int = 3):
        self._seed = seed
        self._rng = random.Random(seed)
        self._site = SoakSite(folder, controls, ENTRY_COUNT)
        self._history = History(time.monotonic())
        self._started_s = time.monotonic()
        self._faults: dict[str, int] = {}
        self._disk_lost_until_s = 0.0
        self._pending: list[tuple[float, Callable[[], None]]] = []
        self._operators = [
            Operator(self._site, self._history, self._fork()) for _ in range(2)
        ]
        self._checkers = [
            EntryChecker(self._site, self._history, node, self._fork())
            for node in self._site.entries
        ]
        self._reader = ReadChecker(self._site, self._history, self._fork())

    def _fork(self) -> random.Random:
        return random.Random(self._rng.getrandbits(64))

    def run(self, seconds: float) -> SoakResult:
        """Runs the faults, then the closing fault; returns what was found."""
        try:
            self._site.start()
            wait_for(
                lambda: self._operators[0].send_change(FIRST_CHANGE_S),
                "the first configuration is taken",
            )
            threads = [*self._operators, *self._checkers, self._reader]
            for thread in threads:
                thread.start()
            self._run_faults(seconds)
            self._run_closing_fault()
            for thread in threads:
                thread.is_stopping = True
            for thread in threads:
                thread.join()
        finally:
            self._site.stop()
        return SoakResult(
            self._seed,
            self._history.violations,
            self._history.unanswered,
            self._faults,
            self._history.counts,
            sum(checker.checked for checker in self._checkers),
            self._reader.answered,
            len(self._history.acked_s),
        )

    def _run_faults(self, seconds: float) -> None:
        end_s = time.monotonic() + seconds
        next_s = 0.0
        while time.monotonic() < end_s:
            now_s = time.monotonic()
            if now_s >= next_s:
                self._start_fault()
                next_s = now_s + self._rng.uniform(*CALM_S)
            self._run_pending(now_s)
            time.sleep(POLL_S)
        self._end_faults()

    def _end_faults(self) -> None:
        while self._pending:
            self._run_pending(time.monotonic())
            time.sleep(POLL_S)

    def _run_pending(self, now_s: float) -> None:
        """Ends the faults whose time is over."""
        due = [item for item in self._pending if item[0] <= now_s]
        for item in due:
            self._pending.remove(item)
            item[1]()

    def _after(self, delay_s: float, function: Callable[[], None]) -> None:
        self._pending.append((time.monotonic() + delay_s, function))

    def _start_fault(self) -> None:
        """Starts one fault at a node that has none."""
        running = [node for node in self._site.nodes if not node.is_away]
        if not running:
            return
        node = self._rng.choice(running)
        fault = self._rng.choice(
            (
                self._kill,
                self._suspend,
                self._terminate,
                self._reload,
                self._lose_disk,
                self._replace,
                self._slow_links,
                self._silence_links,
                self._silence_links,
                self._refuse_links,
                self._reset_links,
                self._kill_core,
                self._split_core,
            )
        )
        if fault(node):
            name = f"{fault.__name__[1:]} {node.role}"
            self._faults[name] = self._faults.get(name, 0) + 1
            elapsed_s = time.monotonic() - self._started_s
            print(f"{elapsed_s:.2f} s: {name} {node.name}", file=sys.stderr)

    def _set_away(self, node: SoakNode) -> None:
        node.is_away = True
        node.begin_disturbance()

    def _set_back(self, node: SoakNode) -> None:
        node.is_away = False
        node.end_disturbance()

    def _fault_s(self) -> float:
        return self._rng.uniform(*FAULT_S)

    # Faults; each returns whether it was started.

    def _kill(self, node: SoakNode) -> bool:
        self._set_away(node)
        node.kill()
        self._after(self._fault_s(), lambda: self._start(node))
        return True

    def _start(self, node: SoakNode) -> None:
        node.kill()
        node.start(self._site.seeds)
        self._await_start(node)

    def _await_start(self, node: SoakNode) -> None:
        """Ends a disturbance once the process runs.

        The time that the interpreter needs on a busy machine does not count.
        """
        if node.has_started:
            self._set_back(node)
        else:
            self._after(POLL_S, lambda: self._await_start(node))

    def _suspend(self, node: SoakNode) -> bool:
        self._set_away(node)
        node.send(signal.SIGSTOP)

        def resume() -> None:
            node.send(signal.SIGCONT)
            self._set_back(node)

        self._after(self._fault_s(), resume)
        return True

    def _terminate(self, node: SoakNode) -> bool:
        self._set_away(node)
        node.send(signal.SIGTERM)
        self._after(GRACE_S, lambda: self._start(node))
        return True

    def _reload(self, node: SoakNode) -> bool:
        node.send(signal.SIGHUP)
        return True

    def _may_lose_disk(self, node: SoakNode) -> bool:
        """Returns whether no other control node's disk may be missed."""
        now_s = time.monotonic()
        others = [one for one in self._site.controls if one is not node]
        return (
            node.role == "control"
            and now_s > self._disk_lost_until_s
            and all(one.calm_s(now_s) > CATCH_UP_S for one in others)
        )

    def _lose_disk(self, node: SoakNode) -> bool:
        if not self._may_lose_disk(node):
            return False
        self._set_away(node)
        node.kill()
        node.lose_disk()
        delay_s = self._fault_s()
        self._disk_lost_until_s = time.monotonic() + delay_s + CATCH_UP_S
        self._after(delay_s, lambda: self._start(node))
        return True

    def _replace(self, node: SoakNode) -> bool:
        if not self._may_lose_disk(node):
            return False
        self._disk_lost_until_s = time.monotonic() + CATCH_UP_S
        successor = self._site.replace(node)
        self._set_away(successor)
        self._await_start(successor)
        return True

    def _kill_core(self, _: SoakNode) -> bool:
        """Kills all control nodes, which return within a second."""
        if any(node.is_away for node in self._site.controls):
            return False
        for node in self._site.controls:
            self._set_away(node)
            node.send(signal.SIGKILL)
        for node in self._site.controls:
            delay_s = self._rng.uniform(0.0, CORE_RETURN_S)
            self._after(delay_s, lambda node=node: self._start(node))
        return True

    def _split_core(self, _: SoakNode) -> bool:
        """Cuts some control nodes from the others, but from no entry node."""
        ips = self._site.seeds
        self._rng.shuffle(ips)
        count = self._rng.randrange(1, len(ips))
        ends = [(a, b) for a in ips[:count] for b in ips[count:]]
        ends += [(b, a) for a, b in ends]
        return self._disturb_links(ends, _silence)

    def _pick_links(self, node: SoakNode) -> list[tuple[str, str]]:
        """Returns some links of a node: all or one, both ways or one."""
        others = [one.ip for one in self._site.nodes if one is not node]
        if self._rng.random() < 0.5:
            others = [self._rng.choice(others)]
        there = [(node.ip, other) for other in others]
        back = [(other, node.ip) for other in others]
        return self._rng.choice((there + back, there, back))

    def _disturb_links(
        self, ends: list[tuple[str, str]], change: Callable[[Link], None]
    ) -> bool:
        """Changes links for a while; both ends count as disturbed."""
        links = [self._site.proxy.links[pair] for pair in ends]
        touched = self._begin_disturbances(ends)
        for link in links:
            change(link)

        def heal() -> None:
            for link in links:
                link.heal()
            for one in touched:
                one.end_disturbance()

        self._after(self._fault_s(), heal)
        return True

    def _begin_disturbances(
        self, ends: list[tuple[str, str]]
    ) -> list[SoakNode]:
        """Records a fault at the ends of links; returns these nodes."""
        ips = {ip for pair in ends for ip in pair}
        touched = [node for node in self._site.nodes if node.ip in ips]
        for node in touched:
            node.begin_disturbance()
        return touched

    def _slow_links(self, node: SoakNode) -> bool:
        rate = self._rng.uniform(*SLOW_LINK_BYTES_PER_S)
        delay_s = self._rng.uniform(*LINK_DELAY_S)

        def slow(link: Link) -> None:
            link.bytes_per_s = rate
            link.delay_s = delay_s

        return self._disturb_links(self._pick_links(node), slow)

    def _silence_links(self, node: SoakNode) -> bool:
        return self._disturb_links(self._pick_links(node), _silence)

    def _refuse_links(self, node: SoakNode) -> bool:
        ends = self._pick_links(node)
        for pair in ends:
            self._site.proxy.reset(*pair)
        return self._disturb_links(ends, _refuse)

    def _reset_links(self, node: SoakNode) -> bool:
        ends = self._pick_links(node)
        touched = self._begin_disturbances(ends)
        for pair in ends:
            self._site.proxy.reset(*pair)
        for one in touched:
            one.end_disturbance()
        return True

    def _run_closing_fault(self) -> None:
        """Kills all nodes right after an acknowledgement, then reads back."""
        time.sleep(CATCH_UP_S)
        for operator in self._operators:
            operator.is_stopping = True
        for operator in self._operators:
            operator.join()
        if not self._operators[0].send_change():
            self._history.violate("no change was taken before the end")
        for node in self._site.nodes:
            self._set_away(node)
            node.send(signal.SIGKILL)
        for node in self._site.nodes:
            node.kill()
        if self._rng.random() < 0.5:
            self._rng.choice(self._site.controls).lose_disk()
            self._faults["closing disk"] = 1
        for node in self._site.nodes:
            self._start(node)
        self._end_faults()
        time.sleep(SETTLE_S)
        self._read_back()

    def _read_back(self) -> None:
        end_s = time.monotonic() + READ_BACK_S
        answers = 0
        while time.monotonic() < end_s:
            for ip in self._site.seeds:
                answers += self._reader.read(ip, 0.0)
            time.sleep(0.1)
        if not answers:
            self._history.violate("the configuration can't be read back")
        version = max(self._history.acked_s)
        for checker in self._checkers:
            status = checker.submit(version)
            if status != OK:
                self._history.violate(
                    f"job on the queue of version {version} got {status}"
                )


def _silence(link: Link) -> None:
    link.is_silent = True


def _refuse(link: Link) -> None:
    link.is_refusing = True


def main() -> None:
    """Runs one soak; exits with 1 if it found a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--controls", type=int, default=3)
    parser.add_argument("--folder", type=pathlib.Path)
    flags = parser.parse_args()
    parent = flags.folder or pathlib.Path(tempfile.mkdtemp())
    soak = ConfigSoak(flags.seed, parent / f"soak-{flags.seed}", flags.controls)
    result = soak.run(flags.seconds)
    print(msgspec.json.encode(result).decode())
    sys.exit(1 if result.violations else 0)


if __name__ == "__main__":
    main()
