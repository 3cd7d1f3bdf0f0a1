"""Readings of a worker's clock, which date what the worker says of itself."""

from __future__ import annotations

from dataclasses import dataclass, replace

__all__ = ["CLOCK_DRIFT_FACTOR", "ClockReading", "more_exact"]

CLOCK_DRIFT_FACTOR = 1.03
"""Longest local time per unit of a worker's clock, which may be 2 % slow."""


@dataclass(frozen=True, slots=True)
class ClockReading:
    """Clock of a worker in a response.

    Attributes:
        boot_unix_ms: Start time of the incarnation that responded.
        clock_ms: Its clock, read between the request and the response.
        sent_s: Local time at which the request was sent.
        received_s: Local time at which the response arrived.
    """

    boot_unix_ms: int
    clock_ms: int
    sent_s: float
    received_s: float

    def earliest_s(self, clock_ms: int) -> float:
        """Return the earliest local time at which the clock can have shown the given value.

        The clock may be slow but not fast, so a time on it took at least as long by ours.
        """
        elapsed_s = (clock_ms - self.clock_ms) / 1000
        return self.sent_s + min(elapsed_s, elapsed_s * CLOCK_DRIFT_FACTOR)

    def latest_s(self, clock_ms: int) -> float:
        """Return the latest local time at which the clock can have shown the given value."""
        elapsed_s = (clock_ms - self.clock_ms) / 1000
        return self.received_s + max(elapsed_s, elapsed_s * CLOCK_DRIFT_FACTOR)


def more_exact(known: ClockReading | None, reading: ClockReading) -> ClockReading:
    """Return the reading that dates later events of an incarnation more exactly.

    A response that the worker has held back may say less than an older reading. One that
    contradicts it replaces it.
    """
    if known is None or known.boot_unix_ms != reading.boot_unix_ms:
        return reading
    earliest_s = known.earliest_s(reading.clock_ms)
    if not reading.sent_s < earliest_s <= reading.received_s:
        return reading
    excess_s = known.latest_s(reading.clock_ms) - reading.received_s
    return replace(known, received_s=known.received_s - excess_s) if excess_s > 0 else known
