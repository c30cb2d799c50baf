"""Submits the sample jobs of an example user to boxes and prints statistics."""

import argparse
import asyncio
import json
import pathlib
import sys
import tempfile

import numpy as np

from clayfield.testbed.mixes import MIXES, JobKind
from clayfield.testbed.processes import Cluster

HALLS = {"ordervaart": "west-1", "ventanal": "mvd-1"}
BOXES = 3
WORKERS = 4
SETTLE_S = 1.0
HTTP_OK = 200


class Outcome:
    """The response to one job.

    Attributes:
        job: the sample job, as read from the sample file.
        kind: the kind of the job.
        status: HTTP status, -1 without a response, 0 for a broken connection.
        body: the body of the response.
        response_ms: the response time, in ms.
    """

    __slots__ = ("body", "job", "kind", "response_ms", "status")

    def __init__(self, job: dict, kind: JobKind):
        self.job = job
        self.kind = kind
        self.status = -1
        self.body = b""
        self.response_ms = 0.0

    @property
    def ideal_ms(self) -> float:
        """The duration of the longest task, in ms."""
        return max(task["run_ms"] for task in self.job["tasks"])

    def find_error(self) -> str:
        """Returns the error in the response, "" for none."""
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
    kinds: tuple[JobKind, ...],
    ports: list[int],
    key_prefix: str = "",
) -> list[Outcome]:
    """Submits jobs at their arrival times, to the boxes in turn.

    It installs the reactor, so it can be called only once in a process.

    Args:
        jobs: the sample jobs, in order of arrival.
        kinds: the kinds of jobs of the mix.
        ports: the ports of the boxes for callers.
        key_prefix: put before each idempotency key.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    from twisted.internet import asyncioreactor

    asyncioreactor.install(loop)
    from twisted.internet import reactor

    from clayfield.base import MonotonicClock, use_monotonic_timers
    from clayfield.testbed.load import JobClient

    use_monotonic_timers(reactor, MonotonicClock())

    by_job = {kind.job: kind for kind in kinds}
    outcomes = [Outcome(job, by_job[job["job"]]) for job in jobs]
    callers = {
        (port, kind.token): JobClient(reactor, port, kind.token)
        for port in ports
        for kind in kinds
    }
    pending = [len(outcomes)]

    def send(number: int, out: Outcome) -> None:
        port = ports[number % len(ports)]
        body = {k: v for k, v in out.job.items() if k not in ("key", "at_ms")}

        def answered(status: int, body: bytes, response_ms: float) -> None:
            out.status, out.body, out.response_ms = status, body, response_ms
            pending[0] -= 1
            if not pending[0]:
                reactor.stop()

        callers[port, out.kind.token].submit(
            f"{key_prefix}{out.job['key']}", json.dumps(body).encode(), answered
        )

    for number, out in enumerate(outcomes):
        due_s = SETTLE_S + out.job["at_ms"] / 1000
        reactor.callLater(due_s, send, number, out)
    reactor.callLater(SETTLE_S + jobs[-1]["at_ms"] / 1000 + 30, reactor.stop)
    reactor.run()
    return outcomes


def print_table(
    name: str, kinds: tuple[JobKind, ...], outcomes: list[Outcome]
) -> None:
    """Prints a line for each priority class.

    The columns p50 and p99 are percentiles of the response time divided by
    the duration of the job's longest task.
    """
    print(f"\n{name}")
    print(
        f"{'class':<14}{'jobs':>6}{'p50':>8}{'p99':>8}"
        f"{'refused':>9}{'failed':>8}"
    )
    for kind in kinds:
        of_kind = [out for out in outcomes if out.kind is kind]
        done = [out for out in of_kind if out.status == HTTP_OK]
        ratios = [out.response_ms / out.ideal_ms for out in done] or [0.0]
        refused = sum(out.status in (429, 503) for out in of_kind)
        failed = len(of_kind) - len(done) - refused
        print(
            f"{kind.priority:<14}{len(of_kind):>6}"
            f"{np.percentile(ratios, 50):>8.3f}"
            f"{np.percentile(ratios, 99):>8.3f}{refused:>9}{failed:>8}"
        )


def main() -> None:
    """Runs the sample of a user; exits with 1 if any response is wrong."""
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
        ports = [box.callers_port for box in cluster.boxes.values()]
        outcomes = run_jobs(jobs, kinds, ports)
        counts = json.loads(cluster.workers.counts())
    sys.exit(report(flags.name, kinds, outcomes, counts))


def report(
    name: str,
    kinds: tuple[JobKind, ...],
    outcomes: list[Outcome],
    counts: dict,
) -> int:
    """Prints the results.

    Args:
        name: name of the mix.
        kinds: the kinds of jobs of the mix.
        outcomes: the responses to all jobs.
        counts: the counters of the stand-in workers.

    Returns:
        The exit code: 0, or 1 if any response is wrong.
    """
    print_table(name, kinds, outcomes)
    done = [out for out in outcomes if out.status == HTTP_OK]
    tasks = sum(len(out.job["tasks"]) for out in done)
    wasted = counts["refused"] + counts["starts"] - tasks
    print(
        f"wasted messages per completed task: {wasted / max(1, tasks):.4f}"
        f" ({wasted} of {tasks})"
    )
    errors = [out.find_error() for out in outcomes]
    wrong = {kind: errors.count(kind) for kind in sorted({*errors} - {""})}
    if counts["doubled"]:
        wrong["doubled"] = counts["doubled"]
    if wrong:
        print(f"WRONG ANSWERS: {wrong}")
        return 1
    print("every answer whole, none missing, doubled or crossed")
    return 0


if __name__ == "__main__":
    main()
