"""Soak of gateways in processes of their own, with planned work and failures that overlap.

A long run by hand, whose logs of seeds with faults are kept::

    python -m pimentoquay.gateway.tests.process_soak --first 1 --seeds 50 --seconds 20

Each seed plays some of: stops with further signals, SIGHUP, new configurations, links that fail,
gateways that reach engines through peers only, a store that fails, engines that crash, leave, drain
and change their stage, and delays between machines. It prints one line of JSON.
"""

import argparse
import asyncio
import json
import random
import shutil
import signal
import tempfile
import time
from collections import Counter
from pathlib import Path

from loguru import logger

from pimentoquay.gateway.tests.link_proxy import LinkState
from pimentoquay.gateway.tests.process_rig import GRACE_SECONDS, ProcessRig
from pimentoquay.gateway.tests.rig import ROUTES, until
from pimentoquay.gateway.tests.soak_callers import Caller
from pimentoquay.gateway.tests.soak_judge import Judge
from pimentoquay.standin.platform_store import StoreFault

PLANNED = ("stop", "stop", "stop", "hup", "configure")
PLAYS = {
    "planned": PLANNED,
    "stops": ("stop",),
    "stop all": ("stop_all", "hup"),
    "engines": (*PLANNED, "crash", "leave", "drain", "stage"),
    "links": (*PLANNED, "cut", "cut"),
    "tunnels": (*PLANNED, "stop"),
    "tunnels and engines": (*PLANNED, "leave", "drain", "crash"),
    "store": (*PLANNED, "store"),
    "rests": ("idle", "idle", "configure", "hup"),
    "all": (*PLANNED, "cut", "store", "crash", "leave", "drain", "stage", "kill"),
}
DRAWN_PLAYS = tuple(name for name in PLAYS if name != "rests")
IDLE_SECONDS = (1.0, 4.0)
"""Limits of idle time in the play in which callers rest."""

DELAYS = (0.0, 0.0, 0.0, 0.03, 0.03, 0.1)
"""Seconds that a link delays what passes; a round trip takes twice as long."""

STALL_SECONDS = 0.5
"""Time without a turn after which the stand-ins count as having stood still."""

CUTS = (LinkState.SILENT, LinkState.REFUSED, LinkState.RESET, LinkState.NEW_SILENT)


class ProcessSoak:
    """One seed: callers, and a series of acts that overlap."""

    def __init__(self, rig, seed, seconds, play, callers):
        self.rig, self.seconds, self.play = rig, seconds, play
        self.random = random.Random(seed)
        self.callers = callers
        self.acts: Counter[str] = Counter()
        self.requests = []
        self.impairments = []
        self.stalls: list[tuple[float, float]] = []
        self.failed_processes = []
        self.closed_early = []
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self):
        self.began_at = time.monotonic()
        ends_at = self.began_at + self.seconds
        if self.play.startswith("tunnels"):
            await self._cut_off_from_engines()
        callers = [
            Caller(
                self.rig,
                number,
                random.Random(self.random.random()),
                self.requests,
                ends_at,
                rests=self.play == "rests" and number % 4 > 0,
                closed_early=self.closed_early,
            )
            for number in range(self.callers)
        ]
        calls = [asyncio.create_task(caller.run()) for caller in callers]
        watch = asyncio.create_task(self._watch_stalls())
        while time.monotonic() < ends_at:
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            name = self.random.choice(PLAYS[self.play])
            self.acts[name] += 1
            self._tasks.append(asyncio.create_task(getattr(self, f"_{name}")()))
        await asyncio.gather(*calls, *self._tasks)
        watch.cancel()
        for gateway in self.rig.gateways:
            if gateway.process.returncode is not None:
                self._add_failed(gateway)

    async def _watch_stalls(self):
        """Record when this process, and all engines in it, stood still."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(STALL_SECONDS / 5)
            if time.monotonic() - before > STALL_SECONDS:
                self.stalls.append((before, time.monotonic()))

    def _add_failed(self, gateway):
        self.failed_processes.append(
            {
                "rule": "process ended",
                "gateway": f"{gateway.name}/{gateway.boot}",
                "status": gateway.process.returncode,
                "at": round(time.monotonic() - self.began_at, 2),
            }
        )

    async def _cut_off_from_engines(self):
        """Let a third of the gateways reach no engine by themselves, all the time."""
        for gateway in self.rig.gateways[:: 3 if len(self.rig.gateways) > 3 else 2]:
            state = self.random.choice((LinkState.REFUSED, LinkState.NEW_SILENT))
            for number in range(101, 200):
                self.rig.links.set(gateway.host, self.rig.host(number), state)
            self.impairments.append(
                (gateway.host, "engines", time.monotonic() - 60, time.monotonic() + 3600)
            )
        await asyncio.sleep(1.0)

    def early_closes(self):
        """Return the connections that were closed while their callers might still use them."""
        return [
            {"rule": "closed early", "gateway": f"{gateway.name}/{boot}", "idle": round(idle, 2)}
            for gateway, boot, at, idle in self.closed_early
            if not any(at - GRACE_SECONDS - 1 <= stop <= at for stop in gateway.stopped_at)
        ]

    def _running(self):
        """Return the gateways that may be stopped, which leaves half of them."""
        running = [each for each in self.rig.gateways if not each.is_stopping]
        return running if len(running) > (len(self.rig.gateways) + 1) // 2 else []

    async def _stop(self):
        if running := self._running():
            await self._stop_gateway(self.random.choice(running))

    async def _stop_all(self):
        running = [each for each in self.rig.gateways if not each.is_stopping]
        await asyncio.gather(*(self._stop_gateway(each) for each in running))

    async def _stop_gateway(self, gateway):
        if gateway.process.returncode is not None:
            self._add_failed(gateway)
        gateway.signal(signal.SIGTERM)
        if self.random.random() < 0.3:
            await asyncio.sleep(self.random.uniform(0.0, 3.0))
            again = self.random.choice((signal.SIGTERM, signal.SIGHUP))
            gateway.signal_again(again)
        status = await gateway.end()
        if status not in (0, -signal.SIGKILL):
            self._add_failed(gateway)
        await asyncio.sleep(self.random.choice((0.0, 0.0, 0.5)))
        await gateway.start()
        if self.random.random() < 0.3:
            await asyncio.sleep(self.random.choice((0.08, 0.15, 0.4)))
            gateway.signal(signal.SIGHUP)
        await gateway.wait_ready()
        gateway.is_stopping = False

    async def _kill(self):
        if running := self._running():
            gateway = self.random.choice(running)
            gateway.is_stopping = True
            gateway.killed_at.append(time.monotonic())
            gateway.process.kill()
            await gateway.process.wait()
            await gateway.start()
            await gateway.wait_ready()
            gateway.is_stopping = False

    async def _hup(self):
        gateway = self.random.choice(self.rig.gateways)
        if not gateway.is_stopping:
            gateway.signal(signal.SIGHUP)

    async def _configure(self):
        routes = list(ROUTES)
        if self.random.random() < 0.4:
            routes.remove(self.random.choice(routes))
        name, value = self.random.choice(
            (("timeoutMs", 13_000), ("targetLatencyMs", 900), ("priority", 2), ("gapTargetMs", 900))
        )
        chosen = self.random.randrange(len(routes))
        routes[chosen] = routes[chosen] | {name: value}
        await self.rig.configure(routes)
        await asyncio.sleep(self.random.uniform(0.3, 2.0))
        await self.rig.configure(ROUTES)

    async def _idle(self):
        await self.rig.configure(ROUTES, self.random.choice(IDLE_SECONDS))

    async def _cut(self):
        gateway = self.random.choice(self.rig.gateways)
        kind = self.random.choice(("engines", "engine", "peers", "store", "all"))
        engines = [each.address.rpartition(":")[0] for each in self.rig.engines]
        peers = [each.host for each in self.rig.gateways if each is not gateway]
        targets = {
            "engines": engines,
            "engine": [self.random.choice(engines)],
            "peers": peers,
            "store": [self.rig.host(1)],
            "all": [*engines, *peers, self.rig.host(1)],
        }[kind]
        state, began_at = self.random.choice(CUTS), time.monotonic()
        for target in targets:
            self.rig.links.set(gateway.host, target, state)
        seconds = self.random.uniform(0.2, 3.0)
        for target in targets:
            self.impairments.append((gateway.host, target, began_at, began_at + seconds + 0.1))
            if kind in ("peers", "all"):
                self.impairments.append((target, gateway.host, began_at, began_at + seconds + 0.1))
        await asyncio.sleep(seconds)
        for target in targets:
            self.rig.links.set(gateway.host, target, LinkState.OPEN)

    async def _store(self):
        faults = (StoreFault.BUSY, StoreFault.RESET, StoreFault.SILENT, StoreFault.LOST)
        self.rig.store.fault = self.random.choice(faults)
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        self.rig.store.fault = StoreFault.NONE

    def _engine(self):
        """Return an engine that one of the same kind can stand in for, or None."""
        stages = Counter(each.stage for each in self.rig.engines if not each.is_crashed)
        chosen = [each for each in self.rig.engines if not each.is_crashed and not each.is_leaving]
        chosen = [each for each in chosen if stages[each.stage] > 1]
        return self.random.choice(chosen) if chosen else None

    async def _crash(self):
        if engine := self._engine():
            engine.crash()
            await asyncio.sleep(self.random.uniform(0.2, 2.0))
            await engine.restart()
            await self.rig.list_engine(engine)

    async def _drain(self):
        if engine := self._engine():
            engine.is_leaving = True
            await self.rig.list_engine(engine, "draining")
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
            engine.is_leaving = False
            await self.rig.list_engine(engine)

    async def _leave(self):
        if engine := self._engine():
            engine.is_leaving = True
            await self.rig.list_engine(engine, "draining")
            await self.rig.add_engine(engine.stage)
            await asyncio.sleep(2.0)
            await until(lambda: not engine.running, "drained")
            self.rig.engines.remove(engine)
            await self.rig.remove_engine(engine)

    async def _stage(self):
        engine = self._engine()
        if engine is not None and engine.stage:
            engine.stage = "decode" if engine.stage == "prefill" else "prefill"
            await self.rig.list_engine(engine)


async def soak(seed, seconds=20.0, gateways=7, engines=9, callers=100, play=None, keep=None):
    """Play one seed, and return its record; keep the logs of a seed with faults in a folder."""
    choice = random.Random(f"play {seed}")
    play = play or choice.choice(DRAWN_PLAYS)
    delay = choice.choice(DELAYS)
    with tempfile.TemporaryDirectory(prefix="soak-") as name:
        folder = Path(name)
        rig = ProcessRig(folder, delay)
        try:
            await rig.start(gateways, engines)
            done = ProcessSoak(rig, seed, seconds, play, callers)
            await done.run()
            judge = Judge(rig, done.requests, done.impairments, done.stalls)
            judge.judge(done.began_at)
            faults = [*judge.faults, *done.failed_processes, *done.early_closes()]
        finally:
            await rig.close()
        if faults and keep is not None:
            shutil.copytree(folder, Path(keep) / f"seed-{seed}", dirs_exist_ok=True)
    suspects = [each for each in faults if each["rule"] == "suspect"]
    return {
        "seed": seed,
        "play": play,
        "delay": delay,
        "acts": dict(done.acts),
        "counts": dict(sorted(judge.counts.items())),
        "faults": [each for each in faults if each["rule"] != "suspect"],
        "suspects": suspects,
    }


def main():
    """Play seeds one after the other, and print each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--gateways", type=int, default=7)
    parser.add_argument("--engines", type=int, default=9)
    parser.add_argument("--clients", type=int, default=100)
    parser.add_argument("--play", choices=PLAYS, help="acts to play (default: drawn by the seed)")
    parser.add_argument("--keep", help="folder for the logs of seeds with faults")
    options = parser.parse_args()
    logger.remove()
    # A shell lets what it starts in the background ignore SIGINT.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)
    total: Counter[str] = Counter()
    for seed in range(options.first, options.first + options.seeds):
        record = asyncio.run(
            soak(
                seed,
                options.seconds,
                options.gateways,
                options.engines,
                options.clients,
                options.play,
                options.keep,
            )
        )
        total.update(record["counts"], faults=len(record["faults"]))
        print(json.dumps(record), flush=True)
    print(json.dumps({"total": dict(sorted(total.items()))}), flush=True)


if __name__ == "__main__":
    main()
