"""What the entry decides is to be done; the runtime carries it out."""

from clayfield.wire.messages import Message, Outcome


class Action:
    """The base of all actions."""

    __slots__ = ()


class ToRegistry(Action):
    """Send a claim command to the home hall of its key."""

    __slots__ = ("message",)

    def __init__(self, message: Message):
        self.message = message


class ToScheduler(Action):
    """Send a message to this hall's scheduler."""

    __slots__ = ("message",)

    def __init__(self, message: Message):
        self.message = message


class ToNode(Action):
    """Send a message to a node."""

    __slots__ = ("message", "node")

    def __init__(self, node: str, message: Message):
        self.node = node
        self.message = message


class StartTask(Action):
    """Start a task at a worker.

    Attributes:
        grant: the slot's number, which also names this start.
        worker: the worker's name.
        submission: number of the submission.
        task: index of the task in it.
        attempt: 1 for the task's first start.
        priority: the class.
        timeout_ms: when to give it up.
        payload: what the worker gets.
        traceparent: of the trace, or "".
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


class Answer(Action):
    """Give a waiter its final answer."""

    __slots__ = ("outcome", "waiter")

    def __init__(self, waiter: object, outcome: Outcome):
        self.waiter = waiter
        self.outcome = outcome


class Tell(Action):
    """Tell a waiter the state of a key that has no final answer."""

    __slots__ = ("state", "waiter")

    def __init__(self, waiter: object, state: str):
        self.waiter = waiter
        self.state = state
