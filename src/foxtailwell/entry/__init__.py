"""The entry daemon: callers' requests, admission, routing, retries and claims."""

from foxtailwell.entry._daemon import EntryPorts, run_entry

__all__ = ["EntryPorts", "run_entry"]
