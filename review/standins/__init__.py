"""Stand-ins of the platform and its minions for the scripts of this folder.

They use the standard library only and listen on loopback addresses.
"""
