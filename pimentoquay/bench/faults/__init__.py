"""Seeded schedules of failures against real control, scheduler and entry code.

Nothing is modelled but the interfaces: the stand-ins, channels in memory, and a wire between
each process and what it calls, which can be cut or paused. After each schedule every invariant
is checked from what callers, engines, plain services and the log saw.
"""

__all__: list[str] = []
