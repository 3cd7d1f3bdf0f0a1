"""Scheduler for multi-accelerator jobs and requests under client account guarantees."""

__version__ = "0.1.0"
__all__ = ["__version__"]
