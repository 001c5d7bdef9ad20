"""Looks up rows of the sheet by the owner of tasks."""

from galenahook import commands
from galenahook import configuration as configuration_lib
from galenahook.scheduling import tasks as tasks_lib


def row_of(
    current: configuration_lib.ConfigurationRecord, owner: str
) -> commands.ServiceRow | commands.JobRow | None:
    """Returns the row of an owner, `job/NAME` or `service/NAME`."""
    name = owner.partition("/")[2]
    if tasks_lib.is_service(owner):
        return current.services.get(name)
    return current.jobs.get(name)


def team_of(current: configuration_lib.ConfigurationRecord, owner: str) -> str:
    """Returns the team of an owner, or an empty string."""
    row = row_of(current, owner)
    return row.team if row else ""


def command_of(
    current: configuration_lib.ConfigurationRecord, owner: str
) -> str:
    """Returns the command that an owner's tasks run, or an empty string."""
    row = row_of(current, owner)
    return row.command if row else ""


def size_key(row: commands.ServiceRow | commands.JobRow) -> str:
    """Returns the key of the learned sizes of a row's tasks."""
    if isinstance(row, commands.JobRow):
        return f"class/{row.job_class}"
    return f"service/{row.name}"
