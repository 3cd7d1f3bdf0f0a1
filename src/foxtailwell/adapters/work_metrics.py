"""Collects counters, gauges and latency histograms of an instance and renders them on request."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Literal

__all__ = ["MetricRow", "WorkMetrics", "render_rows"]

BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)
"""Upper bounds of the histogram buckets, from a single store call to the longest jobs."""

Labels = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class MetricRow:
    """One value of a metric, with its labels."""

    kind: Literal["counter", "gauge"]
    name: str
    labels: Labels
    value: float


@dataclass(slots=True)
class _Histogram:
    sum_s: float = 0.0
    buckets: list[int] = field(default_factory=lambda: [0] * (len(BUCKETS_S) + 1))


class WorkMetrics:
    """Counters and histograms since the start of the process, and gauges read on demand."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, Labels], int] = {}
        self._histograms: dict[tuple[str, Labels], _Histogram] = {}
        self._gauges: dict[str, Callable[[], float]] = {}

    def count(self, name: str, **labels: str) -> None:
        """Increment the counter `foxtailwell_{name}_total` for the given labels."""
        key = (name, _labels(labels))
        self._counts[key] = self._counts.get(key, 0) + 1

    def observe_s(self, name: str, seconds: float, **labels: str) -> None:
        """Record one latency in the histogram `foxtailwell_{name}_seconds`."""
        histogram = self._histograms.setdefault((name, _labels(labels)), _Histogram())
        histogram.buckets[bisect_left(BUCKETS_S, seconds)] += 1
        histogram.sum_s += seconds

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge, whose value `read` returns each time the metrics are rendered."""
        self._gauges[name] = read

    def rows(self) -> Iterator[MetricRow]:
        """Yield counters and gauges, and each histogram as cumulative buckets, sum and count."""
        for (name, labels), count in sorted(self._counts.items()):
            yield MetricRow("counter", f"foxtailwell_{name}_total", labels, count)
        for name, read in sorted(self._gauges.items()):
            yield MetricRow("gauge", f"foxtailwell_{name}", (), read())
        for (name, labels), histogram in sorted(self._histograms.items(), key=lambda h: h[0]):
            prefix = f"foxtailwell_{name}_seconds"
            total = 0
            for bound, count in zip((*map(str, BUCKETS_S), "+Inf"), histogram.buckets, strict=True):
                total += count
                yield MetricRow("counter", f"{prefix}_bucket", (*labels, ("le", bound)), total)
            yield MetricRow("counter", f"{prefix}_sum", labels, histogram.sum_s)
            yield MetricRow("counter", f"{prefix}_count", labels, total)


def _labels(labels: dict[str, str]) -> Labels:
    return tuple(sorted(labels.items()))


def render_rows(metrics: WorkMetrics) -> tuple[bytes, dict[str, str]]:
    """Render the metrics and those of the process; return the body and the response headers."""
    # Imported late: the import takes 0.1 s, which would delay the start of an instance.
    from foxtailwell.adapters.metrics import Sample, process_samples, render_samples

    samples = [
        Sample(row.kind, row.name, row.name, row.value, dict(row.labels)) for row in metrics.rows()
    ]
    return render_samples([*samples, *process_samples()])
