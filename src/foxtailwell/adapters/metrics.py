"""Metrics in the Prometheus text format by aioprometheus."""

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
    "Samples",
    "TargetCounts",
    "metrics_route",
    "process_samples",
    "queue_samples",
    "render_samples",
]


@dataclass(frozen=True, slots=True)
class Sample:
    """One value of one metric."""

    kind: Literal["counter", "gauge"]
    name: str
    text: str
    value: float
    labels: Mapping[str, str] = field(default_factory=dict)


Samples = Callable[[], Iterable[Sample]]


@dataclass(frozen=True, slots=True)
class QueueLength:
    """Requests of one class and account that wait."""

    work_class: str
    account: str
    waiting_count: int


class TargetCounts:
    """Completed work by class, and how much of it met the target of its class."""

    def __init__(self) -> None:
        self._met: dict[str, int] = {}
        self._missed: dict[str, int] = {}

    def record(self, work_class: str, is_met: bool) -> None:
        """Count one request or job that completed or was refused."""
        counts = self._met if is_met else self._missed
        counts[work_class] = counts.get(work_class, 0) + 1

    def totals(self) -> dict[str, tuple[int, int]]:
        """Return the numbers met and missed by class."""
        names = sorted(self._met.keys() | self._missed.keys())
        return {name: (self._met.get(name, 0), self._missed.get(name, 0)) for name in names}

    def samples(self) -> list[Sample]:
        """Return the totals as samples."""
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
    """Return the queue by class and account as samples."""
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
    """Return the processor time and the memory of this process."""
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
        # Without /proc only the highest value so far is known.
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    return pages * os.sysconf("SC_PAGE_SIZE")


def render_samples(
    samples: Iterable[Sample], accepts: Sequence[str] = ()
) -> tuple[bytes, dict[str, str]]:
    """Return samples in a format that the reader accepts, with the HTTP headers.

    The registry lives for one call, so labels of deleted classes and accounts disappear.
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


def metrics_route(*sources: Samples) -> Route:
    """Return the route `GET /metrics` with the samples of all sources."""

    async def metrics(request: Request) -> Response:
        samples = [sample for source in sources for sample in source()]
        content, headers = render_samples(samples, request.headers.getlist("accept"))
        return Response(content, headers=headers)

    return Route("/metrics", metrics, methods=["GET"])
