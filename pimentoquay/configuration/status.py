"""Status items about a VM's configuration, shown to operators."""

from pimentoquay.configuration.replica import ConfigurationReplica
from pimentoquay.kernel.status import StatusItem

__all__ = ["status_items"]


def status_items(replica: ConfigurationReplica, *, is_reader: bool) -> tuple[StatusItem, ...]:
    """Return the status items of a VM's configuration.

    ``is_reader`` is whether the VM reads the log for its data centre.
    """
    items = []
    if not replica.is_ready:
        best = replica.best_reported_offset
        detail = f"at offset {replica.offset}, peers report {best}; no entry is served by it"
        items.append(StatusItem("state", "waiting", detail))
    if replica.log_end_if_lost is not None:
        detail = "neither the log nor a peer in reach holds a configuration; see ctl recover"
        items.append(StatusItem("log", "stuck", detail))
    elif replica.is_log_reset:
        detail = "the log has started anew; where it goes on is about to be written to it"
        items.append(StatusItem("log", "waiting", detail))
    elif replica.is_behind_log:
        detail = "the log has dropped records that are neither here nor at a peer in reach"
        items.append(StatusItem("log", "stuck", detail))
    elif replica.is_log_down:
        items.append(StatusItem("log", "waiting", "the log is down; it is tried again"))
    if is_reader:
        items.append(StatusItem("log reader", "ok", "for its data centre"))
    return tuple(items)
