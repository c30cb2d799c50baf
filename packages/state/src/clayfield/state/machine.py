"""What a replicated log drives."""

import abc


class StateMachine(abc.ABC):
    """State that changes only by commands applied in log order."""

    @abc.abstractmethod
    def apply(self, command: bytes) -> object:
        """Applies one command and returns its result for the proposer.

        The result must follow from the state and the command alone.
        """

    @abc.abstractmethod
    def snapshot(self) -> bytes:
        """Returns the whole state."""

    @abc.abstractmethod
    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot."""
