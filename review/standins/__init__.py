"""Stand-ins of the platform, its minions and machines, for the scripts of this folder.

They use the standard library only and listen on loopback addresses.
"""
