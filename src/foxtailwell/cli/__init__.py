"""Command line programs of the single-gang model: daemons, callers' and operators' commands."""
