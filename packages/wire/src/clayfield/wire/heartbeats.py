"""Heartbeats of workers that the nodes pass on to each other."""

from clayfield.base.events import Event, emit
from clayfield.wire.jobs import WorkerInfo


def log_ignored(info: WorkerInfo, latest: WorkerInfo) -> None:
    """Logs a heartbeat that counts as outdated, if it has other content.

    Args:
        info: the heartbeat.
        latest: the latest one of the same worker.
    """
    if not info.has_other_content(latest):
        return
    emit(
        Event.HEARTBEAT_IGNORED,
        worker=info.name,
        state=info.state.value,
        sequence=info.sequence,
        born_ms=info.born_ms,
        latest_state=latest.state.value,
        latest_sequence=latest.sequence,
        latest_born_ms=latest.born_ms,
    )
