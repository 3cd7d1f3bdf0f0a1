"""Benchmarks of the scheduling policy and of the running daemons."""
