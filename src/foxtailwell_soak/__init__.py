"""Randomized soak test: instances run as processes while faults are injected from outside.

It tests the deployments of `foxtailwell.workflows`. A seed determines the faults and client calls.
"""

from foxtailwell_soak._run import SoakResult, run_soak

__all__ = ["SoakResult", "run_soak"]
