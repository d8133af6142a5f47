"""The model check of the control log with larger budgets than CI's.

.venv-dev/bin/python benchmarks/control_model.py [MOST_SECONDS_EACH [MOST_STATES_EACH]]

Prints the states, depth and time of each exploration. `whole` says that every state within the budget was
seen; else the bound in seconds or states was met first. A violation of an invariant ends the program with
exit code 1, after the actions that lead to it.
"""

import sys

from lab.control_explorer import explore
from lab.control_model import Model
from lab.control_starts import elected, led, long_log, served, two_logs
from lab.control_states import Budget

CASES = [
    (elected, 0, Budget(timeouts=1)),
    (elected, 0, Budget(elections=1, crashes=1)),
    (elected, 0, Budget(elections=1, heartbeats=1)),
    (elected, 0, Budget(elections=2)),
    (two_logs, 0, Budget(elections=1, heartbeats=1)),
    (two_logs, 0, Budget(elections=1, crashes=1)),
    (led, 0, Budget(proposals=2, losses=1, heartbeats=1, repeats=1)),
    (led, 0, Budget(elections=1, proposals=1, losses=1, crashes=1)),
    (served, 2, Budget(elections=1, proposals=1)),
    (served, 2, Budget(elections=1, proposals=1, crashes=1)),
    (served, 2, Budget(proposals=2, restarts=1)),
    (long_log, 2, Budget(proposals=1, restarts=1, breaks=1)),
    (long_log, 2, Budget(proposals=1, restarts=1, crashes=1)),
]


def main() -> None:
    """Explores all cases and prints a line for each."""
    most_seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 120.0
    most_states = int(sys.argv[2]) if len(sys.argv) > 2 else 2_000_000
    print("start      proxies    states     steps  depth  whole  seconds  budget")
    for start, proxies, budget in CASES:
        model = Model(proxies=proxies)
        result = explore(model, start(model), budget, most_states, most_seconds)
        words = " ".join(f"{count} {name}" for name, count in budget._asdict().items() if count)
        print(
            f"{start.__name__:10s} {proxies:7d} {result.states:9d} {result.steps:9d}  {result.depth:5d}"
            f"  {'yes' if result.whole else 'no':>5s}  {result.seconds:7.1f}  {words}",
            flush=True,
        )
        if result.broken:
            print("\n".join([result.broken, *result.actions]))
            sys.exit(1)


if __name__ == "__main__":
    main()
