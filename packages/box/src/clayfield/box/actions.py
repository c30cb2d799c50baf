"""Actions that the runtime of a box carries out.

They add to the actions of `clayfield.dispatch`.
"""

from clayfield.dispatch import Action
from clayfield.state import Record
from clayfield.wire.messages import GroupMessage, Message


class Send(Action):
    """Send a message to a box.

    Attributes:
        box: name of the receiver.
        message: the message.
    """

    __slots__ = ("box", "message")

    def __init__(self, box: str, message: Message):
        self.box = box
        self.message = message


class Persist(Action):
    """Store records, sync them, send messages and report back.

    The runtime reports with `BoxCore.on_persisted`, or `on_store_failed`.

    Attributes:
        records: the records to append to the data folder.
        messages: the messages to send once the records are synced.
        last_index: the argument of `on_persisted`.
    """

    __slots__ = ("last_index", "messages", "records")

    def __init__(
        self,
        records: list[Record],
        messages: list[GroupMessage],
        last_index: int,
    ):
        self.records = records
        self.messages = messages
        self.last_index = last_index


class ConfigActivated(Action):
    """Report that a configuration became active at this box.

    Attributes:
        version: version of the configuration.
    """

    __slots__ = ("version",)

    def __init__(self, version: int):
        self.version = version


class ApplyFinished(Action):
    """Report the result of applying a configuration to its operator.

    Attributes:
        request: the number that `BoxCore.apply` returned.
        version: version of the new configuration if it was accepted, else of
            the active one.
        code: code of the error, empty when accepted.
        detail: explanation for a person.
    """

    __slots__ = ("code", "detail", "request", "version")

    def __init__(self, request: int, version: int, code: str, detail: str):
        self.request = request
        self.version = version
        self.code = code
        self.detail = detail
