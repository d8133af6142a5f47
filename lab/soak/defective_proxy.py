"""A proxy with a defect put in: `python -m lab.soak.defective_proxy NAME`, in place of `cloverwell`."""

from __future__ import annotations

import sys

from cloverwell.program import main
from lab.soak.defects import DEFECTS

if __name__ == "__main__":
    DEFECTS[sys.argv[1]]()
    sys.exit(main())
