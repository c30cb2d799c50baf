"""Runs the users' samples through real boxes and shows how they fared."""

import argparse
import asyncio
import json
import pathlib
import sys
import tempfile

import numpy as np

from clayfield.testbed.mixes import MIXES, Kind
from clayfield.testbed.processes import Cluster

HALLS = {"ordervaart": "west-1", "ventanal": "mvd-1"}
BOXES = 3
WORKERS = 4
SETTLE_S = 1.0
HTTP_OK = 200


class Outcome:
    """What a caller got for one job."""

    __slots__ = ("body", "job", "kind", "response_ms", "status")

    def __init__(self, job: dict, kind: Kind):
        self.job = job
        self.kind = kind
        self.status = -1
        self.body = b""
        self.response_ms = 0.0

    @property
    def ideal_ms(self) -> float:
        """The time that the tasks alone would take."""
        return max(task["run_ms"] for task in self.job["tasks"])

    def fault(self) -> str:
        """Returns what is wrong with the answer, "" for nothing."""
        if self.status <= 0:
            return "missing"
        if self.status != HTTP_OK:
            return ""
        answers = json.loads(self.body)["answers"]
        if len(answers) != len(self.job["tasks"]):
            return "partial"
        return "" if answers == self.job["tasks"] else "crossed"


def run_jobs(
    jobs: list[dict],
    kinds: tuple[Kind, ...],
    ports: list[int],
    key_prefix: str = "",
) -> list[Outcome]:
    """Submits jobs at their times, to the boxes in turn; once a process."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    from twisted.internet import asyncioreactor

    asyncioreactor.install(loop)
    from twisted.internet import reactor

    from clayfield.testbed.load import Callers

    by_job = {kind.job: kind for kind in kinds}
    outcomes = [Outcome(job, by_job[job["job"]]) for job in jobs]
    callers = {
        (port, kind.token): Callers(reactor, port, kind.token)
        for port in ports
        for kind in kinds
    }
    left = [len(outcomes)]

    def send(number: int, one: Outcome) -> None:
        port = ports[number % len(ports)]
        body = {k: v for k, v in one.job.items() if k not in ("key", "at_ms")}

        def answered(status: int, body: bytes, took_ms: float) -> None:
            one.status, one.body, one.response_ms = status, body, took_ms
            left[0] -= 1
            if not left[0]:
                reactor.stop()

        callers[port, one.kind.token].submit(
            f"{key_prefix}{one.job['key']}", json.dumps(body).encode(), answered
        )

    for number, one in enumerate(outcomes):
        at_s = SETTLE_S + one.job["at_ms"] / 1000
        reactor.callLater(at_s, send, number, one)
    reactor.callLater(SETTLE_S + jobs[-1]["at_ms"] / 1000 + 30, reactor.stop)
    reactor.run()
    return outcomes


def print_table(
    name: str, kinds: tuple[Kind, ...], outcomes: list[Outcome]
) -> None:
    """Prints a line for each class."""
    print(f"\n{name}")
    print(
        f"{'class':<14}{'jobs':>6}{'p50':>8}{'p99':>8}"
        f"{'refused':>9}{'failed':>8}"
    )
    for kind in kinds:
        own = [one for one in outcomes if one.kind is kind]
        whole = [one for one in own if one.status == HTTP_OK]
        ratios = [one.response_ms / one.ideal_ms for one in whole] or [0.0]
        refused = sum(one.status in (429, 503) for one in own)
        failed = len(own) - len(whole) - refused
        print(
            f"{kind.priority:<14}{len(own):>6}"
            f"{np.percentile(ratios, 50):>8.3f}"
            f"{np.percentile(ratios, 99):>8.3f}{refused:>9}{failed:>8}"
        )


def main() -> None:
    """Runs one user's sample; exits 1 when any answer is wrong."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("name", choices=sorted(MIXES))
    parser.add_argument("--examples", default="examples", type=pathlib.Path)
    flags = parser.parse_args()
    kinds = MIXES[flags.name]
    text = (flags.examples / f"{flags.name}.jsonl").read_text()
    jobs = [json.loads(line) for line in text.splitlines()]
    config = str(flags.examples / f"{flags.name}.yaml")
    with (
        tempfile.TemporaryDirectory() as folder,
        Cluster(
            pathlib.Path(folder),
            config,
            {HALLS[flags.name]: BOXES},
            WORKERS,
        ) as cluster,
    ):
        ports = [box.callers for box in cluster.boxes.values()]
        outcomes = run_jobs(jobs, kinds, ports)
        counts = json.loads(cluster.workers.counts())
    sys.exit(report(flags.name, kinds, outcomes, counts))


def report(
    name: str,
    kinds: tuple[Kind, ...],
    outcomes: list[Outcome],
    counts: dict,
) -> int:
    """Prints the results; returns the exit code."""
    print_table(name, kinds, outcomes)
    whole = [one for one in outcomes if one.status == HTTP_OK]
    tasks = sum(len(one.job["tasks"]) for one in whole)
    wasted = counts["refused"] + counts["starts"] - tasks
    print(
        f"wasted messages per completed task: {wasted / max(1, tasks):.4f}"
        f" ({wasted} of {tasks})"
    )
    faults = [one.fault() for one in outcomes]
    wrong = {kind: faults.count(kind) for kind in sorted({*faults} - {""})}
    if counts["doubled"]:
        wrong["doubled"] = counts["doubled"]
    if wrong:
        print(f"WRONG ANSWERS: {wrong}")
        return 1
    print("every answer whole, none missing, doubled or crossed")
    return 0


if __name__ == "__main__":
    main()
