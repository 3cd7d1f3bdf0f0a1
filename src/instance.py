"""Starts an instance of foxtailwell on the platform.

The script lies directly under `src/`, so that this folder is the first entry of the path; inside
the package, `platform/` would hide the module of the standard library.
"""

from foxtailwell.platform.assembly import main

if __name__ == "__main__":
    main()
