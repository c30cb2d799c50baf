"""One replica of the control log, the log of accepted configurations."""

from clayfield.config import decode_config
from clayfield.state import ApplyResult, ConfigLog
from clayfield.state.configlog import make_opening_command
from clayfield.state.group import Group
from clayfield.state.membership import PeerTable
from clayfield.wire.messages import (
    ApplyReply,
    ApplyRequest,
    Message,
    OpenReply,
    OpenRequest,
)


class ControlReplica:
    """The control log's replica at a box with a data folder.

    Attributes:
        group: this node's member of the replicated group.
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
        """This node's copy of the accepted configurations."""
        return self.group.machine

    @property
    def is_leader(self) -> bool:
        """Whether this node can accept configurations now."""
        consensus = self.group.consensus
        return (
            self.group.is_leader
            and consensus.has_committed_in_term
            and self.log.is_open
        )

    def handle(self, node: str, request: ApplyRequest | OpenRequest) -> bool:
        """Handles a box's request to apply a configuration or open a hall.

        The reply follows at once, or once the command is committed.

        Returns:
            False if this node does not lead; the request is then dropped.
        """
        if not self.is_leader:
            return False
        if isinstance(request, OpenRequest):
            command = self.log.make_open_command(
                request.hall, request.instance, request.halls
            )
        else:
            command = self.log.make_apply_command(decode_config(request.body))
        if isinstance(command, ApplyResult):
            self._reply(node, request, command)
            return True
        position = self.group.consensus.propose(command)
        if position:
            self._pending[position] = (node, request)
        return True

    def collect_results(self) -> None:
        """Adds the replies to committed commands to the outbox."""
        consensus = self.group.consensus
        if consensus is None:
            return
        for index, term, result in consensus.take_results():
            pending = self._pending.pop((index, term), None)
            if pending:
                self._reply(pending[0], pending[1], result)
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
        """Runs the periodic work: elections and the opening of a new log.

        The log opens once every configured box votes.
        """
        self.group.tick(peers)
        consensus = self.group.consensus
        if consensus is None or self.log.is_open:
            return
        if consensus.has_committed_in_term and self.group.has_all_voters:
            is_proposed = consensus.has_command(
                lambda c: c == make_opening_command()
            )
            if not is_proposed:
                consensus.propose(make_opening_command())
