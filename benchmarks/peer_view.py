"""How soon a tier knows a death, and what its datagrams cost: views in virtual time, over tiers and losses.

    .venv-dev/bin/python benchmarks/peer_view.py [SEEDS]

One proxy of the tier dies, after three seconds in which they have met; ten seconds are played.
"""

import sys

from lab.datagrams import Datagrams

TIERS, LOSSES = (2, 3, 4, 8, 16), (0.0, 0.05, 0.1)


def at(values: list[float], part: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 50
    print(f"{seeds} seeds each; s until a survivor holds the death; false deaths; bytes a second and proxy")
    print("proxies  loss    p50    p99    all by  false  datagrams/s  bytes/s  mean bytes")
    for total in TIERS:
        for loss in LOSSES:
            first, last, false, sent, size = [], [], 0, 0, 0
            for seed in range(seeds):
                net = Datagrams(total, seed, loss)
                net.run(3.0)
                net.crash(0)
                net.run(7.0)
                known = [when - 3.0 for when, _, whom in net.deaths() if whom == 0]
                false += sum(whom != 0 for _, _, whom in net.deaths())
                first += known
                last.append(max(known) if len(known) == total - 1 else float("inf"))
                sent += sum(net.sent.values())
                size += sum(net.bytes.values())
            lived = seeds * (10.0 * total - 7.0)
            print(
                f"{total:7d}  {loss:4.2f}  {at(first, 0.5):5.2f}  {at(first, 0.99):5.2f}  {max(last):7.2f}"
                f"  {false:5d}  {sent / lived:11.1f}  {size / lived:7.0f}  {size / sent:10.1f}"
            )


if __name__ == "__main__":
    main()
