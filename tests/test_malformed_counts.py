"""Malformed answers are logged and counted by what was wrong with them, so that causes can be told apart."""

import re

import pytest
from rig import read

from cloverwell.codec.errors import MalformedReason

CACHE_ANSWERS = {
    b"VA 1 Oother\r\na\r\n": MalformedReason.FOREIGN_ID,
    b"what is this\r\n": MalformedReason.UNKNOWN_LINE,
    b"VA 1 O%s\r\na??": MalformedReason.VALUE_END,
    b"HD O%s cx\r\n": MalformedReason.WRONG_KIND,
    b"x" * 3000: MalformedReason.LINE_TOO_LONG,
}


@pytest.mark.parametrize(("answer", "reason"), CACHE_ANSWERS.items())
def test_a_malformed_answer_is_counted_by_its_reason(rig, answer, reason):
    # Guards against malformed answers whose causes the counters can't tell apart.
    place = rig()
    place.client(read(1))
    node = place.nodes[0].accept()
    request_id = re.search(rb" O(\S+)", place.receive_until(node, b"\r\n"))[1]
    node.sendall(answer.replace(b"%s", request_id))
    log = place.log
    place.run_until(lambda: "malformed answer from s1" in log.getvalue(), "it was taken for a right answer")
    assert f"malformed answer from s1: {reason.value}" in log.getvalue()
    place.service._metrics_log.log_final()
    assert f"malformed_answer.{reason.name.lower()}=1" in log.getvalue()
