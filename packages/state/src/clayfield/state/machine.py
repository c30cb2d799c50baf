"""Interface of the state machines that are replicated by a log."""

import abc


class StateMachine(abc.ABC):
    """State that changes only through commands applied in log order."""

    @abc.abstractmethod
    def apply(self, command: bytes) -> object:
        """Applies one command and returns its result for the proposer.

        The new state and the result may depend only on the old state and the
        command, so that all replicas stay equal.
        """

    @abc.abstractmethod
    def snapshot(self) -> bytes:
        """Returns the whole state in encoded form."""

    @abc.abstractmethod
    def restore(self, data: bytes) -> None:
        """Replaces the state by one that `snapshot` returned."""
