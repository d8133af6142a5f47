"""The commands of the control log: invalid files and addresses end with exit code 2 and name the field."""

import json
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from cloverwell.cli.control import control
from cloverwell.config import read_config
from cloverwell.control.configuration import read_change
from cloverwell.control.server.errors import NodeFileError
from cloverwell.control.server.settings import read_node_file
from lab.control_node_processes import COMMAND
from lab.processes import ROOT, free_port

DEPLOY = ROOT / "deploy" / "control"
NODES = [("a", "127.0.0.1:7401", "north"), ("b", "127.0.0.1:7402", "south")]


def node_file(nodes=NODES, **fields):
    """Returns the text of a node's file; a field whose value is None is left out."""
    fields = {"name": "a", "data": "data"} | fields
    lines = [f"{name} = {json.dumps(value)}" for name, value in fields.items() if value is not None]
    for name, address, region in nodes:
        lines += ["[[nodes]]", f'name = "{name}"', f'address = "{address}"', f'region = "{region}"']
    return "\n".join(lines)


def read(tmp_path, text):
    path = tmp_path / "node.toml"
    path.write_text(text)
    return read_node_file(path)


def run(*arguments):
    return CliRunner().invoke(control, list(map(str, arguments)))


# The file of a control node -------------------------------------------------------------------------


def test_a_node_listens_at_its_own_address_and_keeps_its_data_beside_its_file(tmp_path):
    settings = read(tmp_path, node_file())
    assert settings.listen == ("127.0.0.1", 7401)
    assert settings.data == tmp_path / "data"
    assert settings.log == "fleet"
    assert settings.others == {"b": ("127.0.0.1", 7402)}
    assert read(tmp_path, node_file(listen="0.0.0.0:9")).listen == ("0.0.0.0", 9)
    assert read(tmp_path, node_file(data="/var/lib/x")).data == Path("/var/lib/x")


@pytest.mark.parametrize(
    ("text", "field"),
    [
        (node_file(name=None), "name: is missing"),
        (node_file(data=None), "data: is missing"),
        (node_file(log=""), "log: is missing"),
        (node_file(name="c"), "name: 'c' is not one of the nodes"),
        (node_file(listen="here"), "listen: not an address"),
        (node_file(nodes=[]), "nodes: is missing"),
        (node_file(nodes=[("a", "127.0.0.1", "north")]), "nodes.address: not an address"),
        (node_file(nodes=[("a", "", "north")]), "nodes.address: is missing"),
        (node_file(nodes=[("", "127.0.0.1:1", "north")]), "nodes.name: is missing"),
        (node_file(nodes=[NODES[0], NODES[0]]), "nodes.name: 'a' is used twice"),
        (node_file(nodes=[NODES[0], ("b", "127.0.0.1:7401", "")]), "nodes.address: .* is used twice"),
        (node_file(name=7), "name"),
        (node_file(colour="red"), "colour"),
        ("name = ", "FILE"),
    ],
    ids=str,
)
def test_the_error_for_an_invalid_file_names_the_field(tmp_path, text, field):
    with pytest.raises(NodeFileError, match=field):
        read(tmp_path, text)
    result = run("serve", tmp_path / "node.toml")
    assert result.exit_code == 2
    assert result.output.count("\n") == 1


def test_a_file_that_is_missing_or_not_text_is_an_error(tmp_path):
    assert run("serve", tmp_path / "none.toml").exit_code == 2
    (tmp_path / "node.toml").write_bytes(b"\xff\xfe")
    assert run("serve", tmp_path / "node.toml").exit_code == 2


def test_the_error_for_damaged_data_or_an_address_in_use_names_the_field(tmp_path):
    (tmp_path / "data").mkdir()
    (tmp_path / "data" / "control.log").write_bytes(bytes(range(1, 60)))
    (tmp_path / "node.toml").write_text(node_file())
    result = run("serve", tmp_path / "node.toml")
    assert result.exit_code == 2
    assert "data: " in result.output
    assert "damaged" in result.output
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        address = "{}:{}".format(*listener.getsockname())
        (tmp_path / "node.toml").write_text(node_file(data="other", listen=address))
        result = subprocess.run([*COMMAND, "serve", tmp_path / "node.toml"], capture_output=True, text=True)
    assert result.returncode == 2
    assert "listen: " in result.stderr
    assert result.stderr.count("\n") == 1


# Proposals ------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("{", "configuration"),
        ("[]", "configuration: must be an object"),
        ('{"discovery": "nowhere"}', "discovery: not an address"),
        ('{"settings": {"peers-total": 1}}', "settings: classes"),
        ('{"limits": {"sockets": "many"}}', "limits.sockets"),
    ],
    ids=str,
)
def test_an_invalid_change_is_refused_before_it_is_proposed(tmp_path, text, field):
    (tmp_path / "change.json").write_text(text)
    result = run("propose", tmp_path / "change.json", "--to", "127.0.0.1:1")
    assert result.exit_code == 2
    assert field in result.output
    assert result.output.count("\n") == 1


def test_the_error_for_a_missing_file_or_an_invalid_address_names_the_option(tmp_path):
    result = run("propose", tmp_path / "none.json", "--to", "127.0.0.1:1")
    assert result.exit_code == 2
    assert "FILE: " in result.output
    (tmp_path / "change.json").write_text("{}")
    result = run("propose", tmp_path / "change.json", "--to", "here")
    assert result.exit_code == 2
    assert "--to: " in result.output
    assert run("status", "--to", "here").exit_code == 2


def test_without_an_answer_a_proposal_ends_with_exit_code_3_and_a_status_with_1(tmp_path):
    (tmp_path / "change.json").write_text("{}")
    at = f"127.0.0.1:{free_port()}"
    result = run("propose", tmp_path / "change.json", "--to", at, "--id", "mine")
    assert result.exit_code == 3
    assert "repeat it with --id mine" in result.output
    assert run("status", "--to", at).exit_code == 1


# The examples ---------------------------------------------------------------------------------------


def test_the_examples_are_valid_and_match_each_other():
    node = read_node_file(DEPLOY / "node.toml")
    proxy = read_config({"EDGE_CONFIG": str(DEPLOY / "proxy.json")})
    assert proxy.control.nodes == node.nodes
    assert proxy.control.log == node.log
    assert proxy.control.region in node.regions.values()
    assert proxy.control.local_nodes
    change = (DEPLOY / "change.json").read_bytes()
    assert read_change(proxy.document, change, {}).discovery != proxy.discovery


def test_a_proxy_without_a_control_section_imports_nothing_of_the_control_log(tmp_path):
    program = (
        "import sys, json, cloverwell.program as main\n"
        "from cloverwell.config import read_config\n"
        "from cloverwell.proxy import Proxy\n"
        "from cloverwell.log import Log\n"
        "from twisted.internet import reactor\n"
        "config = read_config({'EDGE_CONFIG': sys.argv[1], 'EDGE_LISTEN': sys.argv[2]})\n"
        "service = Proxy(reactor, config, Log(main.monotonic_ms), main.monotonic_ms, lambda: 0.0)\n"
        "service.start(main.listen, main.adopt)\n"
        "reactor.callLater(0.1, reactor.stop)\n"
        "reactor.run()\n"
        "print(json.dumps(sorted(sys.modules)))\n"
    )

    def modules(file):
        """Returns the names of the modules that a proxy with this configuration has imported."""
        result = subprocess.run(
            [sys.executable, "-c", program, str(file), f"127.0.0.1:{free_port()}"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        return json.loads(result.stdout)

    example = ROOT / "examples" / "config.json"
    without = modules(example)
    assert not [name for name in without if name.startswith("cloverwell.control")]
    # With a control section, the same program lists them.
    node = {"name": "a", "address": f"127.0.0.1:{free_port()}"}
    (tmp_path / "config.json").write_text(
        json.dumps(json.loads(example.read_text()) | {"control": {"nodes": [node]}})
    )
    assert "cloverwell.control.proxy.proxy_control" in modules(tmp_path / "config.json")
