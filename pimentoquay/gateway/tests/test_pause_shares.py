"""Shares of long pauses in the time of all streams on an engine, as receivers of reports count."""

from types import SimpleNamespace
from typing import Any

from pimentoquay.gateway.pause_reports import PauseReports
from pimentoquay.messages.engine_speeds import PausesMeasured
from pimentoquay.messages.pools import PoolKey
from pimentoquay.policy.decode_pauses import DecodePauses
from pimentoquay.policy.fleet import TokenMemory
from pimentoquay.policy.memory_forecast import GrowingRun
from pimentoquay.policy.run_ledger import RunLedger
from pimentoquay.policy.tests.test_service_order import ENGINES

UNUSED: Any = None


def test_a_report_of_one_gateway_is_a_share_of_the_time_of_all_streams():
    """One pause of 0.4 s a second among twelve streams marked their engine as slow."""
    (engine,), key = ENGINES, PoolKey("llm", "hall", 0)
    ledger, pauses, seconds = RunLedger(), DecodePauses(), [0.0]
    service = SimpleNamespace(memory=TokenMemory(20, 20_000, 1, 1.0, 1.0))
    shared: Any = SimpleNamespace(
        run_ledger=ledger,
        pauses=pauses,
        fleet=SimpleNamespace(configuration=SimpleNamespace(service_by_name={"llm": service})),
    )
    node: Any = SimpleNamespace(timers=SimpleNamespace(now=lambda: seconds[0]))
    coordinator: Any = SimpleNamespace(ledger_of=lambda key: ledger)
    reports = PauseReports(node, shared, coordinator, UNUSED)
    ledger.set_peer("b", {"e1": (GrowingRun(1_000, 0),) * 12}, 0.0)
    for second in range(20):
        seconds[0] = float(second)
        reports.apply(engine, key, PausesMeasured(key, "e1", 0, 1.0, 0.4))
        assert pauses.keeps(engine.start, 1.0, seconds[0])
