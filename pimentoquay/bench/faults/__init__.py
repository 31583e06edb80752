"""Fault injection: runs seeded schedules of failures and checks every invariant afterwards.

The control, scheduler and entry code is the real one. Only its surroundings are simulated: engines,
plain services, the log and the membership list are stand-ins, channels are in memory, and the
connections of each process to the stand-ins can be cut or paused. The invariants are checked
against what callers, operators, engines, plain services and the log recorded.
"""

__all__: list[str] = []
