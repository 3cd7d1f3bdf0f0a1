"""Clocks: one that counts suspended time, and a time of day that resists jumps."""

from __future__ import annotations

import time
from collections import deque
from statistics import median

import anyio

__all__ = ["WallClock", "boot_time_s"]

SAMPLE_PAUSE_S = 1.0
"""Pause between two readings of the time of day."""

SAMPLE_COUNT = 25
"""Readings kept: a jump of half as many seconds changes nothing."""


def boot_time_s() -> float:
    """Return a clock that also counts the time for which the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class WallClock:
    """The time of day as the median of many readings against the steady clock."""

    def __init__(self) -> None:
        self._offsets_s: deque[float] = deque(maxlen=SAMPLE_COUNT)
        self._offset_s = 0.0
        self._sample()

    def _sample(self) -> None:
        self._offsets_s.append(time.time() - boot_time_s())
        self._offset_s = median(self._offsets_s)

    def now_unix_ms(self) -> int:
        """Return the time of day."""
        return int((boot_time_s() + self._offset_s) * 1000)

    async def run(self) -> None:
        """Read the time of day again and again."""
        while True:
            await anyio.sleep(SAMPLE_PAUSE_S)
            self._sample()
