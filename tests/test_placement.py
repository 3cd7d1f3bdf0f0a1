"""Tests of best-fit placement and of the fragmentation measure."""

from __future__ import annotations

from foxtailwell.core import (
    Capacity,
    GangSpec,
    InstanceRecord,
    Member,
    fragmentation,
    place_best_fit,
)


def _workers(zones=("a",), racks=1, per_rack=2, accelerators=8):
    return [
        InstanceRecord(
            f"{zone}{rack}{i}", "worker", zone, "", rack=f"r{rack}", accelerators=accelerators
        )
        for zone in zones
        for rack in range(racks)
        for i in range(per_rack)
    ]


def test_small_gang_takes_the_shortest_run_that_fits():
    """Guards against splitting a free worker while a partly used one has a run of that length."""
    capacity = Capacity(_workers(per_rack=3))
    capacity.take([Member("a01", (0, 1, 2, 3, 6, 7))], GangSpec(1, 6))
    assert place_best_fit(capacity, GangSpec(1, 2)) == ("a", (Member("a01", (4, 5)),))


def test_gang_stays_in_one_rack_and_one_zone():
    """Guards against a gang that spans racks although one rack fits it, or that spans zones."""
    capacity = Capacity(_workers(zones=("a", "b"), racks=2))
    capacity.take([Member("a00", (0,))], GangSpec(1, 1))
    zone, members = place_best_fit(capacity, GangSpec(2, 8))
    assert {m.worker[:2] for m in members} == {f"{zone}{members[0].worker[1]}"}
    assert place_best_fit(capacity, GangSpec(5, 8)) is None


def test_adjacent_accelerators_come_first():
    """Guards against scattered indexes on the fullest worker while a run is free elsewhere."""
    capacity = Capacity(_workers())
    capacity.take([Member("a00", (1, 3, 5, 7))], GangSpec(1, 4))
    _, members = place_best_fit(capacity, GangSpec(1, 4))
    assert members == (Member("a01", (0, 1, 2, 3)),)


def test_fragmentation_counts_adjacent_accelerators_by_zone():
    """Guards against a measure that ignores adjacency or grows with the number of zones."""
    capacity = Capacity(_workers(zones=("a", "b")))
    assert fragmentation(capacity) == 0.0
    capacity.take([Member("a00", (3,)), Member("a01", (3,))], GangSpec(2, 1))
    assert fragmentation(capacity) == 1 - (16 + 4) / 30
