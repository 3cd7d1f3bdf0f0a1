"""The event catalogue, its documentation and its use."""

from __future__ import annotations

import re
from pathlib import Path

from foxtailwell.adapters import events

ROOT = Path(__file__).parent.parent
ROW = re.compile(r"^\| (FW\d{4}) \| (\w+) \| (.+?) \| (.+?) \|$", re.MULTILINE)


def test_catalogue_matches_documentation():
    """Guards against alerts on renamed events and against undocumented events."""
    rows = ROW.findall((ROOT / "docs/events.md").read_text())
    listed = [(number, level, text) for number, level, text, _ in rows]
    program = [(e.number, e.level, e.text) for e in events.CATALOGUE.values()]
    assert sorted(listed) == sorted(program)
    assert len({number for number, *_ in listed}) == len(listed)
    assert all(remedy.strip() for *_, remedy in rows)


def test_every_event_is_logged():
    """Guards against catalogue entries that no code logs."""
    sources = [
        path.read_text()
        for path in (ROOT / "src/foxtailwell").rglob("*.py")
        if path.name != "events.py"
    ]
    names = [name for name, value in vars(events).items() if isinstance(value, events.Event)]
    unused = [n for n in names if not any(re.search(rf"\b{n}\b", source) for source in sources)]
    assert not unused
