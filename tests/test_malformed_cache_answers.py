"""A cache node's answer that is malformed or contradicts itself is a failed attempt, and is never served."""

import pytest
from rig import read
from scenario import Player

from cloverwell.codec.errors import MalformedReason
from lab.proxy_testbed import SETTINGS

WITHOUT_ORIGIN = SETTINGS | {"specifics": {}}  # Writes go to the cache nodes.

MALFORMED_READS = {
    "another id behind ours": ("VA 2 O1 Oother|v1", "FOREIGN_ID"),
    "another id in front of ours": ("VA 2 Oother O1|v1", "FOREIGN_ID"),
    "a miss with two ids": ("EN O1 Oother", "FOREIGN_ID"),
    "a signed length": ("VA +2 O1|v1", "UNKNOWN_LINE"),
    "a length in hexadecimal digits": ("VA 0x2 O1|v1", "UNKNOWN_LINE"),
    "a length with an underscore": ("VA 0_2 O1|v1", "UNKNOWN_LINE"),
    "a negative length": ("VA -2 O1|v1", "UNKNOWN_LINE"),
    "a length of 3 GB": ("VA 3221225472 O1|v1", "UNKNOWN_LINE"),
    "a length that is too short": ("VA 1 O1|v1", "VALUE_END"),
    "a length that is too long": ("VA 3 O1|v1|", "VALUE_END"),
    "no length": ("VA O1|v1", "UNKNOWN_LINE"),
}
RIGHT_READS = {
    "an id alone": "VA 2 O1|v1",
    "zeros in front of the length": "VA 002 O1|v1",
    "a flag in front of the id": "VA 2 h1 O1|v1",
    "a load report": "VA 2 O1 h1 Linflight=7,queue=2,util=0.61|v1",
    "a load report that can't be read": "VA 2 O1 h0 Z L?? Oother c|v1",
}
MALFORMED_WRITES = {
    "no receipt": ("HD O1", "NO_RECEIPT"),
    "an empty receipt": ("HD O1 c", "NO_RECEIPT"),
    "two receipts": ("HD O1 cr1 cr2", "NO_RECEIPT"),
    "a receipt that is no text": ("HD O1 cr\x01", "NO_RECEIPT"),
    "a receipt that is too long": ("HD O1 c" + "r" * 251, "NO_RECEIPT"),
    "two ids": ("HD O1 Oother cr1", "FOREIGN_ID"),
}
RIGHT_WRITES = {
    "a receipt": "HD O1 cr1",
    "a receipt in front of the id": "HD cr1 O1",
    "a load report": "HD O1 cr1 Linflight=7",
    "a load report that can't be read": "HD O1 cr1 L?? Oother cr2",
}


def named(player, reason):
    return f"malformed answer from s1: {MalformedReason[reason].value}" in player.log.getvalue()


@pytest.mark.parametrize(("answer", "reason"), MALFORMED_READS.values(), ids=MALFORMED_READS)
def test_a_malformed_answer_to_a_read_is_not_served(answer, reason):
    # Guards against an answer of which the proxy reads one part, and passes over another that contradicts it.
    player = Player()
    player.play(f"client send mg k1 v O1 Pc=page,t=acme,d=900\ns1 expect mg k1 *\ns1 send {answer}")
    player.play("client expect nothing\ns1 expect end\nwait 25\ns1#2 expect mg k1 *\ns1#2 send VA 2 O1|v1")
    player.play("client expect VA 2 O1|v1")
    assert named(player, reason)


@pytest.mark.parametrize("answer", RIGHT_READS.values(), ids=RIGHT_READS)
def test_a_right_answer_to_a_read_is_served_in_all_its_forms(answer):
    player = Player()
    player.play(f"client send mg k1 v O1 Pc=page,t=acme,d=900\ns1 expect mg k1 *\ns1 send {answer}")
    player.play("client expect VA 2 O1|v1")


@pytest.mark.parametrize(("answer", "reason"), MALFORMED_WRITES.values(), ids=MALFORMED_WRITES)
def test_a_malformed_answer_to_a_write_is_not_served_and_the_write_not_sent_again(answer, reason):
    # Guards against a receipt that is served though the line contradicts itself.
    player = Player(settings=WITHOUT_ORIGIN)
    player.play(f"client send ms k1 1 O1 Pc=order,t=acme,d=900|a\ns1 expect ms k1 *\ns1 send {answer}")
    player.play("client expect SERVER_ERROR failed\ns1 expect end\nwait 100")
    assert [port for _, port, *_ in player.reactor.tcpClients].count(player.ports["s1"]) == 1
    assert named(player, reason)


@pytest.mark.parametrize("answer", RIGHT_WRITES.values(), ids=RIGHT_WRITES)
def test_a_right_answer_to_a_write_is_served_in_all_its_forms(answer):
    player = Player(settings=WITHOUT_ORIGIN)
    player.play(f"client send ms k1 1 O1 Pc=order,t=acme,d=900|a\ns1 expect ms k1 *\ns1 send {answer}")
    player.play("client expect HD O1 cr1")


@pytest.mark.parametrize("end", [b"??", b"\r?", b"?\n"])
@pytest.mark.parametrize("sent_at_once", [0, 30_000, 60_000, 60_001, 60_002])
def test_a_discarded_value_without_its_line_end_ends_the_connection(rig, sent_at_once, end):
    # Guards against a value without memory behind which the next answer is read from the wrong place.
    place = rig()
    place.service.memory.set_total(70_000)
    client = place.client(read(1))
    node = place.nodes[0].accept()
    place.receive_until(node, b"O1 ")
    answer = b"VA 60000 O1\r\n" + b"x" * 60_000 + end
    head_bytes = len(answer) - 60_002
    node.sendall(answer[: head_bytes + sent_at_once])
    place.run_iterations(10)
    node.sendall(answer[head_bytes + sent_at_once :])
    assert place.receive_until(client, b"\r\n").startswith(b"SERVER_ERROR")
    assert place.receive_to_end(node) in (b"END", b"RESET")
    assert f"malformed answer from s1: {MalformedReason.VALUE_END.value}" in place.log.getvalue()
