"""Check every specification and its mutants: `python -m foxtailwell_model`."""

import sys

from foxtailwell_model._run import main

if __name__ == "__main__":
    sys.exit(main())
