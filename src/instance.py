"""Entry point of an instance on the platform.

The script is directly under `src/` because its folder becomes the first entry of `sys.path`. Inside
the package, `platform/` would shadow the standard library module `platform`.
"""

import signal

# The imports take 0.25 s. Until the daemon installs its handler, SIGHUP would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from foxtailwell.platform.assembly import main  # noqa: E402

if __name__ == "__main__":
    main()
