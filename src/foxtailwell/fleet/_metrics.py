"""Metric samples of the fleet view and of the store client."""

from __future__ import annotations

import time
from collections.abc import Callable

from foxtailwell.adapters.metrics import Sample
from foxtailwell.adapters.store import StoreClient
from foxtailwell.fleet._view import FleetView


def make_fleet_samples(view: FleetView, store: StoreClient) -> Callable[[], list[Sample]]:
    """Return a function that reads the current samples, for the daemon's metrics endpoint."""

    def samples() -> list[Sample]:
        result = [
            _gauge("configuration_revision", "Revision in force", view.configuration.revision),
            _gauge("store_available", "Whether the store responds", int(view.is_store_available)),
            _gauge("peers", "Own daemons that reply", len(view.peers)),
            _gauge("zones_out", "Zones out of service", len(view.configuration.zones_out)),
            _counter("store_calls_total", "Calls of the store", store.calls),
            _counter("frames_refused_total", "Refused messages of peers", view.frames_refused),
        ]
        if view.evidence is not None:
            age_s = time.monotonic() - view.evidence.at_monotonic_s
            result.append(_gauge("evidence_age_seconds", "Age of the freshness evidence", age_s))
        for destination, sent_bytes in (
            ("store", store.bytes_sent),
            ("peers", view.peer_bytes_sent),
            ("instance_list", view.instance_list_bytes_sent),
        ):
            result.append(
                _counter("sent_bytes_total", "Control bytes sent", sent_bytes, destination)
            )
        return result

    return samples


def _gauge(name: str, help_text: str, value: float) -> Sample:
    return Sample("gauge", f"foxtailwell_{name}", help_text, value)


def _counter(name: str, help_text: str, value: float, destination: str = "") -> Sample:
    labels = {"to": destination} if destination else {}
    return Sample("counter", f"foxtailwell_{name}", help_text, value, labels)
