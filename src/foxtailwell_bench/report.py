"""Turn benchmark lines into one self-contained page with tables and charts.

Usage: `python -m foxtailwell_bench.report BENCH.jsonl PAGE.html`.
"""

from __future__ import annotations

import base64
import html
import io
import sys
from collections.abc import Callable, Iterable
from functools import partial
from pathlib import Path
from typing import Any

import matplotlib as mpl
import msgspec

mpl.use("Agg")

from matplotlib import pyplot

Row = dict[str, Any]

SCALES = ("workers", "instances", "entries")
"""Fields that say at which size a measure was taken; each that varies gets a chart."""

HIDDEN = frozenset({"measure", "unit"})


def make_page(rows: Iterable[Row]) -> str:
    """Return the page for the lines of a benchmark run."""
    by_measure: dict[str, list[Row]] = {}
    for row in rows:
        by_measure.setdefault(str(row["measure"]), []).append(row)
    sections = "".join(_section(name, found) for name, found in sorted(by_measure.items()))
    style = (
        "body{font-family:sans-serif;max-width:70em;margin:2em auto}"
        "table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:.2em .6em}"
        "td{text-align:right}img{max-width:100%}"
    )
    return (
        "<!doctype html><html lang='en'><meta charset='utf-8'><title>foxtailwell measures</title>"
        f"<style>{style}</style><h1>foxtailwell measures</h1>{sections}</html>"
    )


def _section(measure: str, rows: list[Row]) -> str:
    unit = html.escape(str(rows[0].get("unit", "")))
    title = f"<h2>{html.escape(measure)} ({unit})</h2>"
    return title + _chart(measure, rows) + _table(rows)


def _table(rows: list[Row]) -> str:
    columns = [c for c in dict.fromkeys(k for row in rows for k in row) if c not in HIDDEN]
    columns = [c for c in columns if any(row.get(c) is not None for row in rows)]
    head = "".join(f"<th>{html.escape(c)}</th>" for c in columns)
    body = "".join(
        "<tr>" + "".join(f"<td>{_cell(row.get(c))}</td>" for c in columns) + "</tr>" for row in rows
    )
    return f"<table><tr>{head}</tr>{body}</table>"


def _cell(value: Any) -> str:
    if value is None:
        return ""
    return html.escape(f"{value:.4g}" if isinstance(value, float) else str(value))


def _chart(measure: str, rows: list[Row]) -> str:
    slopes = [(axis, lines) for axis in SCALES if (lines := _lines(rows, axis))]
    if not slopes:
        return _image(measure, rows, lambda axes: _draw_bars(axes, rows))
    return "".join(
        _image(measure, rows, partial(_draw_slopes, lines=lines, axis=axis))
        for axis, lines in slopes
    )


def _lines(rows: list[Row], axis: str) -> dict[str, list[tuple[float, float]]]:
    """Return the lines over one scale; all else is the same along a line."""
    lines: dict[str, list[tuple[float, float]]] = {}
    for row in rows:
        if axis in row:
            others = [f"{row[s]} {s}" for s in SCALES if s != axis and s in row]
            load = ["with tasks" if row["tasks"] else "without tasks"] if "tasks" in row else []
            names = [str(row[k]) for k in ("role", "policy", "deployment") if row.get(k)]
            point = (float(row[axis]), float(row["value"]))
            lines.setdefault(", ".join([*names, *others, *load]), []).append(point)
    return {name: sorted(points) for name, points in lines.items() if len(points) > 1}


def _image(measure: str, rows: list[Row], draw: Callable[[Any], None]) -> str:
    figure, axes = pyplot.subplots(figsize=(7, 3))
    draw(axes)
    axes.set_ylabel(str(rows[0].get("unit", "")))
    axes.set_title(measure)
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", bbox_inches="tight", dpi=90)
    pyplot.close(figure)
    data = base64.b64encode(buffer.getvalue()).decode()
    return f"<img alt='{html.escape(measure)}' src='data:image/png;base64,{data}'>"


def _draw_bars(axes: Any, rows: list[Row]) -> None:
    """Draw each row beside its baseline."""
    labels = [f"{row.get('deployment', '')} {row.get('seed') or ''}".strip() for row in rows]
    places = range(len(rows))
    axes.bar([p - 0.2 for p in places], [row["value"] for row in rows], 0.4, label="measured")
    baselines = [row.get("baseline_value") for row in rows]
    if any(value is not None for value in baselines):
        heights = [value or 0 for value in baselines]
        axes.bar([p + 0.2 for p in places], heights, 0.4, label="baseline")
        axes.legend()
    axes.set_xticks(list(places), labels, rotation=30, ha="right", fontsize=7)


def _draw_slopes(axes: Any, lines: dict[str, list[tuple[float, float]]], axis: str) -> None:
    for name, points in sorted(lines.items()):
        axes.plot([x for x, _ in points], [y for _, y in points], marker="o", label=name)
    axes.set_xlabel(axis)
    axes.set_ylim(bottom=0)
    axes.legend(fontsize=7)


def main() -> None:
    """Read the lines and write the page."""
    source, target = (Path(argument) for argument in sys.argv[1:3])
    lines = source.read_bytes().splitlines()
    rows = [msgspec.json.decode(line, type=dict[str, Any]) for line in lines if line.strip()]
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_text(make_page(rows), encoding="utf-8")


if __name__ == "__main__":
    main()
