"""The bytes of datagrams between proxies stay the same, since proxies of two releases may share one tier.

The bytes in `data/gossip_datagrams.json` were written by release 777463e.
"""

import json
from pathlib import Path

import pytest

from cloverwell.gossip.wire import Datagram, DatagramKind, MembershipUpdate, MemberStatus, decode, encode

GOLDEN = json.loads((Path(__file__).parent / "data" / "gossip_datagrams.json").read_text())
KINDS = {"ping": DatagramKind.PING, "ack": DatagramKind.ACK, "ping-req": DatagramKind.PING_REQ}
STATUSES = {"alive": MemberStatus.ALIVE, "suspect": MemberStatus.SUSPECT, "dead": MemberStatus.DEAD}


def expected_datagram(row):
    updates = tuple(
        MembershipUpdate(update["proxy"], update["incarnation"], STATUSES[update["state"]])
        for update in row["updates"]
    )
    kind = KINDS[row["kind"]]
    return Datagram(kind, row["sender"], row["incarnation"], row["sequence"], row["subject"], updates)


def test_each_kind_of_datagram_is_recorded():
    assert {row["kind"] for row in GOLDEN} == set(KINDS)
    assert {KINDS[row["kind"]] for row in GOLDEN} == set(DatagramKind)


def test_the_largest_datagram_that_may_be_sent_is_recorded():
    assert max(len(bytes.fromhex(row["hex"])) for row in GOLDEN) == 249
    assert max(len(row["updates"]) for row in GOLDEN) == 26


@pytest.mark.parametrize("row", GOLDEN, ids=lambda row: row["name"])
def test_a_recorded_datagram_is_decoded_to_the_same_value(row):
    assert decode(bytes.fromhex(row["hex"])) == expected_datagram(row)


@pytest.mark.parametrize("row", GOLDEN, ids=lambda row: row["name"])
def test_a_value_is_encoded_to_the_recorded_datagram(row):
    assert encode(expected_datagram(row)).hex() == row["hex"]
