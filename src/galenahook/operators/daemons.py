"""Starts the daemons from the command line, and reads its input files."""

import importlib
import pathlib
from typing import Any

import expression

from galenahook import commands
from galenahook import findings as findings_lib
from galenahook import json_input
from galenahook import messages
from galenahook import row_checks
from galenahook import settings as settings_lib
from galenahook import settings_files
from galenahook.operators import exit_codes
from galenahook.operators import output

_ROLES: dict[type, str] = {
    settings_lib.EntrySettings: "entry",
    settings_lib.ReplicaSettings: "replica",
    settings_lib.JobEntrySettings: "job_entry",
    settings_lib.JobReplicaSettings: "job_replica",
}
# What else the command of a role runs, by the settings that it is given.
_JOB_TYPES: dict[type, tuple[type, ...]] = {
    settings_lib.EntrySettings: (settings_lib.JobEntrySettings,),
    settings_lib.ReplicaSettings: (settings_lib.JobReplicaSettings,),
}

# Settings whose daemons read them again at SIGHUP.
_RELOADED_TYPES = (
    settings_lib.JobEntrySettings,
    settings_lib.JobReplicaSettings,
)


def load_settings(path: str, settings_type: Any) -> settings_lib.Settings:
    """Loads settings, of either role if no type is given.

    Raises:
      output.CommandError: The settings have faults.
    """
    if settings_type is None:
        loaded: Any = settings_files.load_any(path)
    else:
        loaded = settings_files.load(path, settings_type)
    if loaded.is_error():
        raise output.CommandError(
            exit_codes.INVALID,
            f"{path}: {len(loaded.error)} faults; nothing was started",
            loaded.error,
        )
    return loaded.ok


def run(path: str, settings_type: Any) -> None:
    """Runs the daemon of the settings until a planned stop.

    Raises:
      output.CommandError: The settings have faults.
    """
    found_type = settings_files.type_of(path)
    if found_type in _JOB_TYPES.get(settings_type, ()):
        settings_type = found_type
    settings = load_settings(path, settings_type)
    # A role's modules are loaded only by its own process.
    role = _ROLES[type(settings)]
    module = importlib.import_module(f"galenahook.{role}")
    if settings_type in _RELOADED_TYPES:
        module.run(settings, lambda: settings_files.load(path, settings_type))
    else:
        module.run(settings)


def run_local(
    sheet: commands.Sheet,
    folder: str,
    first_port: int,
    shown: output.Output,
) -> None:
    """Runs a whole site in one process until a planned stop.

    Raises:
      output.CommandError: The sheet was not accepted.
    """
    module = importlib.import_module("galenahook.operators.local_site")
    module.run(sheet, folder, first_port, shown)


def encode_sheet(sheet: commands.Sheet) -> bytes:
    """Encodes a sheet as JSON."""
    return messages.encode(sheet)


def load_job(
    path: str,
) -> expression.Result[commands.JobRow, list[findings_lib.Finding]]:
    """Loads and checks the JSON file of one job."""
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        finding = findings_lib.Finding(path, str(error.strerror))
        return expression.Error([finding])
    place = f"{pathlib.Path(path).name}:$"
    return json_input.decode(data, commands.JobRow, place).bind(
        lambda row: _check_job(row, place)
    )


def _check_job(
    row: commands.JobRow, place: str
) -> expression.Result[commands.JobRow, list[findings_lib.Finding]]:
    findings = [
        findings_lib.Finding(f"{place}.{field}", fault)
        for field, fault in row_checks.check_job(row)
    ]
    return expression.Error(findings) if findings else expression.Ok(row)
