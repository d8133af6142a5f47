"""The scenario files, and the command that runs them: a bad file is refused by the name of its field."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from cloverwell.cli.main import cli
from lab.cli import lab
from lab.scenario import load, names
from lab.scenario_error import ScenarioError

ROOT = Path(__file__).resolve().parent.parent


@pytest.mark.parametrize(
    ("text", "wanted"),
    [
        ("seconds = -1", "$.seconds"),
        ("wrong = 1", "wrong"),
        ('[[faults]]\nkind = "flood"\nat_s = 1', "$.faults[0].kind"),
        ('[[faults]]\nkind = "hang"\nat_s = 1\npart = 1.5', "$.faults[0].part"),
        ('[[faults]]\nkind = "hang"\nat_s = 1\nwhom = ["node-99"]', "faults[0].whom"),
        ('[[faults]]\nkind = "hang"\nat_s = 1', "faults[0].part"),
        ("seconds = ", "Invalid"),
    ],
)
def test_a_bad_world_is_refused_in_one_line_that_names_the_field(tmp_path, text, wanted):
    path = tmp_path / "world.toml"
    path.write_text(text)
    result = CliRunner().invoke(lab, ["run", str(path)])
    assert result.exit_code == 2
    assert wanted in result.output
    assert result.output.count("\n") == 1


def test_all_shipped_worlds_can_be_read():
    assert len(names()) >= 12
    for name in names():
        assert load(name).about
    with pytest.raises(ScenarioError, match="calm"):
        load("nowhere")


def test_the_command_line_plays_a_world_and_writes_its_summary(tmp_path):
    path = tmp_path / "small.toml"
    path.write_text("seconds = 1.0\n[nodes]\ncount = 3\n[traffic]\nper_s = 50.0\n")
    result = CliRunner().invoke(lab, ["run", str(path), "--seed", "4", "--out", str(tmp_path / "out")])
    assert result.exit_code == 0
    assert "rules kept" in result.output
    summary = json.loads((tmp_path / "out" / "summary.json").read_text())
    wanted = {"world", "seed", "requests", "service", "rules", "trace_sha256", "wall_s", "simulated_s"}
    assert wanted <= set(summary)


def test_check_names_the_field_of_a_bad_configuration(tmp_path):
    path = tmp_path / "config.json"
    path.write_text('{"listen": "nonsense"}')
    result = CliRunner().invoke(cli, ["check", str(path)])
    assert result.exit_code == 2
    assert "settings" in result.output
    good = CliRunner().invoke(cli, ["check", str(ROOT / "examples" / "config.json")])
    assert good.exit_code == 0
    assert "good" in good.output
    assert "listen" in CliRunner().invoke(cli, ["config", "schema"]).output
