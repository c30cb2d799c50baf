"""The platform's ingress: which entry process gets a new connection.

It follows PROTOCOL.md, "Ingress": each second it asks each node whether it is
ready; a node that misses twice gets no new connection until it answers 200.
"""

import asyncio
import random

from standins2.deployment import READY_INTERVAL_S, Deployment, Machine
from standins2.messages import call

MAX_MISSES = 2


class Ingress:
    """Passes new connections to the entry processes of a deployment."""

    def __init__(self, deployment: Deployment):
        self._deployment = deployment
        self._is_in = {m.name: False for m in deployment.entries}
        self._misses = dict.fromkeys(self._is_in, 0)
        self._asking: list[asyncio.Task] = []

    def start(self) -> None:
        """Starts to ask the nodes."""
        self._asking = [
            asyncio.create_task(self._ask(machine))
            for machine in self._deployment.entries
        ]

    async def _ask(self, machine: Machine) -> None:
        """Asks one node each second; silence for a second is a miss."""
        address = (machine.ip, self._deployment.ready_port)
        while True:
            answer, _ = await asyncio.gather(
                call(address, "GET", "/-/ready", timeout_s=READY_INTERVAL_S),
                asyncio.sleep(READY_INTERVAL_S),
            )
            if answer[0] == 200:
                self._misses[machine.name] = 0
                self._is_in[machine.name] = True
                continue
            self._misses[machine.name] += 1
            if self._misses[machine.name] >= MAX_MISSES:
                self._is_in[machine.name] = False

    @property
    def has_all(self) -> bool:
        """Whether every node is in."""
        return all(self._is_in.values())

    def pick(self, zone: str, tried: set[str] | None = None) -> Machine:
        """Returns the node for a new connection.

        Args:
            zone: the client's zone.
            tried: names of the nodes that the client has tried; a retry
                reaches another node.
        """
        own = [m for m in self._deployment.entries if m.zone == zone]
        ready = [m for m in own if self._is_in[m.name]]
        if ready and len(ready) * 2 < len(own):
            ready = own
        others = [m for m in self._deployment.entries if self._is_in[m.name]]
        for group in (ready, others, self._deployment.entries):
            fresh = [m for m in group if m.name not in (tried or ())]
            if fresh:
                return random.choice(fresh)
        return random.choice(self._deployment.entries)
