"""Findings: what is wrong with an input, and where.

A check collects every finding and reports them together, so that a person
mends a file in one go.
"""

import dataclasses

import msgspec


class Finding(msgspec.Struct, frozen=True):
    """One fault of an input.

    Attributes:
      place: Where it is: `file:row:column` of a sheet, or a JSON path such as
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
        """Records one fault."""
        self.items.append(Finding(place, message))

    def __bool__(self) -> bool:
        return bool(self.items)
