"""The entry daemon: callers, operators and claims."""
