"""Reports about other data centres, received directly or relayed within this data centre."""

from collections.abc import Iterable

from pimentoquay.messages.membership import DataCentreReport

__all__ = ["RemoteReports"]


class RemoteReports:
    """Reports about other data centres by data centre and sending VM.

    A report from a gateway of the other data centre is *direct*. A report from a VM of this data
    centre is *relayed*; it is valid while that VM is alive and reports the data centre reachable.
    """

    def __init__(self) -> None:
        self._direct: dict[str, dict[str, DataCentreReport]] = {}
        self._relayed_reports: dict[str, dict[str, DataCentreReport]] = {}

    def note_direct(self, vm: str, report: DataCentreReport) -> None:
        """Store the report of a gateway about its own data centre."""
        self._direct.setdefault(report.data_centre, {})[vm] = report

    def note_relayed(self, vm: str, report: DataCentreReport) -> None:
        """Store a report that a VM of this data centre relayed."""
        self._relayed_reports.setdefault(report.data_centre, {})[vm] = report

    def reports_to_relay(self, alive: Iterable[str]) -> dict[str, DataCentreReport]:
        """Return the reports that this VM relays, by data centre.

        Without a report from a live VM, a data centre is reported as unreachable.
        """
        alive = frozenset(alive)
        return {
            data_centre: _first_reachable(by_vm, alive)
            or DataCentreReport(data_centre, False, (), ())
            for data_centre, by_vm in self._direct.items()
        }

    def reports_in_force(
        self, vm: str, own: dict[str, DataCentreReport], alive: Iterable[str]
    ) -> dict[str, DataCentreReport]:
        """Return the report in force of each reachable data centre.

        Every VM uses the first report of a reachable data centre in order of VM name, its own
        reports included, so that all VMs of this data centre use the same one.

        Parameters
        ----------
        vm
            Name of this VM.
        own
            Reports that this VM relays, by data centre.
        alive
            Peers that are alive.
        """
        alive = frozenset((vm, *alive))
        in_force = {}
        for data_centre in {*own, *self._relayed_reports}:
            by_vm = dict(self._relayed_reports.get(data_centre, {}))
            if data_centre in own:
                by_vm[vm] = own[data_centre]
            report = _first_reachable(by_vm, alive)
            if report is not None:
                in_force[data_centre] = report
        return in_force


def _first_reachable(
    by_vm: dict[str, DataCentreReport], alive: frozenset[str]
) -> DataCentreReport | None:
    names = sorted(vm for vm, report in by_vm.items() if vm in alive and report.reachable)
    return by_vm[names[0]] if names else None
