"""The error of a scenario that cannot be used."""

from __future__ import annotations


class ScenarioError(Exception):
    """A file or a field of it is wrong. `where`: the file and the field; `why`: what is allowed."""

    def __init__(self, where: str, why: str) -> None:
        """Makes the message in one line."""
        super().__init__(f"{where}: {why}".replace("\n", " "))
        self.where = where
        self.why = why
