"""Items of the configuration and the changes to them."""

from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any

from galenahook import commands
from galenahook import messages


class ServiceItem(
    messages.Message, frozen=True, kw_only=True, tag="service-row"
):
    """A service of the configuration."""

    row: commands.ServiceRow


class JobItem(messages.Message, frozen=True, kw_only=True, tag="job-row"):
    """A job of the configuration."""

    row: commands.JobRow


class QuotaItem(messages.Message, frozen=True, kw_only=True, tag="quota-row"):
    """A team's quota."""

    row: commands.TeamQuota


class SettingItem(messages.Message, frozen=True, kw_only=True, tag="setting"):
    """Any other value: the objective, or a flag such as `out` or `drained`."""

    value: str


RowItem = ServiceItem | JobItem | QuotaItem
Item = RowItem | SettingItem


class ConfigurationRecord(
    messages.Message, frozen=True, kw_only=True, tag="configuration"
):
    """One revision of the configuration.

    Attributes:
      revision: Number of changes accepted so far.
      services: Services by name.
      jobs: Jobs by name.
      quotas: Quotas by team.
      objective: `tail` (tail latency) or `throughput`.
      availability_zones: Availability zones that the sheet lists.
      availability_zones_out: Availability zones out of service.
      drained: Upstreams that get no new work.
      cancelled: Jobs that an operator cancelled.
    """

    revision: int = 0
    services: dict[str, commands.ServiceRow] = {}
    jobs: dict[str, commands.JobRow] = {}
    quotas: dict[str, commands.TeamQuota] = {}
    objective: str = "tail"
    availability_zones: frozenset[str] = frozenset()
    availability_zones_out: frozenset[str] = frozenset()
    drained: frozenset[str] = frozenset()
    cancelled: frozenset[str] = frozenset()


class ItemChange(messages.Message, frozen=True, kw_only=True):
    """Effect of a change on one item.

    Attributes:
      item: `service NAME`, `job NAME`, `quota TEAM`, `objective`,
        `availability zone NAME`, `upstream NAME` or `cancellation NAME`.
      before: Value before, None if there was none.
      after: Value after, None if there is none.
    """

    item: str
    before: Item | None = None
    after: Item | None = None


def changed_rows(
    label: str,
    item_type: type[RowItem],
    before: Mapping[str, Any],
    after: Mapping[str, Any],
) -> Iterator[ItemChange]:
    """Yields the change of each row that differs, removed rows last."""
    for name, new in after.items():
        old = before.get(name)
        if old != new:
            yield ItemChange(
                item=f"{label} {name}",
                before=None if old is None else item_type(row=old),
                after=item_type(row=new),
            )
    for name, old in before.items():
        if name not in after:
            yield ItemChange(item=f"{label} {name}", before=item_type(row=old))


def count_changed_rows(
    before: Mapping[str, Any], after: Mapping[str, Any]
) -> int:
    """Counts the rows that differ, without building items for them."""
    changed = sum(before.get(name) != new for name, new in after.items())
    removed = sum(name not in after for name in before)
    return changed + removed


def changed_flags(
    label: str, flag: str, before: frozenset[str], after: frozenset[str]
) -> Iterator[ItemChange]:
    """Yields the change of each name that gained or lost a flag, sorted."""
    for name in sorted(before ^ after):
        flag_item = SettingItem(value=flag)
        yield ItemChange(
            item=f"{label} {name}",
            before=flag_item if name in before else None,
            after=flag_item if name in after else None,
        )


def changed_setting(item: str, before: str, after: str) -> Iterator[ItemChange]:
    """Yields the change of one setting, if there is one."""
    if before != after:
        yield ItemChange(
            item=item,
            before=SettingItem(value=before),
            after=SettingItem(value=after),
        )
