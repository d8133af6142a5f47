"""Faults in a world's file: a wrong one is refused by its field's name, and each kind has a shipped world."""

import pytest
from click.testing import CliRunner

from lab.cli import lab
from lab.fault import SYSTEM_CALLS
from lab.scenario import load


@pytest.mark.parametrize(
    ("fault", "wanted"),
    [
        ('kind = "clock_step"\nby_s = "an hour"', "$.faults[0].by_s"),
        ('kind = "clock_step"\nby_s = nan', "$.faults[0].by_s"),
        ('kind = "clock_step"\nby_s = 1e9', "$.faults[0].by_s"),
        ('kind = "clock_step"\nby_s = 0.0', "faults[0].by_s"),
        ('kind = "clock_step"\nwhom = ["proxy-9"]', "faults[0].whom"),
        ('kind = "clock_step"\nwhom = ["zone-0"]', "faults[0].whom"),
        ('kind = "clock_step"\nfor_s = 10.0\nevery_s = 0.0001', "faults[0].every_s"),
        ('kind = "clock_step"\nevery_s = -1.0', "$.faults[0].every_s"),
        ('kind = "connect_fails"\npart = 0.5\nrate = 0.5', "faults[0].for_s"),
        ('kind = "connect_fails"\npart = 0.5\nfor_s = 1.0', "faults[0].rate"),
        ('kind = "connect_fails"\npart = 0.5\nfor_s = 1.0\nrate = 1.5', "$.faults[0].rate"),
        ('kind = "connect_fails"\nfor_s = 1.0\nrate = 0.5', "faults[0].part"),
        ('kind = "connect_fails"\nfor_s = 1.0\nrate = 0.5\nwhom = ["node-1"]', "faults[0].whom"),
        (
            'kind = "accept_fails"\npart = 0.5\nfor_s = 1.0\nrate = 0.5\nerrors = ["ETIMEDOUT"]',
            "faults[0].errors",
        ),
        (
            'kind = "accept_fails"\npart = 0.5\nfor_s = 1.0\nrate = 0.5\nerrors = ["EWRONG"]',
            "$.faults[0].errors[0]",
        ),
        (
            'kind = "short_calls"\npart = 0.5\nfor_s = 1.0\nrate = 0.5\nmost_bytes = 0',
            "$.faults[0].most_bytes",
        ),
        ('kind = "connections_break"\npart = 0.5', "faults[0].rate"),
    ],
)
def test_a_bad_fault_is_refused_in_one_line_that_names_the_field(tmp_path, fault, wanted):
    path = tmp_path / "world.toml"
    path.write_text(f"[[faults]]\nat_s = 1.0\n{fault}\n")
    result = CliRunner().invoke(lab, ["run", str(path)])
    assert result.exit_code == 2
    assert wanted in result.output
    assert result.output.count("\n") == 1


def test_every_kind_of_failing_call_has_a_shipped_world():
    shipped = {fault.kind for name in ("failing-calls", "no-buffers") for fault in load(name).faults}
    assert shipped == set(SYSTEM_CALLS)
