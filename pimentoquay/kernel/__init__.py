"""Foundation of every process: result codes, settings, timers, bus, time line and plug-ins."""

from pimentoquay.kernel.clock import Clock, LoopClock
from pimentoquay.kernel.codes import CodeInfo, ResultCode, info_of, is_not_run
from pimentoquay.kernel.errors import PimentoquayError, RefusedError
from pimentoquay.kernel.node import (
    Bus,
    Channel,
    ChannelClosed,
    ChannelOpened,
    Envelope,
    Identity,
    Node,
    Part,
    Transport,
)
from pimentoquay.kernel.registry import find_plugin, plugin, plugin_names
from pimentoquay.kernel.timeline import Event, HybridClock, Stamp, TimeLine
from pimentoquay.kernel.timers import Subscription, TimerService

__all__ = [
    "Bus",
    "Channel",
    "ChannelClosed",
    "ChannelOpened",
    "Clock",
    "CodeInfo",
    "Envelope",
    "Event",
    "HybridClock",
    "Identity",
    "LoopClock",
    "Node",
    "Part",
    "PimentoquayError",
    "RefusedError",
    "ResultCode",
    "Stamp",
    "Subscription",
    "TimeLine",
    "TimerService",
    "Transport",
    "find_plugin",
    "info_of",
    "is_not_run",
    "plugin",
    "plugin_names",
]
