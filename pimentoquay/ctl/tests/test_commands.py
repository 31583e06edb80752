"""Commands of ``pimentoquay-ctl`` run against a whole cluster through one VM."""

import asyncio
import json

import pytest

from pimentoquay.ctl.outcomes import ExitStatus
from pimentoquay.services.base import LogOutcomeUnknownError

pytestmark = pytest.mark.looptime(start=0)

CREATE = "workspace create --from print-office --set name=new-market --set key=@new.key"


async def create(operator, name="new-market"):
    operator.write("new.key", f"bearer-key-of-{name}\n")
    line = f"{CREATE} --output {name}.ini".replace("new-market", name)
    result = await operator.run(line, connects=False)
    assert result.status == ExitStatus.OK, result.err
    return f"{name}.ini"


async def test_new_workspace_is_published_and_in_force_in_every_data_centre(operator):
    file = await create(operator)
    assert "bearer-key" not in operator.read(file)
    published = await operator.run(f"publish {file} --author ann")
    assert published.status == ExitStatus.OK, published.err
    assert "accepted: new-market is now version" in published.out
    assert "in force: arima-hall 2/2, city-hall 3/3, san-juan 2/2" in published.err
    operator.select_vm("tt-north-vm-6")
    listed = await operator.run("get")
    assert "new-market" in listed.out and "ann" in listed.out
    same = await operator.run(f"diff {file}")
    assert "in force as it is" in same.out


async def test_conflict_invalid_and_refused_have_their_own_exit_status(operator):
    file = await create(operator)
    await operator.run(f"publish {file}")
    conflict = await operator.run(f"publish {file} --base 0")
    assert conflict.status == ExitStatus.CONFLICT
    assert "601 another change came first" in conflict.err
    operator.write("bad.ini", "[workspace]\nname = A B\n")
    bad = await operator.run("check bad.ini", connects=False)
    assert bad.status == ExitStatus.INVALID
    assert "bad.ini: [workspace] name = 'A B': allowed:" in bad.err
    operator.cluster.log.outage(120)
    refused = await operator.run(f"publish {file}")
    assert refused.status == ExitStatus.REFUSED and "506" in refused.err


async def test_outcome_is_unknown_after_lost_answer_until_the_change_is_retried(
    operator, monkeypatch
):
    file = await create(operator)
    log = operator.cluster.log
    append = log.append

    async def append_then_go_down(stream, data):
        await append(stream, data)
        log.outage(40)
        raise LogOutcomeUnknownError("the answer was lost")

    with monkeypatch.context() as patch:
        patch.setattr(log, "append", append_then_go_down)
        unknown = await operator.run(f"publish {file} --change-id again --base 0")
    assert unknown.status == ExitStatus.UNKNOWN, unknown.out + unknown.err
    assert "change id again" in unknown.err
    await asyncio.sleep(40)
    known = await operator.run(f"publish {file} --change-id again --base 0")
    assert known.status == ExitStatus.OK, known.err


async def test_rollback_is_a_new_change(operator):
    file = await create(operator)
    await operator.run(f"publish {file}")
    before = operator.read(file)
    operator.write(file, before.replace("weight = 1", "weight = 9"))
    shown = await operator.run(f"diff {file}")
    assert "-weight = 1" in shown.out and "+weight = 9" in shown.out
    await operator.run(f"publish {file}")
    history = json.loads((await operator.run("history new-market --json")).out)
    first, second = (item["version"] for item in history["outcomes"])
    refused = await operator.run("rollback new-market --to 999")
    assert refused.status == ExitStatus.REFUSED and f"kept: {first}, {second}" in refused.err
    back = await operator.run(f"rollback new-market --to {first}")
    assert back.status == ExitStatus.OK, back.err
    record = json.loads((await operator.run("get new-market --json")).out)[0]
    assert record["workspace"]["weight"] == 1 and record["version"] > second
    assert (await operator.run("workspace remove new-market")).status == ExitStatus.OK
    assert (await operator.run("get new-market")).status == ExitStatus.REFUSED


async def test_status_shows_all_vms_and_outages(operator):
    status = json.loads((await operator.run("status --json")).out)
    assert {item["vm"] for item in status["vms"]} == set(operator.cluster.vm_by_name)
    owned = [line for item in status["vms"] for line in item["lines"] if "owned" in line["detail"]]
    assert sorted(line["subject"] for line in owned) == sorted(
        f"{model}@{operator.cluster.deployment.region}#0" for model in ("diag-llm", "fleet-desk")
    )
    operator.cluster.log.outage(60)
    await asyncio.sleep(5)
    table = await operator.run("status")
    assert "waiting" in table.out and "the log is down" in table.out
    assert "\x1b" not in table.out


async def test_status_shows_open_circuits_as_waiting(operator):
    await operator.run("status")
    schedulers = [
        scheduler
        for vm in operator.cluster.vm_by_name.values()
        for part in vm.control.parts
        for scheduler in getattr(part, "scheduler_by_shard", {}).values()
    ]
    scheduler = next(item for item in schedulers if item.shard.pool == "diag-llm")
    engine = scheduler.shard.engines[0].name
    scheduler.circuits.refused(engine, asyncio.get_running_loop().time(), 30.0)
    printed = await operator.run("status")
    assert f"{scheduler.shard.name} {engine}: circuit open" in printed.out
    assert "waiting" in printed.out and "stuck" not in printed.out


async def test_status_shows_the_lease_and_why_it_is_not_claimed(operator):
    file = await create(operator)
    await operator.run(f"publish {file}")
    await asyncio.sleep(5)
    lines = await status_lines(operator)
    subject = "diag-llm@tt-north#0 lease"
    (lease,) = (line for line in lines if line["subject"] == subject)
    assert lease["state"] == "ok" and "held here" in lease["detail"]
    owner = lease["vm"]
    operator.cluster.log.outage(120)
    await asyncio.sleep(60)
    lines = await status_lines(operator)
    (lease,) = (line for line in lines if line["subject"] == subject)
    assert lease["vm"] == owner and lease["state"] == "waiting"
    assert "not claimed" in lease["detail"]


async def test_status_shows_loads_in_progress_and_waiting(operator, monkeypatch):
    file = await create(operator)
    await operator.run(f"publish {file}")
    await asyncio.sleep(5)

    async def huge_size(model, version):
        return 10**12

    monkeypatch.setattr(operator.cluster.weights, "size_of", huge_size)
    operator.write(file, operator.read(file).replace("version = v1", "version = v9"))
    assert (await operator.run(f"publish {file}")).status == ExitStatus.OK
    await asyncio.sleep(5)
    waiting = [line for line in await status_lines(operator) if line["part"] == "orders"]
    details = [line["detail"] for line in waiting if line["state"] == "waiting"]
    assert any("wants version v9" in detail and "loading" in detail for detail in details), waiting
    assert any("waits for a place to load" in detail for detail in details), waiting


async def test_status_shows_silent_vms_and_an_unreadable_membership_list(operator):
    await operator.run("status")
    await operator.cluster.kill_control("tt-north-vm-3")
    operator.cluster.membership.outage(60)
    await asyncio.sleep(10)
    printed = await operator.run("status")
    assert "membership tt-north-vm-3: suspected: listed as live, but silent" in printed.out
    assert "the list cannot be read; served by version 1" in printed.out
    assert "stuck" not in printed.out


async def test_status_merges_equal_lines_of_several_vms(operator):
    await operator.run("status")
    await operator.cluster.kill_control("tt-north-vm-7")
    await asyncio.sleep(10)
    printed = await operator.run("status")
    (line,) = (line for line in printed.out.splitlines() if "suspected" in line)
    assert "tt-north-vm-1, tt-north-vm-4 membership tt-north-vm-7" in line


async def status_lines(operator):
    """Return the status lines of all VMs, each with the name of its VM."""
    status = json.loads((await operator.run("status --json")).out)
    return [{**line, "vm": item["vm"]} for item in status["vms"] for line in item["lines"]]


async def test_lost_configuration_is_shown_and_can_be_recovered(operator):
    file = await create(operator)
    await operator.run(f"publish {file}")
    in_force = await operator.run("recover --confirm")
    assert in_force.status == ExitStatus.CONFLICT
    cluster = operator.cluster
    for vm in cluster.vm_by_name:
        await cluster.kill_control(vm)
    await asyncio.sleep(cluster.log.model.retention + 1)
    for vm in cluster.vm_by_name:
        cluster.start_control(vm)
    await asyncio.sleep(20)
    lost = await operator.run("status")
    assert "not ready" in lost.out and "see ctl recover" in lost.out
    begun = await operator.run("recover --confirm")
    assert begun.status == ExitStatus.OK, begun.err
    await asyncio.sleep(10)
    published = await operator.run(f"publish {file}")
    assert published.status == ExitStatus.OK, published.err


async def test_drain_reaches_a_vm_of_another_data_centre(operator):
    drained = await operator.run("drain tt-north-vm-6")
    assert drained.status == ExitStatus.OK, drained.err
    assert operator.cluster.vm_by_name["tt-north-vm-6"].plan.data_centre != "city-hall"
    await asyncio.sleep(2)
    status = json.loads((await operator.run("status --json")).out)
    leaving = {item["vm"] for item in status["vms"] if item["is_leaving"]}
    assert leaving == {"tt-north-vm-6"}
    leaver = operator.cluster.vm_by_name["tt-north-vm-6"]
    await asyncio.wait_for(leaver.entry.wait_for_drain_request(), 1)
    assert (await operator.run("drain nobody")).status == ExitStatus.UNREACHABLE


async def test_timeline_merges_all_processes_in_causal_order(operator):
    file = await create(operator)
    await operator.run(f"publish {file}")
    for vm in operator.cluster.vm_by_name.values():
        vm.entry.node.timeline.record("probe")
    events = json.loads((await operator.run("timeline --json")).out)
    stamps = [(event["wall_us"], event["count"]) for event in events]
    assert stamps == sorted(stamps)
    published = [event for event in events if event["kind"] == "configuration-published"]
    assert [event["workspace"] for event in published] == ["new-market"]
    processes = {(event["vm"], event["process"]) for event in events}
    assert len(processes) == 2 * len(operator.cluster.vm_by_name)
    one = await operator.run("timeline --workspace new-market --since 1h")
    assert len(one.out.splitlines()) == 1
    drawn = await operator.run("timeline --html picture.html")
    assert drawn.status == ExitStatus.OK
    assert "<svg" in operator.read("picture.html")
    assert (await operator.run("timeline --since soon")).status == ExitStatus.INVALID


async def test_unreachable_vm_is_reported(operator):
    lost = await operator.run("status --control 10.9.9.9:1")
    assert lost.status == ExitStatus.UNREACHABLE and "10.9.9.9:1" in lost.err


async def test_templates_and_completion_need_no_vm(operator):
    listed = await operator.run("template list", connects=False)
    assert "print-office" in listed.out and "school-portal" in listed.out
    shown = await operator.run("template show print-office", connects=False)
    assert "longest_log" in shown.out
    wrong = await operator.run("template show nothing", connects=False)
    assert wrong.status == ExitStatus.INVALID and "school-portal" in wrong.err
    script = await operator.run("completion bash", connects=False)
    assert "complete -o filenames" in script.out and "rollback" in script.out
