"""Adapters: one module per outside system or library."""
