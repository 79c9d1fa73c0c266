"""What the packages below the adapters raise."""


class InvalidSettingError(ValueError):
    """A setting that cannot be used."""

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(key, problem)
        self.key = key
        self.problem = problem

    def __str__(self) -> str:
        return f"{self.key}: {self.problem}"
