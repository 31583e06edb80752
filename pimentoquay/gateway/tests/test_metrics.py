from pimentoquay.gateway.metrics import GATEWAY_METRICS
from pimentoquay.gateway.tests.rig import rig
from pimentoquay.http1 import ConnectionPool, ReusePolicy


async def test_ended_requests_are_counted_and_served_as_text():
    async with rig() as env:
        gateway = env.gateway_by_vm["vm-1"]
        await gateway.metrics_server.listen("127.0.0.1", 0)
        await env.send_request("/look/a")
        await env.send_request("/nowhere/a")
        await env.stream()
        pool = ConnectionPool(f"127.0.0.1:{gateway.metrics_server.port}", 5.0, ReusePolicy())
        async with pool.exchange(b"GET", b"/metrics", ((b"Host", b"a"),)) as exchange:
            text = (await exchange.read_body(2**20)).decode()
        pool.close()
        await gateway.metrics_server.close()
    assert 'requests_total{code="100",name="OK"} 2' in text
    assert 'requests_total{code="217",name="NOT_FOUND"} 1' in text
    assert "pimentoquay_gateway_configuration_version 1\n" in text
    assert "pimentoquay_gateway_first_event_seconds_count 1" in text
    assert all(f"# TYPE {metric.name} " in text for metric in GATEWAY_METRICS)


async def test_a_gateway_serves_its_metrics_at_the_given_port():
    async with rig(start_gateway=False) as env:
        gateway = await env.add_gateway(metrics_port=0)
        pool = ConnectionPool(f"127.0.0.1:{gateway.metrics_server.port}", 5.0, ReusePolicy())
        async with pool.exchange(b"GET", b"/metrics", ((b"Host", b"a"),)) as exchange:
            assert b"pimentoquay_gateway_requests_total" in await exchange.read_body(2**20)
        pool.close()
        await gateway.metrics_server.close()


async def test_engines_that_cannot_be_reached_are_counted_by_how_connecting_failed():
    async with rig() as env:
        gateway = env.gateway_by_vm["vm-1"]
        for name in ("desk-1", "desk-2"):
            await env.engine_by_id[name].close()
        assert (await env.send_request("/look/a")).status == 503
        text = gateway.dispatcher._shared.metrics.text()
        assert "pimentoquay_gateway_engines_unreachable 2\n" in text
        assert 'engine_connect_failures_total{failure="refused"} 2\n' in text
        await env.engine_by_id["desk-1"].serve(*_host_and_port(env.engine_by_id["desk-1"]))
        link = gateway.links.link_to(
            next(each for each in gateway.fleet.engines() if each.id == "desk-1")
        )
        await link.call(link.calls.release_memory("none"))
        assert gateway.links.contact.unreachable_since_by_id.keys() == {"desk-2"}


def _host_and_port(engine):
    host, _, port = engine.address.rpartition(":")
    return host, int(port)
