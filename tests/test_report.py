"""Page of the benchmark lines."""

from __future__ import annotations

from foxtailwell_bench.report import make_page


def _row(**fields):
    return {"measure": "m", "value": 1.5, "unit": "ms", "baseline_value": 3.0, **fields}


def test_page_shows_every_value_and_loads_nothing():
    """Guards against a page that drops rows, or that cannot be read without a network."""
    page = make_page([_row(deployment="a", value=1.25), _row(deployment="b", value=7.5)])
    assert "<td>1.25</td>" in page
    assert "<td>7.5</td>" in page
    assert "http" not in page.replace("data:image/png", "")


def test_text_of_a_line_cannot_become_markup():
    """Guards against names in benchmark lines that change the page."""
    assert "<b>" not in make_page([_row(deployment="<b>x</b>")])


def test_sizes_are_drawn_as_slopes():
    """Guards against a page that fails on lines with a fleet size."""
    page = make_page([_row(role="entry", workers=n, value=float(n)) for n in (24, 96)])
    assert page.count("<img") == 1


def test_two_scales_are_not_drawn_as_one_line():
    """Guards against a slope over workers that holds points of other numbers of instances."""
    rows = [_row(role="entry", workers=n, instances=1, value=1.0) for n in (24, 96)]
    rows += [_row(role="entry", workers=24, instances=n, value=9.0) for n in (3, 7)]
    assert make_page(rows).count("<img") == 2
