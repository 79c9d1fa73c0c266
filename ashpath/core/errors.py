"""What the packages below the adapters raise."""


class InvalidSettingError(ValueError):
    """A setting that cannot be used."""

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(key, problem)
        self.key = key
        self.problem = problem

    def __str__(self) -> str:
        return f"{self.key}: {self.problem}"


class InvalidTransitionError(Exception):
    """A message was to change to a state that does not follow its present one: a fault of the program."""

    def __init__(self, before: object, after: object) -> None:
        super().__init__(f"{before} to {after}")
