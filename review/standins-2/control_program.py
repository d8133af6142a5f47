"""Starts the project's control node, or proposes a change as `cloverwell control propose` does.

The command line itself needs a package that the build of the deploy file does not install, so the functions
behind it are called.

    control_program.py serve NODE.toml
    control_program.py propose CHANGE.json PORT
"""

from __future__ import annotations

import sys
import uuid
from pathlib import Path


def serve(path: str) -> int:
    """Serve as the control node that a file describes."""
    from cloverwell.control.server.program import serve as serve_node

    return serve_node(Path(path), sys.exit)


def propose(path: str, port: str) -> int:
    """Propose a change, and return 0 once it is committed."""
    from cloverwell.control.configuration import check_document
    from cloverwell.control.entry import EntryKind
    from cloverwell.control.messages import ANY_INDEX, ProposalOutcome, Propose
    from cloverwell.control.net.operator_client import propose_to_leader

    document = Path(path).read_bytes()
    check_document(document)
    proposal = Propose(uuid.uuid4().hex, EntryKind.CONFIGURATION, document, ANY_INDEX)
    answer = propose_to_leader(("127.0.0.1", int(port)), proposal, 5.0)
    sys.stdout.write(f"{answer}\n")
    return 0 if answer.outcome is ProposalOutcome.COMMITTED else 1


if __name__ == "__main__":
    sys.exit(serve(sys.argv[2]) if sys.argv[1] == "serve" else propose(sys.argv[2], sys.argv[3]))
