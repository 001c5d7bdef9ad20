"""Findings: the errors of an input and their locations.

A check collects all findings and reports them together, so that a user can
fix a file in one pass.
"""

import dataclasses

import msgspec


class Finding(msgspec.Struct, frozen=True):
    """One error in an input.

    Attributes:
      place: Its location: `file:row:column` of a sheet, or a JSON path such as
        `$.callers.listen`.
      message: What is wrong and what is expected.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


@dataclasses.dataclass(slots=True)
class Findings:
    """Collects the findings of one check.

    Attributes:
      items: The findings so far, in the order of the input.
    """

    items: list[Finding] = dataclasses.field(default_factory=list)

    def add(self, place: str, message: str) -> None:
        """Adds a finding."""
        self.items.append(Finding(place, message))

    def __bool__(self) -> bool:
        return bool(self.items)
