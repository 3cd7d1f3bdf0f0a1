"""Monotonic clock that includes suspended time, and a wall clock that is robust against jumps."""

from __future__ import annotations

import time
from collections import deque
from statistics import median

import anyio

__all__ = ["WallClock", "boot_time_s"]

SAMPLE_INTERVAL_S = 1.0
"""Interval between two samples of the system time."""

SAMPLE_COUNT = 25
"""Samples in the median: an error of the system time has no effect for half as many seconds."""


def boot_time_s() -> float:
    """Return the seconds since boot, including the time for which the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class WallClock:
    """Time of day that ignores short errors of the system time.

    It adds the median offset between the system time and `boot_time_s` to `boot_time_s`.
    """

    def __init__(self) -> None:
        self._offsets_s: deque[float] = deque(maxlen=SAMPLE_COUNT)
        self._offset_s = 0.0
        self._sample()

    def _sample(self) -> None:
        self._offsets_s.append(time.time() - boot_time_s())
        self._offset_s = median(self._offsets_s)

    def now_unix_ms(self) -> int:
        """Return the time of day in milliseconds since the Unix epoch."""
        return int((boot_time_s() + self._offset_s) * 1000)

    async def run(self) -> None:
        """Sample the system time at a fixed interval; never returns."""
        while True:
            await anyio.sleep(SAMPLE_INTERVAL_S)
            self._sample()
