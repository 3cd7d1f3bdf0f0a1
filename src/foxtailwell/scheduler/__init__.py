"""The scheduler daemon: places, starts, watches over and stops gangs."""

from foxtailwell.scheduler._daemon import run_scheduler

__all__ = ["run_scheduler"]
