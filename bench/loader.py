"""Submits jobs to a box over many connections, as fast as it answers.

The path benchmark runs this module as a process of its own. The last line it
prints is a JSON object with the time taken and the number of failed jobs.
"""

import json
import sys
import time

from twisted.internet import reactor

from clayfield.testbed.load import JobClient


def main() -> None:
    """Submits the jobs.

    The command line gives the port of the box, a prefix of the idempotency
    keys, and the numbers of tasks, tasks per job and connections.
    """
    port, key_prefix = int(sys.argv[1]), sys.argv[2]
    tasks, tasks_per_job, connections = map(int, sys.argv[3:6])
    callers = JobClient(reactor, port, "desk-amsterdam")
    jobs = tasks // tasks_per_job
    body = json.dumps(
        {
            "member": "amsterdam",
            "job": "check-order",
            "tasks": [{"run_ms": 0}] * tasks_per_job,
        }
    ).encode()
    counts = {"sent": 0, "done": 0, "failed": 0}
    start_s = time.monotonic()

    def send() -> None:
        if counts["sent"] < jobs:
            counts["sent"] += 1
            callers.submit(f"{key_prefix}-{counts['sent']}", body, on_answer)

    def on_answer(status: int, reply: bytes, took_ms: float) -> None:
        counts["done"] += 1
        counts["failed"] += status != 200
        if counts["done"] == jobs:
            reactor.stop()
        else:
            reactor.callLater(0, send)

    for _ in range(connections):
        reactor.callWhenRunning(send)
    reactor.run()
    took_s = time.monotonic() - start_s
    print(json.dumps({"took_s": took_s, "failed": counts["failed"]}))


if __name__ == "__main__":
    main()
