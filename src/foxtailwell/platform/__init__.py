"""Adapter to the platform of the workflows model: clients, message formats and settings file.

It is the only package that knows the paths, headers and field names of this platform. Messages are
decoded on arrival into the types of `workflows`, `controller` and `instance`.
"""
