"""The scheduler daemon: placement and the lifecycle of gangs."""
