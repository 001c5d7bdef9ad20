"""Runs daemons for the command line, and loads settings and job files."""

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
# Other settings types that the command of a role accepts.
_OTHER_TYPES: dict[type, tuple[type, ...]] = {
    settings_lib.EntrySettings: (settings_lib.JobEntrySettings,),
    settings_lib.ReplicaSettings: (settings_lib.JobReplicaSettings,),
}

# Settings that their daemons reload on SIGHUP.
_RELOADED_TYPES = (
    settings_lib.JobEntrySettings,
    settings_lib.JobReplicaSettings,
)


def load_settings(path: str, settings_type: Any) -> settings_lib.Settings:
    """Loads settings; of any type if `settings_type` is None.

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
    """Runs the daemon for the settings file until it is stopped by a signal.

    Raises:
      output.CommandError: The settings have faults.
    """
    actual_type = settings_files.infer_settings_type(path)
    if actual_type in _OTHER_TYPES.get(settings_type, ()):
        settings_type = actual_type
    settings = load_settings(path, settings_type)
    # Each process imports only the modules of its own role.
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
    printer: output.Output,
) -> None:
    """Runs a whole site in one process until it is stopped by a signal.

    Raises:
      output.CommandError: The sheet was not accepted.
    """
    module = importlib.import_module("galenahook.operators.local_site")
    module.run(sheet, folder, first_port, printer)


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
