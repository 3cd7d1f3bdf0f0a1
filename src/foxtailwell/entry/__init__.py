"""The entry daemon: callers' requests, admission, routing, retries and claims."""

from foxtailwell.entry._daemon import EntryPorts, run_entry
from foxtailwell.entry._operators_api import operator_routes

__all__ = ["EntryPorts", "operator_routes", "run_entry"]
