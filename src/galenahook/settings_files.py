"""Loads a settings file and checks it whole, before anything starts."""

import pathlib
from typing import Any
from typing import TypeVar

import expression
import msgspec

from galenahook import findings as findings_lib
from galenahook import json_input
from galenahook import messages
from galenahook import settings as settings_lib
from galenahook import settings_checks

_SettingsT = TypeVar("_SettingsT", bound=messages.Message)

_PATH_FIELDS = (
    "data_folder",
    "log_file",
    "operator_tokens_file",
    "site_key_file",
)


def load(
    path: str, settings_type: type[_SettingsT]
) -> expression.Result[_SettingsT, list[findings_lib.Finding]]:
    """Loads settings and checks them whole.

    Files that the settings name are looked up from the settings' own folder.

    Returns:
      The settings with absolute paths, or every finding with its JSON path.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        finding = findings_lib.Finding(path, str(error.strerror))
        return expression.Error([finding])
    examined = json_input.examine(data, settings_type)
    if examined.message is None:
        return expression.Error(examined.findings.items)
    return _check(_resolve_paths(examined.message, path), examined.findings)


def load_any(
    path: str,
) -> expression.Result[settings_lib.Settings, list[findings_lib.Finding]]:
    """Loads the settings of either role; each kind has a field of its own."""
    return load(path, type_of(path))


def type_of(path: str) -> Any:
    """Returns the type of the settings in a file, an entry's if unsure."""
    try:
        document = msgspec.json.decode(pathlib.Path(path).read_bytes())
    except (OSError, msgspec.MsgspecError, ValueError, RecursionError):
        document = None
    if not isinstance(document, dict):
        return settings_lib.EntrySettings
    if "peers" in document:
        return settings_lib.ReplicaSettings
    if "control" in document:
        return settings_lib.JobReplicaSettings
    if "peer_port" in document:
        return settings_lib.JobEntrySettings
    return settings_lib.EntrySettings


def _resolve_paths(settings: _SettingsT, path: str) -> _SettingsT:
    folder = pathlib.Path(path).resolve().parent
    resolved = {
        field: str(folder / getattr(settings, field))
        for field in _PATH_FIELDS
        if getattr(settings, field, "")
    }
    return msgspec.structs.replace(settings, **resolved)


def _check(
    settings: _SettingsT, findings: findings_lib.Findings
) -> expression.Result:
    """Checks settings whose faulty values were replaced by empty ones."""
    found = findings_lib.Findings()
    match settings:
        case settings_lib.EntrySettings():
            settings_checks.check_entry(settings, found)
        case settings_lib.ReplicaSettings():
            settings_checks.check_replica(settings, found)
        case settings_lib.JobEntrySettings():
            settings_checks.check_job_entry(settings, found)
        case settings_lib.JobReplicaSettings():
            settings_checks.check_job_replica(settings, found)
    known = tuple(finding.place for finding in findings.items)
    findings.items.extend(
        finding
        for finding in found.items
        if not _is_within(finding.place, known)
    )
    if findings:
        return expression.Error(findings.items)
    return expression.Ok(settings)


def _is_within(place: str, places: tuple[str, ...]) -> bool:
    return any(
        place == known or place.startswith((f"{known}.", f"{known}["))
        for known in places
    )
