"""The entry daemon, which accepts requests and jobs from callers and changes from operators.

It admits requests, routes them to minions, retries failed attempts and claims the idempotency keys
of requests that must not run twice. Jobs are written to the store for the scheduler.

Part of the deployment that also runs `core`, `fleet` and `scheduler`.
"""

from foxtailwell.entry._daemon import EntryPorts, run_entry
from foxtailwell.entry._operators_api import operator_routes

__all__ = ["EntryPorts", "operator_routes", "run_entry"]
