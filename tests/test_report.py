"""Tests of the HTML page that is rendered from benchmark rows."""

from __future__ import annotations

from foxtailwell_bench.report import make_page


def _row(**fields):
    return {"measure": "m", "value": 1.5, "unit": "ms", "baseline_value": 3.0, **fields}


def test_page_shows_every_value_and_is_self_contained():
    """Guards against a page that omits rows, or that needs a network to be displayed."""
    page = make_page([_row(deployment="a", value=1.25), _row(deployment="b", value=7.5)])
    assert "<td>1.25</td>" in page
    assert "<td>7.5</td>" in page
    assert "http" not in page.replace("data:image/png", "")


def test_text_of_a_row_is_escaped():
    """Guards against markup in a benchmark row that changes the page."""
    assert "<b>" not in make_page([_row(deployment="<b>x</b>")])


def test_fleet_sizes_are_drawn_as_one_line_chart():
    """Guards against a page that cannot be rendered from rows with a fleet size."""
    page = make_page([_row(role="entry", workers=n, value=float(n)) for n in (24, 96)])
    assert page.count("<img") == 1


def test_two_size_fields_are_drawn_as_two_charts():
    """Guards against a line over workers that mixes points of different instance counts."""
    rows = [_row(role="entry", workers=n, instances=1, value=1.0) for n in (24, 96)]
    rows += [_row(role="entry", workers=24, instances=n, value=9.0) for n in (3, 7)]
    assert make_page(rows).count("<img") == 2
