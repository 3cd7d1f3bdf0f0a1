"""Adapters to outside systems and libraries, one module each."""
