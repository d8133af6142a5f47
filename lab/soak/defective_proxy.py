"""A proxy with a defect put in: `python -m lab.soak.defective_proxy NAME`, in place of `cloverwell`."""

from __future__ import annotations

import sys

from cloverwell.unused_modules import exclude_unused_modules
from lab.soak.defects import DEFECTS

if __name__ == "__main__":
    exclude_unused_modules()
    # Imported only now, as `cloverwell.__main__` does.
    from cloverwell.program import main

    DEFECTS[sys.argv[1]]()
    sys.exit(main())
