"""Problems in settings files, formatted for the operator."""

from dataclasses import dataclass

from papayagw._internal.exceptions import SettingsError, Step


@dataclass(frozen=True, slots=True)
class SettingsProblem:
    """A problem in a settings file.

    Attributes
    ----------
    file : str
        Path of the file to correct.
    path : str
        Key path, such as ``services.order.address``; empty for the whole file.
    found : str
        What the file has.
    expected : str
        What the file should have.
    remedy : str
        What the operator should do; empty if `expected` already says it.
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
    """Return an exception that lists `problems`, of which there is at least one."""
    listed = "".join(f"\n  {problem}" for problem in problems)
    count = "1 problem" if len(problems) == 1 else f"{len(problems)} problems"
    return SettingsError(
        count,
        step=Step.SETTINGS,
        peer=problems[0].file,
        remedy=f"correct the following:{listed}",
    )
