"""The actions that the submission manager requests from the runtime."""

from clayfield.wire.messages import Message, Outcome


class Action:
    """Base class of all actions."""

    __slots__ = ()


class SendToRegistry(Action):
    """Sends a claim command to the home hall of its key.

    Attributes:
        message: the command.
    """

    __slots__ = ("message",)

    def __init__(self, message: Message):
        self.message = message


class SendToScheduler(Action):
    """Sends a message to this hall's scheduler.

    Attributes:
        message: the message.
    """

    __slots__ = ("message",)

    def __init__(self, message: Message):
        self.message = message


class SendToNode(Action):
    """Sends a message to a node.

    Attributes:
        node: the receiving node.
        message: the message.
    """

    __slots__ = ("message", "node")

    def __init__(self, node: str, message: Message):
        self.node = node
        self.message = message


class StartTask(Action):
    """Starts a task on a worker.

    Attributes:
        grant: number of the slot's grant; also identifies this attempt.
        worker: name of the worker.
        submission: number of the submission.
        task: index of the task in the submission.
        attempt: number of the attempt, from 1.
        priority: name of the priority class.
        timeout_ms: time after which the task counts as lost, in ms.
        payload: request body for the worker.
        traceparent: W3C `traceparent` of the caller's trace; "" for none.
    """

    __slots__ = (
        "attempt",
        "grant",
        "payload",
        "priority",
        "submission",
        "task",
        "timeout_ms",
        "traceparent",
        "worker",
    )

    def __init__(
        self,
        grant: int,
        worker: str,
        submission: int,
        task: int,
        attempt: int,
        priority: str,
        timeout_ms: float,
        payload: bytes,
        traceparent: str,
    ):
        self.grant = grant
        self.worker = worker
        self.submission = submission
        self.task = task
        self.attempt = attempt
        self.priority = priority
        self.timeout_ms = timeout_ms
        self.payload = payload
        self.traceparent = traceparent


class SendAnswer(Action):
    """Returns the final answer to a waiter.

    Attributes:
        waiter: the caller that waits, as given to the submission manager.
        outcome: the answer.
    """

    __slots__ = ("outcome", "waiter")

    def __init__(self, waiter: object, outcome: Outcome):
        self.waiter = waiter
        self.outcome = outcome


class SendState(Action):
    """Returns the state of a key without a final answer to a waiter.

    Attributes:
        waiter: the caller that waits, as given to the submission manager.
        state: the state, such as "running".
    """

    __slots__ = ("state", "waiter")

    def __init__(self, waiter: object, state: str):
        self.waiter = waiter
        self.state = state
