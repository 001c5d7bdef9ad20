"""Loads and fully validates a settings file before a process starts."""

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
    """Loads a settings file and validates it.

    Relative paths in the settings are resolved against the folder of the
    settings file.

    Returns:
      The settings with absolute paths, or every finding with its JSON path.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        finding = findings_lib.Finding(path, str(error.strerror))
        return expression.Error([finding])
    partial = json_input.decode_partially(data, settings_type)
    if partial.message is None:
        return expression.Error(partial.findings.items)
    return _check(_resolve_paths(partial.message, path), partial.findings)


def load_any(
    path: str,
) -> expression.Result[settings_lib.Settings, list[findings_lib.Finding]]:
    """Loads settings of any process and infers their type from the fields."""
    return load(path, infer_settings_type(path))


def infer_settings_type(path: str) -> Any:
    """Infers the type of the settings in a file; `EntrySettings` by default."""
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
    """Validates settings whose invalid values were replaced by empty ones.

    Drops findings about the replaced values, which are reported already.
    """
    additional = findings_lib.Findings()
    match settings:
        case settings_lib.EntrySettings():
            settings_checks.check_entry(settings, additional)
        case settings_lib.ReplicaSettings():
            settings_checks.check_replica(settings, additional)
        case settings_lib.JobEntrySettings():
            settings_checks.check_job_entry(settings, additional)
        case settings_lib.JobReplicaSettings():
            settings_checks.check_job_replica(settings, additional)
    reported = tuple(finding.place for finding in findings.items)
    findings.items.extend(
        finding
        for finding in additional.items
        if not _is_within(finding.place, reported)
    )
    if findings:
        return expression.Error(findings.items)
    return expression.Ok(settings)


def _is_within(place: str, places: tuple[str, ...]) -> bool:
    return any(
        place == known or place.startswith((f"{known}.", f"{known}["))
        for known in places
    )
