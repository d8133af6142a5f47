"""A fleet of processes for tests: three control nodes and three proxies, one of each in a region."""

import json
import subprocess
import uuid
from http.client import HTTPConnection

from lab.control_node_processes import COMMAND, ControlNodes
from lab.processes import PATIENCE_S, ROOT, ProxyFixture, SteadyClients, free_port, wait_for
from lab.proxy_testbed import SETTINGS

REGIONS = ("north", "south", "west")
OWN_SETTINGS = SETTINGS | {"peers-total": 40}  # the settings in each proxy's own file


class Proxy:
    """A proxy in a region. `process` is the process that was started last."""

    def __init__(self, folder, name, nodes, region):
        folder.mkdir()
        self.name = name
        self.fixture = ProxyFixture(folder)
        self.nodes = nodes
        self.write_config(control=nodes.section(region), name=name, settings=OWN_SETTINGS)
        self.process = None

    def write_config(self, **fields):
        """Changes these fields of the proxy's configuration file."""
        self.fixture.config.write_text(json.dumps(json.loads(self.fixture.config.read_text()) | fields))

    def start(self):
        self.process = self.fixture.start()
        return self

    def configuration(self):
        """Returns the fields of `GET /configuration`."""
        connection = HTTPConnection(*self.process.operator, timeout=PATIENCE_S)
        try:
            connection.request("GET", "/configuration")
            return dict(field.split("=") for field in connection.getresponse().read().decode().split())
        finally:
            connection.close()

    def wait_for_fields(self, **fields):
        """Waits until `GET /configuration` has these values, and returns all its fields."""
        last = [{}]

        def has_fields():
            last[0] = self.configuration()
            return all(last[0][name] == str(value) for name, value in fields.items())

        try:
            wait_for(has_fields, f"{self.name} at {fields}")
        except AssertionError as error:
            raise AssertionError(f"{error}: {last[0]}\n{self.process.log.read_text()}") from None
        return last[0]

    def check_serves(self):
        """Checks that clients get answers from the proxy."""
        clients = SteadyClients(self.fixture.listen, 2)
        clients.wait_for_answers(10)
        clients.stop()


class Fleet:
    """Three control nodes and three proxies; `start` starts them all."""

    def __init__(self, folder):
        self.folder = folder
        self.nodes = ControlNodes(folder, REGIONS)
        self.proxies = [Proxy(folder / f"proxy-{r}", f"proxy-{r}", self.nodes, r) for r in REGIONS]

    def start(self):
        self.nodes.start()
        for proxy in self.proxies:
            proxy.start()
        for proxy in self.proxies:
            proxy.process.ready()
        return self

    def propose(self, to, change, *options):
        """Runs `control propose` against a node, and returns the exit code and the output."""
        file = self.folder / "change.json"
        file.write_text(json.dumps(change))
        completed = subprocess.run(
            [*COMMAND, "propose", str(file), "--to", to.at, *options],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        return completed.returncode, completed.stdout + completed.stderr

    def commit(self, to, change):
        """Commits a change and returns its version.

        The proposal is repeated under the same id while there is no leader, as on a slow machine.
        """
        proposal, outputs = uuid.uuid4().hex, []

        def committed():
            code, text = self.propose(to, change, "--id", proposal)
            outputs.append(text)
            return code == 0

        wait_for(committed, "a commit")
        return int(outputs[-1].split("version ")[1].split(",")[0])

    def close(self):
        self.nodes.close()
        for proxy in self.proxies:
            proxy.fixture.close()


def discovery_change():
    """Returns a change of discovery's address to a new one."""
    return {"discovery": f"127.0.0.1:{free_port()}"}


def peers_total_change(peers_total):
    """Returns a change of the number of proxies."""
    return {"settings": OWN_SETTINGS | {"peers-total": peers_total}}


def version_log_lines(proxy, text):
    """Returns the lines of the proxy's log about versions that contain a text."""
    return [
        line for line in proxy.process.log.read_text().splitlines() if " version: " in line and text in line
    ]


def activated_versions(proxy):
    """Returns the versions that the proxy has made active, in order."""
    return [int(line.split("version: ")[1].split()[0]) for line in version_log_lines(proxy, "active, digest")]
