"""Entry point of `python -m foxtailwell_model`: checks every specification and its mutants."""

import sys

from foxtailwell_model._run import main

if __name__ == "__main__":
    sys.exit(main())
