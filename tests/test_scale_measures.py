"""What a scale run's reports come to: delays, orders, costs, and the lines fitted to them."""

import json

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverwell.cli.main import cli
from lab.cli import lab
from lab.scale.measure import ActivationMeasure, ProcessCost, activation_delays, hollow_cost
from lab.scale.messages import Activation, FinalEndpointList, RevisionPublished
from lab.scale.slopes import FitError, fit, relative_error

cli.add_command(lab)


def call(*words):
    return CliRunner().invoke(cli, ["lab", "scale", *words])


def row(revision, at_s, lines=1, proxy="p", incarnation=0, complete=False):
    return Activation(proxy, incarnation, revision, at_s, complete, lines, held=revision == 1)


CHANGES = [RevisionPublished(2, 10.0, []), RevisionPublished(3, 11.0, []), RevisionPublished(4, 12.0, [])]


def test_a_change_is_in_force_with_the_first_list_that_has_it():
    delays, missing = activation_delays(CHANGES, [row(1, 0.0), row(2, 10.5), row(4, 12.25)])
    assert delays == [0.5, 1.25, 0.25]
    assert missing == 0


def test_changes_before_a_proxys_start_are_none_to_it_and_those_it_never_had_are_missing():
    assert activation_delays(CHANGES, [row(2, 10.9), row(3, 11.5)]) == ([0.5], 1)


def orders_of(rows, final=None):
    measure = ActivationMeasure()
    for change in CHANGES:
        measure.add_revision(change)
    for taken in rows:
        measure.add_activation(taken)
    final = FinalEndpointList("p", 4, "same") if final is None else final
    return measure.compare({final.proxy: final}, 4, "same")


def test_a_run_in_order_has_nothing_to_tell():
    histogram, orders = orders_of([row(1, 0.0), row(2, 10.5), row(2, 10.9, lines=0), row(4, 12.25)])
    assert orders.kept
    assert (orders.taken, orders.merged) == (2, 1)
    assert histogram.get_total_count() == 3
    assert histogram.get_max_value() == pytest.approx(1.25e6, rel=0.001)


def test_lost_repeated_misplaced_and_wrong_are_told_apart():
    _, orders = orders_of(
        [row(1, 0.0), row(3, 11.5), row(2, 11.6), row(2, 11.7)], FinalEndpointList("p", 2, "other")
    )
    assert (orders.out_of_order, orders.repeated, orders.lost) == (1, 1, 1)
    assert (orders.wrong_lists, orders.behind, orders.kept) == (1, ["p"], False)


def test_what_a_killed_proxy_never_had_is_not_lost():
    rows = [row(1, 0.0), row(2, 10.5), row(4, 13.0, incarnation=1)]
    _, orders = orders_of(rows)
    assert orders.kept
    assert (orders.lost, orders.not_followed) == (0, 2)


def test_a_hollow_proxys_cost_is_the_difference_to_an_empty_process():
    empty = ProcessCost("hollow-empty", 0.5, 30.0)
    costs = [ProcessCost("hollow-0", 2.5, 50.0, 10), ProcessCost("hollow-1", 1.5, 40.0, 5), empty]
    cost = hollow_cost(costs, empty, 20.0)
    assert cost.cpu_percent == pytest.approx(100.0 * 3.0 / 20.0 / 15)
    assert cost.rss_mb == pytest.approx(2.0)
    assert hollow_cost([empty], empty, 20.0) is None


@settings(deadline=None)
@given(st.floats(-5.0, 5.0), st.floats(-100.0, 100.0))
def test_a_line_is_found_exactly(slope, start):
    line = fit([(size, start + slope * size) for size in (30.0, 60.0, 120.0, 240.0)])
    assert line.at(480.0) == pytest.approx(start + slope * 480.0, abs=1e-6)
    assert line.error_at(480.0) < 1e-6


def test_the_errors_of_a_fit_are_the_textbooks():
    line = fit([(1.0, 1.0), (2.0, 3.0), (3.0, 2.0), (4.0, 4.0)])
    assert (line.slope, line.start) == (pytest.approx(0.8), pytest.approx(0.5))
    assert line.residual**2 == pytest.approx(0.9)
    assert line.slope_error**2 == pytest.approx(0.9 / 5.0)
    assert line.start_error**2 == pytest.approx(0.9 * (1 / 4 + 6.25 / 5.0))


def test_a_line_needs_four_sizes():
    with pytest.raises(FitError, match="4 different sizes"):
        fit([(30.0, 1.0), (30.0, 2.0), (60.0, 1.0), (120.0, 1.0)])


def test_how_far_a_prediction_was_off():
    assert relative_error(125.0, 100.0) == pytest.approx(0.25)
    assert relative_error(0.0, 0.0) == 0.0


def write_run(path, hollow, value):
    head = {"kind": "run", "proxies": {"hollow": hollow, "real": 0}, "nodes": 24}
    summary = {"kind": "summary", "quantities": {"in_force_p50_ms": value}}
    path.write_text(json.dumps(head) + "\n" + json.dumps(summary) + "\n")
    return str(path)


def test_slopes_predict_compare_and_draw(tmp_path):
    files = [write_run(tmp_path / f"{size}.jsonl", size, 2.0 * size) for size in (30, 60, 120, 240)]
    measured = write_run(tmp_path / "480.jsonl", 480, 1200.0)
    words = ["--at", "480", "--measured", measured, "--charts", str(tmp_path / "charts"), "--json"]
    result = call("slopes", *files, *words)
    assert result.exit_code == 0, result.output
    line = json.loads(result.stdout)
    assert (line["slope"], line["predicted"], line["measured"], line["off"]) == (2.0, 960.0, 1200.0, -0.2)
    chart = (tmp_path / "charts" / "proxies-in_force_p50_ms.png").read_bytes()
    assert chart.startswith(b"\x89PNG")


def test_slopes_of_too_few_sizes_are_refused_in_one_line(tmp_path):
    result = call("slopes", write_run(tmp_path / "a.jsonl", 30, 1.0))
    assert result.exit_code == 2
    assert result.stderr.count("\n") == 1
    assert "4 different sizes" in result.stderr


def test_the_cost_of_an_answer_is_a_mean_over_those_with_something_new():
    measure = ActivationMeasure()
    assert measure.mean_cpu_ms() is None
    for lines, held, cpu_ms in ((9, True, 50.0), (1, False, 2.0), (0, False, 70.0), (2, False, 4.0)):
        measure.add_activation(Activation("p", 0, 2, 1.0, False, lines, held, cpu_ms))
    assert measure.mean_cpu_ms() == 3.0
