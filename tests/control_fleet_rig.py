"""Three control nodes and three proxies as processes, one of each in a region."""

import json
import subprocess
import uuid
from http.client import HTTPConnection

from lab.control_node_processes import COMMAND, ControlNodes
from lab.processes import PATIENCE_S, ROOT, ProxyFixture, SteadyClients, free_port, wait_for
from lab.proxy_testbed import SETTINGS

REGIONS = ("north", "south", "west")
OWN = SETTINGS | {"peers-total": 40}  # the settings in the proxies' own files


class Proxy:
    """One proxy in a region, and the processes that have been it."""

    def __init__(self, folder, name, nodes, region):
        folder.mkdir()
        self.name = name
        self.place = ProxyFixture(folder)
        self.nodes = nodes
        self.write(control=nodes.section(region), name=name, settings=OWN)
        self.process = None

    def write(self, **more):
        self.place.config.write_text(json.dumps(json.loads(self.place.config.read_text()) | more))

    def start(self):
        self.process = self.place.start()
        return self

    def configuration(self):
        """The fields of `GET /configuration`."""
        connection = HTTPConnection(*self.process.operator, timeout=PATIENCE_S)
        try:
            connection.request("GET", "/configuration")
            return dict(field.split("=") for field in connection.getresponse().read().decode().split())
        finally:
            connection.close()

    def comes_to(self, **fields):
        last = [{}]

        def has_fields():
            last[0] = self.configuration()
            return all(last[0][name] == str(value) for name, value in fields.items())

        try:
            wait_for(has_fields, f"{self.name} at {fields}")
        except AssertionError as error:
            raise AssertionError(f"{error}: {last[0]}\n{self.process.log.read_text()}") from None
        return last[0]

    def serves(self):
        clients = SteadyClients(self.place.listen, 2)
        clients.wait_for_answers(10)
        clients.stop()


class Fleet:
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
        """Exit code and what was printed."""
        file = self.folder / "change.json"
        file.write_text(json.dumps(change))
        done = subprocess.run(
            [*COMMAND, "propose", str(file), "--to", to.at, *options],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        return done.returncode, done.stdout + done.stderr

    def commit(self, to, change):
        """The version that it became; asked again, with one id, while a held-up machine has no leader."""
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
            proxy.place.close()


def discovery():
    return {"discovery": f"127.0.0.1:{free_port()}"}


def peers(number):
    return {"settings": OWN | {"peers-total": number}}


def lines(proxy, text):
    """Of the proxy's log, on versions."""
    return [
        line for line in proxy.process.log.read_text().splitlines() if " version: " in line and text in line
    ]


def in_order(proxy):
    """The versions that the proxy has put in force."""
    return [int(line.split("version: ")[1].split()[0]) for line in lines(proxy, "in force, digest")]
