"""Starts an instance of foxtailwell on the platform.

The script lies directly under `src/`, so that this folder is the first entry of the path; inside
the package, `platform/` would hide the module of the standard library.
"""

import signal

# SIGHUP would end the process until the daemon handles it, and the imports take 0.25 s.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from foxtailwell.platform.assembly import main  # noqa: E402

if __name__ == "__main__":
    main()
