"""Submits jobs to a box over many connections, as fast as it answers."""

import json
import sys
import time

from twisted.internet import reactor

from clayfield.testbed.load import Callers


def main() -> None:
    """Reads port, name, tasks, tasks per job and connections."""
    port, name = int(sys.argv[1]), sys.argv[2]
    tasks, per_job, connections = map(int, sys.argv[3:6])
    callers = Callers(reactor, port, "desk-amsterdam")
    jobs = tasks // per_job
    body = json.dumps(
        {
            "member": "amsterdam",
            "job": "check-order",
            "tasks": [{"run_ms": 0}] * per_job,
        }
    ).encode()
    state = {"sent": 0, "done": 0, "failed": 0}
    start_s = time.monotonic()

    def send() -> None:
        if state["sent"] < jobs:
            state["sent"] += 1
            callers.submit(f"{name}-{state['sent']}", body, answered)

    def answered(status: int, answer: bytes, took_ms: float) -> None:
        state["done"] += 1
        state["failed"] += status != 200
        if state["done"] == jobs:
            reactor.stop()
        else:
            reactor.callLater(0, send)

    for _ in range(connections):
        reactor.callWhenRunning(send)
    reactor.run()
    took_s = time.monotonic() - start_s
    print(json.dumps({"took_s": took_s, "failed": state["failed"]}))


if __name__ == "__main__":
    main()
