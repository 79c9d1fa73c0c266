"""Errors that the settings and the policy raise."""


class InvalidSettingError(ValueError):
    """A setting has an invalid type or value."""

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(key, problem)
        self.key = key
        self.problem = problem

    def __str__(self) -> str:
        return f"{self.key}: {self.problem}"


class InvalidTransitionError(Exception):
    """A transition that the table of message states does not allow: a bug in the program."""

    def __init__(self, before: object, after: object) -> None:
        super().__init__(f"{before} to {after}")
