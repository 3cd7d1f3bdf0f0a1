"""Stand-ins for the platform, used by tests and the local demonstration only."""
