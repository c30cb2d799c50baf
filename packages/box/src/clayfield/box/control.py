"""A node's part in the control log."""

from clayfield.config import from_bytes
from clayfield.state import ApplyResult, ConfigLog
from clayfield.state.configlog import beginning
from clayfield.state.group import Group
from clayfield.state.membership import PeerTable
from clayfield.wire.messages import (
    ApplyReply,
    ApplyRequest,
    Message,
    OpenReply,
    OpenRequest,
)


class Control:
    """The control log at one box with a data folder.

    Attributes:
        group: the node's part in the replicated group.
        outbox: (node, message) pairs to send; the caller empties it.
    """

    def __init__(self, group: Group):
        self.group = group
        self.outbox: list[tuple[str, Message]] = []
        self._pending: dict[
            tuple[int, int], tuple[str, ApplyRequest | OpenRequest]
        ] = {}

    @property
    def log(self) -> ConfigLog:
        """The configurations as far as this node knows them."""
        return self.group.machine

    @property
    def leads(self) -> bool:
        """Whether this node takes files now."""
        consensus = self.group.consensus
        return (
            self.group.is_leader and consensus.is_settled and self.log.is_open
        )

    def take(self, node: str, request: ApplyRequest | OpenRequest) -> bool:
        """Takes a request of a box; False when this node does not lead."""
        if not self.leads:
            return False
        if isinstance(request, OpenRequest):
            command = self.log.opening_for(
                request.hall, request.instance, request.halls
            )
        else:
            command = self.log.command_for(from_bytes(request.body))
        if isinstance(command, ApplyResult):
            self._reply(node, request, command)
            return True
        place = self.group.consensus.propose(command)
        if place:
            self._pending[place] = (node, request)
        return True

    def collect_results(self) -> None:
        """Turns the results of committed commands into replies."""
        consensus = self.group.consensus
        if consensus is None:
            return
        for index, term, result in consensus.take_results():
            asked = self._pending.pop((index, term), None)
            if asked:
                self._reply(asked[0], asked[1], result)
        if not consensus.is_leader:
            self._pending.clear()

    def _reply(
        self,
        node: str,
        request: ApplyRequest | OpenRequest,
        result: ApplyResult | int,
    ) -> None:
        if isinstance(request, OpenRequest):
            reply = OpenReply(request.hall, request.instance, result)
        else:
            reply = ApplyReply(
                request.request, result.version, result.code, result.detail
            )
        self.outbox.append((node, reply))

    def tick(self, peers: PeerTable) -> None:
        """Lets time act; opens the log when all its first voters are in."""
        self.group.tick(peers)
        consensus = self.group.consensus
        if consensus is None or self.log.is_open:
            return
        if consensus.is_settled and self.group.is_whole:
            is_proposed = consensus.has_command(lambda c: c == beginning())
            if not is_proposed:
                consensus.propose(beginning())
