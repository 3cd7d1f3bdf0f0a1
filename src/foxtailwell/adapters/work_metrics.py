"""Counters and latency histograms of an instance, rendered only when they are asked for."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["MetricRow", "WorkMetrics", "render_rows"]

BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)
"""Upper bounds of the latency histograms, from one store call to the longest jobs."""


@dataclass(frozen=True, slots=True)
class MetricRow:
    """One value with its labels."""

    name: str
    labels: tuple[tuple[str, str], ...]
    value: float


class WorkMetrics:
    """Counts and latencies since the start of the process."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, tuple[tuple[str, str], ...]], int] = {}
        self._buckets: dict[str, list[int]] = {}
        self._sums_s: dict[str, float] = {}

    def count(self, name: str, **labels: str) -> None:
        """Count one occurrence."""
        key = (name, tuple(sorted(labels.items())))
        self._counts[key] = self._counts.get(key, 0) + 1

    def observe_s(self, name: str, seconds: float) -> None:
        """Add one latency to a histogram."""
        buckets = self._buckets.setdefault(name, [0] * (len(BUCKETS_S) + 1))
        buckets[bisect_left(BUCKETS_S, seconds)] += 1
        self._sums_s[name] = self._sums_s.get(name, 0.0) + seconds

    def rows(self) -> Iterator[MetricRow]:
        """Yield every counter, and each histogram as cumulative buckets, sum and count."""
        for (name, labels), count in sorted(self._counts.items()):
            yield MetricRow(f"foxtailwell_{name}_total", labels, count)
        for name, buckets in sorted(self._buckets.items()):
            total = 0
            for bound, count in zip((*map(str, BUCKETS_S), "+Inf"), buckets, strict=True):
                total += count
                yield MetricRow(f"foxtailwell_{name}_seconds_bucket", (("le", bound),), total)
            yield MetricRow(f"foxtailwell_{name}_seconds_sum", (), self._sums_s[name])
            yield MetricRow(f"foxtailwell_{name}_seconds_count", (), total)


def render_rows(metrics: WorkMetrics) -> tuple[bytes, dict[str, str]]:
    """Return the metrics as text, with the HTTP headers."""
    # The import takes 0.1 s, in which a restarted instance would serve nobody.
    from foxtailwell.adapters.metrics import Sample, process_samples, render_samples

    samples = [
        Sample("counter", row.name, row.name, row.value, dict(row.labels)) for row in metrics.rows()
    ]
    return render_samples([*samples, *process_samples()])
