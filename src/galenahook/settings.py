"""Settings of a process: a JSON file, checked whole before anything starts."""

import pathlib
from typing import TypeVar

import expression
import msgspec

from galenahook import defaults
from galenahook import findings as findings_lib
from galenahook import json_input
from galenahook import messages

_SettingsT = TypeVar("_SettingsT", bound=messages.Message)

_PATH_FIELDS = (
    "data_folder",
    "log_file",
    "operator_tokens_file",
    "site_key_file",
)


class Listener(messages.Message, frozen=True, kw_only=True):
    """One listening address.

    Attributes:
      listen: `host:port` to bind; port 0 lets the kernel choose.
      advertise: `host:port` that peers are told; `listen` if empty.
    """

    listen: str
    advertise: str = ""


class Timing(messages.Message, frozen=True, kw_only=True):
    """Periods that a site may change; all in milliseconds."""

    entry_lease_ms: int = defaults.ENTRY_LEASE_MS
    entry_update_period_ms: int = defaults.ENTRY_UPDATE_PERIOD_MS
    worker_lease_ms: int = defaults.WORKER_LEASE_MS
    start_ttl_ms: int = defaults.START_TTL_MS
    heartbeat_period_ms: int = defaults.HEARTBEAT_PERIOD_MS
    election_timeout_min_ms: int = defaults.ELECTION_TIMEOUT_MIN_MS
    election_timeout_max_ms: int = defaults.ELECTION_TIMEOUT_MAX_MS
    leader_lease_ms: int = defaults.LEADER_LEASE_MS
    drain_notice_ms: int = defaults.DRAIN_NOTICE_MS
    drain_timeout_ms: int = defaults.DRAIN_TIMEOUT_MS


class EntrySettings(messages.Message, frozen=True, kw_only=True):
    """Settings of an entry.

    Attributes:
      name: Unique name of the process.
      site: Name of the site.
      availability_zone: Where the process stands.
      callers: Listener of callers.
      upstreams: Listener of announcements and reports.
      operators: Listener of operators.
      platform: Listener of the balancer's health checks.
      replicas: Address of each replica by name.
      site_key_file: File with the key that the site's processes share.
      operator_tokens_file: JSON file of each operator's token by name.
      statsd: `host:port` of statsd, or an empty string for none.
      log_file: File for JSON lines; standard error if empty.
      timing: Periods.
    """

    name: str
    site: str
    availability_zone: str
    callers: Listener
    upstreams: Listener
    operators: Listener
    platform: Listener
    replicas: dict[str, str]
    site_key_file: str
    operator_tokens_file: str
    statsd: str = ""
    log_file: str = ""
    timing: Timing = Timing()


class ReplicaSettings(messages.Message, frozen=True, kw_only=True):
    """Settings of a replica.

    Attributes:
      name: Unique name of the process; its voting name while its data lasts.
      site: Name of the site.
      availability_zone: Where the process stands.
      peers: Listener of entries and other replicas.
      platform: Listener of health checks.
      replicas: Address of each replica by name, itself included.
      data_folder: Folder of the log, snapshots and audit trail.
      site_key_file: File with the key that the site's processes share.
      statsd: `host:port` of statsd, or an empty string for none.
      log_file: File for JSON lines; standard error if empty.
      timing: Periods.
    """

    name: str
    site: str
    availability_zone: str
    peers: Listener
    platform: Listener
    replicas: dict[str, str]
    data_folder: str
    site_key_file: str
    statsd: str = ""
    log_file: str = ""
    timing: Timing = Timing()


Settings = EntrySettings | ReplicaSettings


def load_entry(
    path: str,
) -> expression.Result[EntrySettings, list[findings_lib.Finding]]:
    """Loads and checks an entry's settings."""
    return load(path, EntrySettings)


def load_replica(
    path: str,
) -> expression.Result[ReplicaSettings, list[findings_lib.Finding]]:
    """Loads and checks a replica's settings."""
    return load(path, ReplicaSettings)


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
) -> expression.Result[Settings, list[findings_lib.Finding]]:
    """Loads the settings of either role; only a replica has `peers`."""
    try:
        document = msgspec.json.decode(pathlib.Path(path).read_bytes())
    except (OSError, msgspec.MsgspecError, ValueError, RecursionError):
        document = None
    if isinstance(document, dict) and "peers" in document:
        return load(path, ReplicaSettings)
    return load(path, EntrySettings)


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
    # The checks need the types of this module.
    from galenahook import settings_checks  # noqa: PLC0415

    found = findings_lib.Findings()
    match settings:
        case EntrySettings():
            settings_checks.check_entry(settings, found)
        case ReplicaSettings():
            settings_checks.check_replica(settings, found)
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
