"""The tables of the documentation that name parts of the code and its tests."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from foxtailwell.workflows import Obstacle

ROOT = Path(__file__).parents[1]
HOLDS = (ROOT / "docs/design.md").read_text().partition("## 13. Marks and holds")[2]


def test_every_test_that_the_table_of_holds_names_exists():
    """Guards against a limit in time whose test was renamed or removed."""
    sources = "".join(path.read_text() for path in Path(__file__).parent.glob("test_*.py"))
    defined = set(re.findall(r"def (test_\w+)", sources))
    named = set(re.findall(r"`(test_\w+)`", HOLDS))
    assert len(named) > 50
    assert named <= defined, sorted(named - defined)


@pytest.mark.parametrize("obstacle", Obstacle)
def test_table_of_holds_has_every_obstacle(obstacle):
    """Guards against an obstacle that is added without a limit in time, or a reason for none."""
    marks = [line.split("|")[2] for line in HOLDS.splitlines() if line.startswith("| C ")]
    assert any(obstacle.value in mark for mark in marks)
