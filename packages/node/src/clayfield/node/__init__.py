"""The processes of pooled clayfield: an entry and a control node."""

from clayfield.node.control_process import ControlProcess
from clayfield.node.entry_process import EntryProcess
from clayfield.node.faces import (
    CallerCall,
    CallerProtocol,
    CancelCall,
    CountCall,
    HttpReply,
    LeaveCall,
    OperatorCall,
    OperatorProtocol,
    ReadCall,
    StateCall,
    StatementCall,
    SubmitCall,
    WorkerProtocol,
    WriteCall,
)
from clayfield.node.settings import NodeSettings

__all__ = [
    "CallerCall",
    "CallerProtocol",
    "CancelCall",
    "ControlProcess",
    "CountCall",
    "EntryProcess",
    "HttpReply",
    "LeaveCall",
    "NodeSettings",
    "OperatorCall",
    "OperatorProtocol",
    "ReadCall",
    "StateCall",
    "StatementCall",
    "SubmitCall",
    "WorkerProtocol",
    "WriteCall",
]
