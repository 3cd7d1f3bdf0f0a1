"""Randomized soak: real instances as processes, with faults injected from outside."""

from foxtailwell_soak._run import SoakResult, run_soak

__all__ = ["SoakResult", "run_soak"]
