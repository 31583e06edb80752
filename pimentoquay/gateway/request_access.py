"""Decision by the caller's key whether a request may be sent, for as long as it is in progress.

A request may wait for seconds while a new configuration adds or withdraws its key, renames its
workspace or closes its route. It is therefore decided anew before each send, at the cost of one
comparison while the configuration stays the same.
"""

from dataclasses import replace

from pimentoquay.gateway.fleet import Fleet
from pimentoquay.kernel import RefusedError, ResultCode
from pimentoquay.kernel.errors import WithheldError
from pimentoquay.platform.requests import CallerRequest
from pimentoquay.policy.fleet import Route
from pimentoquay.policy.route_choice import RouteTable
from pimentoquay.policy.workspaces import UNCHECKED, Access, KeyRefusal

__all__ = ["RequestAccess"]


class RequestAccess:
    """Decision on one request by the configuration in force.

    Parameters
    ----------
    fleet
        Holds the configuration in force.
    caller, target
        The request's decoded headers, and its path and query.
    route, found_in
        Its route, whose publicity counts if a later configuration has no route for the request,
        and the table in which it was found.
    """

    def __init__(
        self,
        fleet: Fleet,
        caller: CallerRequest,
        target: bytes,
        route: Route,
        found_in: RouteTable,
    ) -> None:
        self._fleet = fleet
        self._caller = caller
        self._target = target.decode("latin-1")
        self._route, self._found_in = route, found_in
        self._table: RouteTable | None = None
        self._granted: Access | None = None
        self._current = UNCHECKED

    def current(self) -> Access:
        """Return the decision by the configuration in force now."""
        table = self._fleet.route_table
        if table is not None and table is not self._table:
            self._table = table
            self._current = self._decide(table)
            if self._current.refusal is None:
                self._granted = self._current
        return self._current

    def check(self) -> Access:
        """Return the decision; raise ``RefusedError`` if the request may not be sent."""
        access = self.current()
        if access.refusal is not None:
            raise RefusedError(ResultCode.UNAUTHENTICATED, access.refusal.value)
        return access

    def check_send(self) -> Access:
        """Return the decision; raise ``WithheldError`` if nothing may be written to an engine."""
        access = self.current()
        if access.refusal is not None:
            raise WithheldError(access.refusal.value)
        return access

    def _decide(self, table: RouteTable) -> Access:
        workspaces = table.configuration.workspaces
        if workspaces is None:
            # A request that came with its key is not sent with it if workspaces are given up.
            return self._granted or UNCHECKED
        route = self._route
        if table is not self._found_in:
            route = table.find(self._caller.host, self._target) or route
        access = workspaces.identify(self._caller.key, route.is_public)
        had_workspace = self._granted is not None and self._granted.workspace is not None
        if access.refusal is not None and had_workspace:
            return replace(access, refusal=KeyRefusal.WITHDRAWN)
        return access
