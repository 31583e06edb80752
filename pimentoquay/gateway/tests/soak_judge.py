"""Judge of a soak of processes: what was lost, ran twice, or was answered wrongly, and why.

Unplanned impairment excuses a request from some seconds before it was sent until its end, at the
machine that took it or on its links. Planned work excuses nothing but runs that outlast the grace.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from pimentoquay.gateway.tests.process_rig import GRACE_SECONDS, ProcessRig, Run
from pimentoquay.gateway.tests.soak_callers import DEADLINE_SECONDS

CONTACT_SECONDS = 3.0
LATE_SECONDS = 3.0
LOSS_SLACK_SECONDS = 0.2
STANDING_SECONDS = 4.0


@dataclass
class Judge:
    """Judges requests; ``impairments`` holds a machine, a target, and when it began and ended.

    ``stalls`` holds when the process of the soak, with the engines, stood still. ``slack`` is added
    to the time in which a request that was not passed on may be unanswered.
    """

    rig: ProcessRig
    requests: list
    impairments: list
    stalls: list
    slack: float = 0.3
    faults: list = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)

    def judge(self, began_at):
        self._began_at = began_at
        self._gateway_by_name = {each.name: each for each in self.rig.gateways}
        self._engine_by_id = {each.id: each for each in (*self.rig.engines, *self.rig.gone)}
        runs_by_request: defaultdict[str, list[Run]] = defaultdict(list)
        for engine in self._engine_by_id.values():
            for request_id, runs in engine.runs_by_request.items():
                runs_by_request[request_id] += runs
        self._before = {(each.connection, each.index + 1): each for each in self.requests}
        self._runs_by_request = runs_by_request
        sent = {request.id for request in self.requests}
        for request_id in runs_by_request.keys() - sent:
            self._add("UNASKED", None, f"{request_id} was never sent")
        for request in self.requests:
            self._judge(request, sorted(runs_by_request[request.id], key=lambda r: r.began_at))
        return self.faults

    def _judge(self, request, runs):
        self.counts["requests"] += 1
        if request.end == "answer":
            self.counts[f"status {request.status}"] += 1
            if request.body:
                self._add("MIXED", request, request.body.decode())
            if request.status in (408, 421, 429, 503) and request.may_run_once and runs:
                self._add("REFUSED", request, f"answered {request.status}", runs)
        if request.may_run_once and len(runs) > 1:
            self._add("TWICE", request, f"{len(runs)} runs", runs)
        if request.end in ("eof", "reset", "given up"):
            self.counts[f"ended by {request.end}"] += 1
            self._judge_lost(request, runs)

    def _judge_lost(self, request, runs):
        if not runs:
            self._judge_unread(request)
            return
        excuse = self._excuse(request, runs)
        if not excuse and any(
            began <= request.ended_at and ended >= request.sent_at for began, ended in self.stalls
        ):
            excuse = "the engines stood still"
        if excuse:
            self.counts[f"excused: {excuse}"] += 1
        elif self._is_impaired_elsewhere(request):
            self.counts["suspect"] += 1
            self._add("suspect", request, f"ended by {request.end}", runs)
        else:
            self._add("LOST", request, f"ended by {request.end}", runs)

    def _judge_unread(self, request):
        """Judge a request that no engine ran.

        One that was read together with a request that was answered is lost if it is not. Others may
        have crossed the end of their connection, which takes any time on a machine that is full.
        """
        gateway = self._gateway_by_name[request.gateway]
        before = self._before.get((request.connection, request.index))
        is_behind_answer = request.is_joined and before is not None and before.end == "answer"
        waited = request.ended_at - request.sent_at
        detail = f"ended by {request.end} {waited:.2f} s after it was sent, never passed on"
        if waited == float("-inf"):
            self.counts["not sent whole"] += 1
        elif before is not None and before.end != "answer" and self._runs_by_request[before.id]:
            self.counts["behind a lost request"] += 1
        elif self._excuse(request, []):
            self.counts["unanswered, excused"] += 1
        elif is_behind_answer or request.end == "given up":
            self._add("LOST-UNPASSED", request, detail)
        elif request.after_close:
            self.counts["sent after an announced close"] += 1
        elif before is not None and b"connection: close" in before.head:
            self.counts["crossed an announced close"] += 1
        elif waited <= LOSS_SLACK_SECONDS + self.slack:
            self.counts["crossed a close"] += 1
        elif any(at <= request.ended_at <= at + GRACE_SECONDS + 1 for at in gateway.stopped_at):
            self._add("suspect", request, detail)
        else:
            self.counts["closed while idle"] += 1

    def _excuse(self, request, runs):
        gateway = self._gateway_by_name[request.gateway]
        since, until = request.sent_at - CONTACT_SECONDS, request.ended_at
        if any(since <= at <= until for at in gateway.killed_at):
            return "killed"
        if link := self._impaired_link(gateway, since, until):
            return f"link to {link} cut"
        if any(self._has_broken_off(run, until) for run in runs):
            return "engine broke off"
        if until - request.sent_at >= DEADLINE_SECONDS - 0.5:
            return "time budget"
        if any(self._outlasts(at, request, runs) for at in gateway.stopped_at):
            return "at work at the end of the grace"
        return ""

    def _impaired_link(self, gateway, since, until):
        """Return what a gateway's link leads to that was impaired, or an empty string."""
        for machine, target, began, ended in self.impairments:
            # A cut that stands for long is a way of the deployment, not an impairment.
            last = min(ended, began + STANDING_SECONDS) if ended - began > 8 else ended
            if machine == gateway.host and began <= until and last >= since:
                return "the store" if target == self.rig.host(1) else "machines"
        return ""

    def _has_broken_off(self, run, until):
        times = self._engine_by_id[run.engine].broke_off_at
        last = min(run.ended_at, until) + 0.1
        return any(run.began_at - 0.01 <= at <= last for at in times)

    def _outlasts(self, stopped_at, request, runs):
        """Return whether an engine was at work in the last sixth of the grace time."""
        last_sixth = stopped_at + GRACE_SECONDS * 5 / 6
        if not stopped_at <= request.ended_at <= stopped_at + GRACE_SECONDS + 1:
            return False
        return request.sent_at <= stopped_at + LATE_SECONDS and any(
            run.ended_at >= last_sixth - 0.05 for run in runs
        )

    def _is_impaired_elsewhere(self, request):
        since, until = request.sent_at - CONTACT_SECONDS, request.ended_at
        return any(
            began <= until and ended >= since
            for machine, _, began, ended in self.impairments
            if ended - began <= 8
        )

    def _add(self, rule, request, detail, runs=()):
        item = {"rule": rule, "detail": detail}
        if request is not None:
            gateway = self._gateway_by_name[request.gateway]
            item |= {
                "request": request.id,
                "path": request.path,
                "gateway": f"{request.gateway}/{request.boot}",
                "connection": f"{request.connection}#{request.index}",
                "sent": self._time(request.sent_at),
                "ended": self._time(request.ended_at),
                "ahead": request.was_ahead,
                "slow": request.is_slow,
                "before": self._describe(self._before.get((request.connection, request.index))),
                "stops": [self._time(at) for at in gateway.stopped_at],
                "runs": [
                    f"{run.engine} {self._time(run.began_at)}-{self._time(run.ended_at)}"
                    f"{'' if run.is_complete else ' incomplete'}"
                    for run in runs
                ],
            }
        self.faults.append(item)

    def _describe(self, request):
        if request is None:
            return ""
        close = " close" if b"connection: close" in request.head else ""
        times = f"{self._time(request.sent_at)}-{self._time(request.ended_at)}"
        return f"{request.path} {request.end} {request.status} {times}{close}"

    def _time(self, at):
        return round(at - self._began_at, 2) if abs(at) != float("inf") else None
