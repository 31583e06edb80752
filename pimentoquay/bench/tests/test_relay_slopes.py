from pimentoquay.bench.slopes import relay


def test_every_slope_is_measured(monkeypatch):
    monkeypatch.setattr(relay, "TOKENS", 50)
    monkeypatch.setattr(relay, "SHORT_REQUESTS", 2)
    names = [slope.name for slope in relay.relay_slopes(1)]
    assert names[:3] == ["relay to the caller", "relay from the engine", "relay, both sides"]
