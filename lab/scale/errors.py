"""The errors that end a scale run before its result."""


class ScaleRunError(Exception):
    """Base class: the run has no result."""


class RunInterruptedError(ScaleRunError):
    """The run was interrupted by a signal."""

    def __init__(self) -> None:
        """Sets the text."""
        super().__init__("interrupted")


class ProcessEndedError(ScaleRunError):
    """A process that should run has ended; `name` is the process, and `how` says in what way it ended."""

    def __init__(self, name: str, how: str) -> None:
        """Makes the text from both arguments."""
        super().__init__(f"{name}{how}")
        self.name = name
        self.how = how
