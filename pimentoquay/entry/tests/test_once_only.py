import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from pimentoquay.backends.base import EngineLostError, PlainAnswer, PlainCall, PlainLostError
from pimentoquay.entry.plain import PlainService, PlainTarget, is_once_only
from pimentoquay.entry.tests.fakes import (
    KIND,
    collect,
    engine_member,
    entry_rig,
    grant,
    refuse,
    spec_of,
)
from pimentoquay.kernel import Envelope, PimentoquayError, RefusedError, ResultCode
from pimentoquay.messages.cluster import ClusterView, MemberKind
from pimentoquay.messages.workspaces import ServiceSpec
from pimentoquay.orders.once_only import OnceOnlyPart
from pimentoquay.orders.settings import OnceOnlySection
from pimentoquay.services.ports import Ports
from pimentoquay.standin import StandinLog, StandinPlain

pytestmark = pytest.mark.looptime

SPEC = ServiceSpec("toner", ("/orders",), 5.0)
ONCE = replace(KIND, idempotent=False)
"""Kind of request that must run at most once."""
LOST = PlainLostError("reset", written=True)
"""The connection failed after the call was sent, so it may have run."""
NOT_SENT = PlainLostError("refused", written=False)
"""The connection failed before a byte was sent, so the call did not run."""
REFUSED = PlainAnswer(503, b"", "", not_run=True)
"""The response of a backend server that ran nothing."""


def target(key: str = "", once_only: bool = True) -> PlainTarget:
    return PlainTarget("print", SPEC, once_only, key)


def call(request_id: str = "r1") -> PlainCall:
    return PlainCall(request_id, "POST", "/orders", b"{}", "application/json")


class ScriptedPlain:
    """Backend server that returns or raises ``answers`` in turn, then acts as the stand-in."""

    def __init__(self) -> None:
        self.answers: list = []
        self.standin_plain = StandinPlain("toner")
        self.sent = 0

    async def call(self, call: PlainCall, timeout: float) -> PlainAnswer:
        self.sent += 1
        answer = (
            self.answers.pop(0) if self.answers else await self.standin_plain.call(call, timeout)
        )
        if isinstance(answer, Exception):
            raise answer
        return answer

    @property
    def runs(self) -> int:
        return len(self.standin_plain.observed().runs)


class OnceRig:
    """An entry with a plain service, and a control process that grants idempotency keys."""

    def __init__(self, rig, log, claims) -> None:
        self.rig = rig
        self.log = log
        self.server = ScriptedPlain()
        self.plain = PlainService(
            rig.service.node, rig.link, lambda member: self.server, rig.service.metrics, claims
        )

    async def code_of(self, plain_target: PlainTarget, request: PlainCall) -> ResultCode:
        with pytest.raises(PimentoquayError) as caught:
            await self.plain.call(plain_target, request)
        return caught.value.code


@asynccontextmanager
async def once_rig():
    async with entry_rig() as rig, asyncio.TaskGroup() as group:
        servers = [
            replace(engine_member(name), kind=MemberKind.SERVICE, pool="toner")
            for name in ("t1", "t2")
        ]
        view = rig.link.directory.view
        view = ClusterView(2, (*view.members, *servers), view.live_vms, ("city-hall",))
        rig.link.inbox.put_nowait(Envelope(view))
        log = StandinLog()
        ports = Ports(None, None, log, None, None)
        part = OnceOnlyPart(
            rig.scheduler.node, rig.scheduler.peers, ports, OnceOnlySection(claim_timeout=1.0)
        )
        claims = rig.service.claims
        tasks = [group.create_task(part.run()), group.create_task(claims.run())]
        await asyncio.sleep(0.01)
        yield OnceRig(rig, log, claims)
        for task in tasks:
            task.cancel()


async def test_a_lost_answer_is_outcome_unknown_and_nothing_is_sent_again():
    async with once_rig() as once:
        once.server.answers = [LOST]
        assert await once.code_of(target(), call()) is ResultCode.OUTCOME_UNKNOWN
        assert once.server.sent == 1


@pytest.mark.parametrize("proof", [NOT_SENT, REFUSED])
async def test_proof_that_nothing_ran_allows_another_server(proof):
    async with once_rig() as once:
        once.server.answers = [proof]
        assert (await once.plain.call(target(), call())).status == 200
        assert once.server.runs == 1


async def test_a_call_that_every_server_refused_ends_as_not_run():
    async with once_rig() as once:
        once.server.answers = [REFUSED, NOT_SENT, REFUSED]
        with pytest.raises(RefusedError) as caught:
            await once.plain.call(target(), call())
        assert caught.value.code is ResultCode.NO_BACKEND
        assert once.server.runs == 0


async def test_an_idempotent_call_is_repeated_after_a_lost_answer():
    async with once_rig() as once:
        once.server.answers = [LOST]
        assert (await once.plain.call(target(once_only=False), call())).status == 200


async def test_a_key_runs_once_and_a_repetition_is_refused():
    async with once_rig() as once:
        answers = await asyncio.gather(
            *(once.plain.call(target("k1"), call(f"r{number}")) for number in range(4)),
            return_exceptions=True,
        )
        codes = [error.code for error in answers if isinstance(error, PimentoquayError)]
        assert codes == [ResultCode.KEY_IN_USE] * 3
        await asyncio.sleep(2.0)
        assert await once.code_of(target("k1"), call("r9")) is ResultCode.KEY_ALREADY_RUN
        assert once.server.runs == 1


async def test_the_key_of_a_refused_call_can_be_claimed_again():
    async with once_rig() as once:
        once.server.answers = [REFUSED, REFUSED]
        assert await once.code_of(target("k1"), call()) is ResultCode.NO_BACKEND
        await asyncio.sleep(2.0)
        assert (await once.plain.call(target("k1"), call("r2"))).status == 200


async def test_a_key_whose_answer_was_lost_stays_unknown_and_is_not_run_again():
    async with once_rig() as once:
        once.server.answers = [LOST]
        assert await once.code_of(target("k1"), call()) is ResultCode.OUTCOME_UNKNOWN
        await asyncio.sleep(2.0)
        assert await once.code_of(target("k1"), call("r2")) is ResultCode.OUTCOME_UNKNOWN
        assert once.server.sent == 1


async def test_a_keyed_call_does_not_run_without_a_granted_claim():
    async with once_rig() as once:
        once.log.outage(60.0)
        assert await once.code_of(target("k1"), call()) is ResultCode.KEY_UNAVAILABLE
        await once.rig.scheduler.node.transport.close()
        assert await once.code_of(target("k2"), call()) is ResultCode.KEY_UNAVAILABLE
        assert once.server.sent == 0
        assert (await once.plain.call(target(), call("r3"))).status == 200


async def test_a_keyed_call_continues_and_is_settled_after_its_caller_left():
    async with once_rig() as once:
        once.server.standin_plain.slow(1.0)
        task = asyncio.create_task(once.plain.call(target("k1"), call()))
        await asyncio.sleep(0.5)
        task.cancel()
        await asyncio.wait([task])
        await once.plain.drained()
        await asyncio.sleep(2.0)
        assert await once.code_of(target("k1"), call("r2")) is ResultCode.KEY_ALREADY_RUN
        assert once.server.runs == 1


async def test_a_non_idempotent_model_request_claims_its_key():
    async with once_rig() as once:
        rig = once.rig
        rig.next_answers(grant("d1", "d1"), grant("d1", "d1"))
        spec = spec_of(kind=ONCE, idempotency_key="k1")
        await collect(rig.service.run(spec))
        await asyncio.sleep(2.0)
        with pytest.raises(PimentoquayError) as caught:
            await collect(rig.service.run(replace(spec, request_id="r2")))
        assert caught.value.code is ResultCode.KEY_ALREADY_RUN
        assert rig.engine_by_name["d1"].calls == ["prefill:0", "decode:0"]


@pytest.mark.parametrize("may_have_run", [True, False])
async def test_a_failed_model_request_frees_its_key_only_if_nothing_ran(may_have_run):
    async with once_rig() as once:
        rig = once.rig
        spec = spec_of(kind=ONCE, idempotency_key="k1")
        if may_have_run:
            rig.next_answers(grant("d1", "d1"))
            rig.engine_by_name["d1"].failures_by_call["prefill"] = [EngineLostError("reset")]
        else:
            rig.next_answers(refuse(ResultCode.QUEUE_FULL))
        with pytest.raises(PimentoquayError):
            await collect(rig.service.run(spec))
        await asyncio.sleep(2.0)
        rig.next_answers(grant("d2", "d2"))
        again = collect(rig.service.run(replace(spec, request_id="r2")))
        if may_have_run:
            with pytest.raises(PimentoquayError) as caught:
                await again
            assert caught.value.code is ResultCode.OUTCOME_UNKNOWN
        else:
            assert (await again).endswith(b"[DONE]\n\n")


@pytest.mark.parametrize(
    ("path", "marked"),
    [
        ("/orders", True),
        ("orders/", True),
        ("//Orders//7", True),
        ("/orders?x=1", True),
        ("/ordersx", False),
        ("/status", False),
    ],
)
def test_every_spelling_of_a_once_only_path_is_recognized(path, marked):
    assert is_once_only(SPEC, path) is marked
