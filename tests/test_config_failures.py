"""A configuration that can't be read: a start names it, and SIGHUP keeps all as it is."""

import builtins
import errno
import os

import pytest
from control_net_rig import Lines

from cloverwell import config as proxy_config
from cloverwell.config import ConfigError, read_config
from cloverwell.proxy import Proxy

ERRORS = [errno.EIO, errno.ENOENT, errno.EACCES, errno.EISDIR, errno.EMFILE, errno.ESTALE]


class Unreadable:
    """A file that opens, and fails when it is read."""

    def __init__(self, number):
        self.number = number

    def __enter__(self):
        return self

    def __exit__(self, *_error):
        pass

    def read(self):
        raise OSError(self.number, os.strerror(self.number))


@pytest.fixture(params=["open", "read"])
def failing_at(request, monkeypatch):
    def fail(number):
        def opened(*_arguments):
            if request.param == "read":
                return Unreadable(number)
            raise OSError(number, os.strerror(number))

        monkeypatch.setattr(proxy_config, "open", opened, raising=False)

    assert not hasattr(proxy_config, "open") and builtins.open
    return fail


@pytest.mark.parametrize("number", ERRORS)
def test_a_file_that_cannot_be_read_is_named_in_one_line(failing_at, number):
    failing_at(number)
    with pytest.raises(ConfigError) as caught:
        read_config({"EDGE_CONFIG": "/etc/proxy.json"})
    assert str(caught.value) == f"EDGE_CONFIG: {os.strerror(number)}: /etc/proxy.json"


@pytest.mark.parametrize("number", ERRORS)
def test_a_reload_that_cannot_read_its_file_changes_nothing_and_says_so_once(failing_at, number):
    failing_at(number)
    service = Proxy.__new__(Proxy)  # a reload that went on would need more of it
    service._log = Lines()
    service.reload(lambda: read_config({"EDGE_CONFIG": "/etc/proxy.json"}, again=True))
    (line,) = service._log.lines
    assert line.startswith("warn reload: all stays as it is: EDGE_CONFIG: ") and os.strerror(number) in line
