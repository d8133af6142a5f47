"""The forms of answers that the soak's stand-ins send: rare ones are right, malformed ones can be told."""

import random

import pytest
from http_receiver import CLOSE, judge_with_h11, receive
from http_reference import Verdict
from scenario import Player

from lab.loopback.answer_forms import (
    MALFORMED_HTTP,
    MALFORMED_VALUES,
    RARE_HTTP,
    RARE_VALUES,
    AnswerForms,
)

BODY = b"value-of-r100"
FIELDS = b"Request-Id: r100\r\n"
DRAWS = 20  # of each form, some of which draw what they change


def names(forms):
    return [form.__name__.lstrip("_") for form in forms]


@pytest.mark.parametrize("form", RARE_HTTP, ids=names(RARE_HTTP))
def test_a_rare_form_over_http_is_right(form):
    for seed in range(DRAWS):
        assert receive(form(BODY, FIELDS, random.Random(seed))) == (Verdict.COMPLETE, BODY)


# An answer with another id is framed rightly; `test_malformed_origin_answers.py` shows that it is refused.
MALFORMED_FRAMINGS = [form for form in MALFORMED_HTTP if form.__name__ != "_other_id"]


@pytest.mark.parametrize("form", MALFORMED_FRAMINGS, ids=names(MALFORMED_FRAMINGS))
def test_a_malformed_form_over_http_is_not_right(form):
    for seed in range(DRAWS):
        answer = form(BODY, FIELDS, random.Random(seed))
        assert receive(answer, end=CLOSE)[0] is not Verdict.COMPLETE


def served(answer):
    """Returns whether a client gets the value of a cache node's answer."""
    player = Player()
    player.play("client send mg k1 v Or100 Pc=page,t=acme,d=900\ns1 expect mg k1 *")
    player.connection("s1", 0)[0].dataReceived(answer)
    return player.connection("client", 0)[1].value() == b"VA %d Or100\r\n%s\r\n" % (len(BODY), BODY)


@pytest.mark.parametrize("form", RARE_VALUES, ids=names(RARE_VALUES))
def test_a_rare_form_of_a_cache_node_is_right(form):
    assert all(served(form(BODY, b"Or100", random.Random(seed))) for seed in range(DRAWS))


@pytest.mark.parametrize("form", MALFORMED_VALUES, ids=names(MALFORMED_VALUES))
def test_a_malformed_form_of_a_cache_node_is_not_right(form):
    assert not any(served(form(BODY, b"Or100", random.Random(seed))) for seed in range(DRAWS))


def test_without_shares_all_forms_are_usual():
    forms = AnswerForms(1, malformed_share=0.0, rare_share=0.0)
    usual = b"HTTP/1.1 200 OK\r\nRequest-Id: r100\r\nContent-Length: 13\r\n\r\n" + BODY
    assert {forms.http(BODY, "r100").data for _ in range(DRAWS)} == {usual}
    assert judge_with_h11(usual) == (Verdict.COMPLETE, BODY)
