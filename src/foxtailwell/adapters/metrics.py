"""Renders metrics in the Prometheus exposition formats with aioprometheus."""

from __future__ import annotations

import os
import resource
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Literal

from aioprometheus import Counter, Gauge, Registry, render
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

__all__ = [
    "QueueLength",
    "Sample",
    "SampleSource",
    "TargetCounts",
    "metrics_route",
    "process_samples",
    "queue_samples",
    "render_samples",
]


@dataclass(frozen=True, slots=True)
class Sample:
    """One value of a metric, with its labels; `text` is the help text of the metric."""

    kind: Literal["counter", "gauge"]
    name: str
    text: str
    value: float
    labels: Mapping[str, str] = field(default_factory=dict)


SampleSource = Callable[[], Iterable[Sample]]


@dataclass(frozen=True, slots=True)
class QueueLength:
    """Number of queued requests of one class and client account."""

    work_class: str
    account: str
    waiting_count: int


class TargetCounts:
    """Counts finished requests and jobs by class and by whether they met the class target."""

    def __init__(self) -> None:
        self._met: dict[str, int] = {}
        self._missed: dict[str, int] = {}

    def record(self, work_class: str, is_met: bool) -> None:
        """Count one request or job that was completed or refused."""
        counts = self._met if is_met else self._missed
        counts[work_class] = counts.get(work_class, 0) + 1

    def totals(self) -> dict[str, tuple[int, int]]:
        """Return the numbers of met and missed targets by class."""
        names = sorted(self._met.keys() | self._missed.keys())
        return {name: (self._met.get(name, 0), self._missed.get(name, 0)) for name in names}

    def samples(self) -> list[Sample]:
        """Return the counts as `foxtailwell_targets_total` samples."""
        text = "Completed work by class and whether the target was met"
        return [
            Sample(
                "counter",
                "foxtailwell_targets_total",
                text,
                count,
                {"class": name, "result": result},
            )
            for name, counts in self.totals().items()
            for result, count in zip(("met", "missed"), counts, strict=True)
        ]


def queue_samples(queue: Iterable[QueueLength]) -> list[Sample]:
    """Convert queue lengths to `foxtailwell_queue_length` samples."""
    return [
        Sample(
            "gauge",
            "foxtailwell_queue_length",
            "Requests that wait, by class and account",
            length.waiting_count,
            {"class": length.work_class, "account": length.account},
        )
        for length in queue
    ]


def process_samples() -> list[Sample]:
    """Return the CPU time and the resident memory of this process."""
    return [
        Sample(
            "counter",
            "foxtailwell_process_cpu_seconds_total",
            "Processor time of the daemon",
            time.process_time(),
        ),
        Sample(
            "gauge",
            "foxtailwell_process_resident_bytes",
            "Resident memory of the daemon",
            _resident_bytes(),
        ),
    ]


def _resident_bytes() -> int:
    try:
        pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    except (OSError, IndexError, ValueError):
        # Without /proc, only the peak value is available.
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    return pages * os.sysconf("SC_PAGE_SIZE")


def render_samples(
    samples: Iterable[Sample], accepts: Sequence[str] = ()
) -> tuple[bytes, dict[str, str]]:
    """Render samples in a format from the Accept headers, and return it with response headers.

    Each call uses a new registry, so that labels of deleted classes and accounts disappear.
    """
    registry = Registry()
    collectors: dict[str, Counter | Gauge] = {}
    for sample in samples:
        collector = collectors.get(sample.name)
        if collector is None:
            kind = Counter if sample.kind == "counter" else Gauge
            collector = kind(sample.name, sample.text, registry=registry)
            collectors[sample.name] = collector
        collector.set(dict(sample.labels), sample.value)
    content, headers = render(registry, list(accepts))
    return content, headers


def metrics_route(*sources: SampleSource) -> Route:
    """Create the route `GET /metrics`, which reads all sources on each request."""

    async def metrics(request: Request) -> Response:
        samples = [sample for source in sources for sample in source()]
        content, headers = render_samples(samples, request.headers.getlist("accept"))
        return Response(content, headers=headers)

    return Route("/metrics", metrics, methods=["GET"])
