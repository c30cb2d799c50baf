"""What a box wants done by its runtime, beside the entry's actions."""

from clayfield.dispatch import Action
from clayfield.state import Record
from clayfield.wire.messages import Grouped, Message


class Send(Action):
    """Send a message to a box."""

    __slots__ = ("box", "message")

    def __init__(self, box: str, message: Message):
        self.box = box
        self.message = message


class Persist(Action):
    """Store records, sync, send the messages, then call `on_persisted`."""

    __slots__ = ("last_index", "messages", "records")

    def __init__(
        self, records: list[Record], messages: list[Grouped], last_index: int
    ):
        self.records = records
        self.messages = messages
        self.last_index = last_index


class InForce(Action):
    """A configuration came into force at this box."""

    __slots__ = ("version",)

    def __init__(self, version: int):
        self.version = version


class Applied(Action):
    """Tell an operator what became of a file.

    Attributes:
        request: the number that `BoxCore.apply` gave.
        version: the version it became, or the one in force.
        code: empty when accepted, else the error's code.
        detail: the particulars.
    """

    __slots__ = ("code", "detail", "request", "version")

    def __init__(self, request: int, version: int, code: str, detail: str):
        self.request = request
        self.version = version
        self.code = code
        self.detail = detail
