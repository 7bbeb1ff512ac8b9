"""One fault of a settings file, as an operator reads it."""

from dataclasses import dataclass

from papayagw._internal.exceptions import SettingsError, Step


@dataclass(frozen=True, slots=True)
class SettingsProblem:
    """One fault of a settings file.

    Attributes
    ----------
    file : str
        The file to correct.
    path : str
        The key, such as ``services.order.address``; empty for the whole file.
    found : str
        What is there.
    expected : str
        What belongs there.
    remedy : str
        What to do.
    """

    file: str
    path: str
    found: str
    expected: str
    remedy: str = ""

    def __str__(self) -> str:
        where = f"{self.file}: {self.path}" if self.path else self.file
        then = f"; {self.remedy}" if self.remedy else ""
        return f"{where}: found {self.found}, expected {self.expected}{then}"


Problems = tuple[SettingsProblem, ...]


def make_error(problems: Problems) -> SettingsError:
    """Return the error of a process that can't start with its settings."""
    listed = "".join(f"\n  {problem}" for problem in problems)
    count = "1 problem" if len(problems) == 1 else f"{len(problems)} problems"
    return SettingsError(
        count,
        step=Step.SETTINGS,
        peer=problems[0].file,
        remedy=f"correct what is listed here:{listed}",
    )
