"""Numbered events and their catalogue."""

from __future__ import annotations

import re
from pathlib import Path

from foxtailwell.adapters import events

ROOT = Path(__file__).parent.parent
ROW = re.compile(r"^\| (FW\d{4}) \| (\w+) \| (.+?) \| (.+?) \|$", re.MULTILINE)


def test_catalogue_and_program_name_the_same_events():
    """Guards against an alert on an event that was renamed, and events no one can look up."""
    rows = ROW.findall((ROOT / "docs/events.md").read_text())
    listed = [(number, level, text) for number, level, text, _ in rows]
    program = [(e.number, e.level, e.text) for e in events.CATALOGUE.values()]
    assert sorted(listed) == sorted(program)
    assert len({number for number, *_ in listed}) == len(listed)
    assert all(remedy.strip() for *_, remedy in rows)


def test_every_event_is_written_somewhere():
    """Guards against a catalogue of events that the program never writes."""
    sources = [
        path.read_text()
        for path in (ROOT / "src/foxtailwell").rglob("*.py")
        if path.name != "events.py"
    ]
    names = [name for name, value in vars(events).items() if isinstance(value, events.Event)]
    unused = [n for n in names if not any(re.search(rf"\b{n}\b", source) for source in sources)]
    assert not unused
