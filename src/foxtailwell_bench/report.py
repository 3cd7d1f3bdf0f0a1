"""Render the JSON lines of a benchmark run as a self-contained HTML page with tables and charts.

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

SIZE_FIELDS = ("workers", "instances", "entries")
"""Fields that give the size of the measured system; a measure has a chart for each that varies."""

HEADING_FIELDS = frozenset({"measure", "unit"})


def make_page(rows: Iterable[Row]) -> str:
    """Return the HTML page for the rows of a benchmark run, with a section for each measure."""
    by_measure: dict[str, list[Row]] = {}
    for row in rows:
        by_measure.setdefault(str(row["measure"]), []).append(row)
    sections = "".join(
        _render_section(name, measure_rows) for name, measure_rows in sorted(by_measure.items())
    )
    style = (
        "body{font-family:sans-serif;max-width:70em;margin:2em auto}"
        "table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:.2em .6em}"
        "td{text-align:right}img{max-width:100%}"
    )
    return (
        "<!doctype html><html lang='en'><meta charset='utf-8'><title>foxtailwell measures</title>"
        f"<style>{style}</style><h1>foxtailwell measures</h1>{sections}</html>"
    )


def _render_section(measure: str, rows: list[Row]) -> str:
    unit = html.escape(str(rows[0].get("unit", "")))
    title = f"<h2>{html.escape(measure)} ({unit})</h2>"
    return title + _render_charts(measure, rows) + _render_table(rows)


def _render_table(rows: list[Row]) -> str:
    columns = [c for c in dict.fromkeys(k for row in rows for k in row) if c not in HEADING_FIELDS]
    columns = [c for c in columns if any(row.get(c) is not None for row in rows)]
    header = "".join(f"<th>{html.escape(c)}</th>" for c in columns)
    body = "".join(
        "<tr>" + "".join(f"<td>{_format_cell(row.get(c))}</td>" for c in columns) + "</tr>"
        for row in rows
    )
    return f"<table><tr>{header}</tr>{body}</table>"


def _format_cell(value: Any) -> str:
    if value is None:
        return ""
    return html.escape(f"{value:.4g}" if isinstance(value, float) else str(value))


def _render_charts(measure: str, rows: list[Row]) -> str:
    line_charts = [(axis, lines) for axis in SIZE_FIELDS if (lines := _group_lines(rows, axis))]
    if not line_charts:
        return _render_image(measure, rows, lambda axes: _draw_bars(axes, rows))
    return "".join(
        _render_image(measure, rows, partial(_draw_lines, lines=lines, axis=axis))
        for axis, lines in line_charts
    )


def _group_lines(rows: list[Row], axis: str) -> dict[str, list[tuple[float, float]]]:
    """Return the points of each line over a size field.

    The rows of a line have the same role, policy, deployment and other sizes.
    """
    lines: dict[str, list[tuple[float, float]]] = {}
    for row in rows:
        if axis in row:
            other_sizes = [f"{row[s]} {s}" for s in SIZE_FIELDS if s != axis and s in row]
            load_label = (
                ["with tasks" if row["tasks"] else "without tasks"] if "tasks" in row else []
            )
            name_parts = [str(row[k]) for k in ("role", "policy", "deployment") if row.get(k)]
            point = (float(row[axis]), float(row["value"]))
            lines.setdefault(", ".join([*name_parts, *other_sizes, *load_label]), []).append(point)
    return {name: sorted(points) for name, points in lines.items() if len(points) > 1}


def _render_image(measure: str, rows: list[Row], draw: Callable[[Any], None]) -> str:
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
    """Draw a bar for each row, with its baseline beside it if there is one."""
    labels = [f"{row.get('deployment', '')} {row.get('seed') or ''}".strip() for row in rows]
    positions = range(len(rows))
    axes.bar([p - 0.2 for p in positions], [row["value"] for row in rows], 0.4, label="measured")
    baselines = [row.get("baseline_value") for row in rows]
    if any(value is not None for value in baselines):
        heights = [value or 0 for value in baselines]
        axes.bar([p + 0.2 for p in positions], heights, 0.4, label="baseline")
        axes.legend()
    axes.set_xticks(list(positions), labels, rotation=30, ha="right", fontsize=7)


def _draw_lines(axes: Any, lines: dict[str, list[tuple[float, float]]], axis: str) -> None:
    for name, points in sorted(lines.items()):
        axes.plot([x for x, _ in points], [y for _, y in points], marker="o", label=name)
    axes.set_xlabel(axis)
    axes.set_ylim(bottom=0)
    axes.legend(fontsize=7)


def main() -> None:
    """Read the benchmark file and write the page, with the paths of the command line."""
    input_path, output_path = (Path(argument) for argument in sys.argv[1:3])
    lines = input_path.read_bytes().splitlines()
    rows = [msgspec.json.decode(line, type=dict[str, Any]) for line in lines if line.strip()]
    output_path.parent.mkdir(parents=True, exist_ok=True)
    output_path.write_text(make_page(rows), encoding="utf-8")


if __name__ == "__main__":
    main()
