"""Benchmarks of the scheduling policies in simulation and of the running daemons."""
