"""Messages of the operators' routes.

`docs/INTERFACES.md` gives the routes; changes themselves are in `commands`.
"""

from galenahook import commands
from galenahook import findings as findings_lib
from galenahook import messages

CHANGES_TARGET = "/v1/changes"
SHEET_CHECK_TARGET = "/v1/sheet/check"
SHEET_DIFF_TARGET = "/v1/sheet/diff"
STATUS_TARGET = "/v1/status"
EXPLAIN_TARGET = "/v1/explain"
AUDIT_TARGET = "/v1/audit"
REVISION_TARGET = "/v1/revision"
REPLICAS_TARGET = "/v1/replicas"

# What the entry puts before an operator's route on its way to the leader.
LEADER_PREFIX = "/v1/operators"

OPERATOR_HEADER = b"x-galenahook-operator"
KEY_HEADER = b"x-galenahook-key"


class OperatorChange(messages.Message, frozen=True, kw_only=True):
    """A change as an operator asks for it.

    Attributes:
      number: The operator's number of the change; a resend has the same.
      base_revision: Revision that the operator saw.
      change: What changes.
    """

    number: int
    base_revision: int
    change: commands.Change


class RevisionReply(messages.Message, frozen=True, kw_only=True):
    """The configuration's revision.

    Attributes:
      revision: Last accepted revision, to base a change on.
      in_force: Whether no process can still act on an earlier one.
      behind: Entries that hold a lease on an earlier revision.
    """

    revision: int
    in_force: bool
    behind: tuple[str, ...] = ()


class SheetFindings(messages.Message, frozen=True, kw_only=True):
    """What a check of a sheet found; empty if it may be applied."""

    findings: tuple[findings_lib.Finding, ...] = ()


class RowDifference(messages.Message, frozen=True, kw_only=True):
    """One row that a sheet would change.

    Attributes:
      row: `service NAME`, `job NAME`, `quota TEAM` or `objective`.
      action: `add`, `change`, `remove`, or `finish` for a started job that
        the sheet no longer lists.
      fields: Fields that change, each as `name: before -> after`.
    """

    row: str
    action: str
    fields: tuple[str, ...] = ()


class SheetDifference(messages.Message, frozen=True, kw_only=True):
    """What applying a sheet on a revision would change."""

    revision: int
    rows: tuple[RowDifference, ...] = ()
