"""Output of the command line, and the error that ends a command."""

from collections.abc import Iterable
from collections.abc import Sequence
import sys
from typing import Any

from galenahook import errors
from galenahook import findings as findings_lib
from galenahook import messages


class CommandError(errors.GalenahookError):
    """A command failed.

    Attributes:
      exit_code: One of `exit_codes`.
      findings: Faults of the input.
    """

    def __init__(
        self,
        exit_code: int,
        reason: str,
        findings: Sequence[findings_lib.Finding] = (),
    ) -> None:
        super().__init__(reason)
        self.exit_code = exit_code
        self.findings = tuple(findings)


class Output:
    """Prints results as text or as one JSON document.

    Attributes:
      as_json: Whether results are printed as JSON.
    """

    def __init__(self, as_json: bool) -> None:
        self.as_json = as_json

    def show(self, message: Any, lines: Iterable[str]) -> None:
        """Prints a result."""
        if self.as_json:
            print(messages.encode(message).decode("utf-8"), flush=True)
            return
        for line in lines:
            print(line, flush=True)

    def progress(self, line: str) -> None:
        """Prints one line of progress to the standard error stream."""
        print(line, file=sys.stderr, flush=True)

    def fail(self, error: CommandError) -> None:
        """Prints why a command failed."""
        refusal = messages.Refusal(reason=str(error), findings=error.findings)
        if self.as_json:
            print(messages.encode(refusal).decode("utf-8"), flush=True)
            return
        print(f"error: {error}", file=sys.stderr)
        for finding in error.findings:
            print(f"  {finding}", file=sys.stderr)


def table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> list[str]:
    """Formats a table with aligned columns, a string for each line."""
    cells = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]
