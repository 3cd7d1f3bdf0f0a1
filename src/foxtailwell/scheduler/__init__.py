"""The scheduler daemon: places, starts, monitors and stops gangs.

This package belongs to the model of `core`, `fleet` and `entry`, in which a job is a single gang.
Several schedulers run at the same time, and a lease per zone decides which one commands the workers
of the zone.
"""

from foxtailwell.scheduler._daemon import run_scheduler

__all__ = ["run_scheduler"]
