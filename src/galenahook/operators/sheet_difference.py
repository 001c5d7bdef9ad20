"""Computes what applying a sheet would change, row by row."""

from collections.abc import Iterator

from galenahook import commands
from galenahook import configuration as configuration_lib
from galenahook import configuration_changes as changes_lib
from galenahook import configuration_items as items_lib
from galenahook.operators import wire


def compare(
    before: configuration_lib.ConfigurationRecord,
    after: configuration_lib.ConfigurationRecord,
    sheet: commands.Sheet,
) -> wire.SheetDifference:
    """Returns rows that differ, and jobs that finish or stay cancelled."""
    rows = [
        _row(item) for item in changes_lib.diff_configurations(before, after)
    ]
    listed = {row.name for row in sheet.jobs}
    for name in sorted(after.jobs.keys() - listed):
        rows.append(wire.RowDifference(row=f"job {name}", action="finish"))
    for name in sorted(after.cancelled & listed):
        rows.append(
            wire.RowDifference(row=f"job {name}", action="stays cancelled")
        )
    return wire.SheetDifference(revision=before.revision, rows=tuple(rows))


def _row(change: items_lib.ItemChange) -> wire.RowDifference:
    if change.before is None:
        return wire.RowDifference(row=change.item, action="add")
    if change.after is None:
        return wire.RowDifference(row=change.item, action="remove")
    return wire.RowDifference(
        row=change.item,
        action="change",
        fields=tuple(_fields(change.before, change.after)),
    )


def _fields(before: items_lib.Item, after: items_lib.Item) -> Iterator[str]:
    match before, after:
        case (
            items_lib.SettingItem(value=old),
            items_lib.SettingItem(value=new),
        ):
            yield f"{old} -> {new}"
        case _:
            yield from _row_fields(before.row, after.row)  # type: ignore[union-attr]


def _row_fields(before: object, after: object) -> Iterator[str]:
    for name in before.__struct_fields__:  # type: ignore[attr-defined]
        old = getattr(before, name)
        new = getattr(after, name)
        if old != new:
            yield f"{name}: {old} -> {new}"
