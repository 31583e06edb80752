"""What is known of the VMs of other data centres, directly or through VMs of this one."""

from collections.abc import Iterable

from pimentoquay.messages.membership import DataCentreReport

__all__ = ["RemoteReports"]


class RemoteReports:
    """Reports about other data centres by the VM they came from.

    A report by a gateway of the other data centre is *direct*. A report passed on by a VM of
    this data centre is a *claim*: it holds while that VM is alive and says so.
    """

    def __init__(self) -> None:
        self._direct: dict[str, dict[str, DataCentreReport]] = {}
        self._claims: dict[str, dict[str, DataCentreReport]] = {}

    def note_direct(self, vm: str, report: DataCentreReport) -> None:
        """Take the report of a gateway about its own data centre."""
        self._direct.setdefault(report.data_centre, {})[vm] = report

    def note_claim(self, vm: str, report: DataCentreReport) -> None:
        """Take what a VM of this data centre passed on."""
        self._claims.setdefault(report.data_centre, {})[vm] = report

    def own_claims(self, alive: Iterable[str]) -> dict[str, DataCentreReport]:
        """Return what this VM can pass on, by data centre, given the live gateways."""
        alive = frozenset(alive)
        return {
            data_centre: _first(by_vm, alive) or DataCentreReport(data_centre, False, (), ())
            for data_centre, by_vm in self._direct.items()
        }

    def merged(
        self, vm: str, own: dict[str, DataCentreReport], alive: Iterable[str]
    ) -> dict[str, DataCentreReport]:
        """Return the report in force of each reachable data centre, given the live peers.

        Every VM takes the first reachable claim in order of VM name, its own included, so that
        the VMs of one data centre agree.
        """
        alive = frozenset((vm, *alive))
        in_force = {}
        for data_centre in {*own, *self._claims}:
            by_vm = dict(self._claims.get(data_centre, {}))
            if data_centre in own:
                by_vm[vm] = own[data_centre]
            claim = _first(by_vm, alive)
            if claim is not None:
                in_force[data_centre] = claim
        return in_force


def _first(by_vm: dict[str, DataCentreReport], alive: frozenset[str]) -> DataCentreReport | None:
    names = sorted(vm for vm, report in by_vm.items() if vm in alive and report.reachable)
    return by_vm[names[0]] if names else None
