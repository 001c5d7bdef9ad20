"""Validates settings beyond their types: addresses, files and timing."""

from collections.abc import Iterable
import ipaddress
import itertools
import os
import pathlib
import re

from galenahook import defaults
from galenahook import findings as findings_lib
from galenahook import secrets_files
from galenahook import settings

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")

# Time within which a new configuration takes effect everywhere, and after which
# nothing starts in an availability zone that went out of service.
PROPAGATION_LIMIT_MS = 3_000

# While a replica is being replaced, both the old and the new one are listed.
_MAX_REPLICAS = 9


def check_entry(
    entry: settings.EntrySettings, findings: findings_lib.Findings
) -> None:
    """Adds a finding for every invalid setting of an entry."""
    listeners = {
        "callers": entry.callers,
        "upstreams": entry.upstreams,
        "operators": entry.operators,
        "platform": entry.platform,
    }
    _check_process_names(entry, findings)
    _check_listeners(listeners, findings)
    _check_replicas(entry.replicas, findings)
    _check_shared_settings(entry, findings)
    findings.items.extend(
        secrets_files.check_operator_tokens(
            entry.operator_tokens_file, "$.operator_tokens_file"
        )
    )


def check_replica(
    replica: settings.ReplicaSettings, findings: findings_lib.Findings
) -> None:
    """Adds a finding for every invalid setting of a replica."""
    listeners = {"peers": replica.peers, "platform": replica.platform}
    _check_process_names(replica, findings)
    _check_listeners(listeners, findings)
    _check_replicas(replica.replicas, findings)
    if replica.name not in replica.replicas:
        findings.add("$.replicas", f"must include {replica.name!r} itself")
    _check_shared_settings(replica, findings)
    _check_data_folder(replica.data_folder, findings)


def check_job_entry(
    entry: settings.JobEntrySettings, findings: findings_lib.Findings
) -> None:
    """Adds a finding for every invalid setting of a job entry."""
    listeners = {
        "callers": entry.callers,
        "platform": entry.platform,
        "metrics": entry.metrics,
    }
    _check_listeners(listeners, findings)
    _check_job_process(entry, findings)


def check_job_replica(
    replica: settings.JobReplicaSettings, findings: findings_lib.Findings
) -> None:
    """Adds a finding for every invalid setting of a job replica."""
    listeners = {"control": replica.control, "metrics": replica.metrics}
    _check_listeners(listeners, findings)
    _check_job_process(replica, findings)
    _check_peer_address(
        f"{replica.host}:{replica.peer_port}", "$.host", findings
    )
    _check_data_folder(replica.data_folder, findings)
    if replica.worker_lease_ms <= 0:
        findings.add("$.worker_lease_ms", "must be above 0 ms")
    if replica.worker_heartbeat_ms <= 0:
        findings.add("$.worker_heartbeat_ms", "must be above 0 ms")
    _check_timing(replica.timing, findings)


def _check_job_process(
    process_settings: settings.JobEntrySettings | settings.JobReplicaSettings,
    findings: findings_lib.Findings,
) -> None:
    for field in ("name", "availability_zone"):
        _check_name(getattr(process_settings, field), f"$.{field}", findings)
    if not process_settings.seeds:
        findings.add("$.seeds", "none given; expected at least 1")
    for index, seed in enumerate(process_settings.seeds):
        _check_peer_address(seed, f"$.seeds[{index}]", findings)
    if not 0 < process_settings.peer_port < 65_536:
        findings.add("$.peer_port", "expected a port from 1 to 65535")
    if process_settings.stop_ms <= 0:
        findings.add("$.stop_ms", "must be above 0 ms")


def _check_process_names(
    process_settings: settings.EntrySettings | settings.ReplicaSettings,
    findings: findings_lib.Findings,
) -> None:
    for field in ("name", "site", "availability_zone"):
        _check_name(getattr(process_settings, field), f"$.{field}", findings)


def _check_name(name: str, place: str, findings: findings_lib.Findings) -> None:
    if not NAME_PATTERN.fullmatch(name):
        findings.add(
            place,
            f"{name!r}: expected a letter or digit, then up to 62 letters,"
            " digits, dots, dashes or underscores",
        )


def _check_shared_settings(
    process_settings: settings.EntrySettings | settings.ReplicaSettings,
    findings: findings_lib.Findings,
) -> None:
    if process_settings.statsd:
        _check_peer_address(process_settings.statsd, "$.statsd", findings)
    if process_settings.log_file:
        _check_log_file(process_settings.log_file, findings)
    _check_timing(process_settings.timing, findings)
    findings.items.extend(
        secrets_files.check_site_key(
            process_settings.site_key_file, "$.site_key_file"
        )
    )


def _check_listeners(
    listeners: dict[str, settings.Listener], findings: findings_lib.Findings
) -> None:
    seen: list[tuple[str, str, int]] = []
    for name, listener in listeners.items():
        place = f"$.{name}.listen"
        parsed = _check_address(listener.listen, place, findings)
        if listener.advertise:
            advertise_place = f"$.{name}.advertise"
            _check_peer_address(listener.advertise, advertise_place, findings)
        if parsed is None:
            continue
        host, port = parsed
        if ipaddress.ip_address(host).is_unspecified and not listener.advertise:
            findings.add(
                f"$.{name}.advertise",
                f"required, since {host} is a wildcard address",
            )
        for other_name, other_host, other_port in seen:
            if port == other_port != 0 and _hosts_overlap(host, other_host):
                findings.add(place, f"same port as $.{other_name}.listen")
        seen.append((name, host, port))


def _hosts_overlap(host: str, other_host: str) -> bool:
    return host == other_host or any(
        ipaddress.ip_address(address).is_unspecified
        for address in (host, other_host)
    )


def _check_address(
    address: str, place: str, findings: findings_lib.Findings
) -> tuple[str, int] | None:
    host, separator, port = address.rpartition(":")
    if not separator:
        findings.add(place, f"{address!r}: expected host:port")
        return None
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        findings.add(place, f"{host!r}: expected an IPv4 address")
        return None
    if not port.isascii() or not port.isdigit() or int(port) > 65_535:
        findings.add(place, f"{port!r}: expected a port from 0 to 65535")
        return None
    return host, int(port)


def _check_peer_address(
    address: str, place: str, findings: findings_lib.Findings
) -> None:
    parsed = _check_address(address, place, findings)
    if parsed is None:
        return
    host, port = parsed
    if port == 0:
        findings.add(place, "no process can connect to port 0")
    if ipaddress.ip_address(host).is_unspecified:
        findings.add(
            place, f"no process can connect to wildcard address {host}"
        )


def _check_replicas(
    replicas: dict[str, str], findings: findings_lib.Findings
) -> None:
    if not 1 <= len(replicas) <= _MAX_REPLICAS:
        findings.add(
            "$.replicas",
            f"{len(replicas)} given; expected 1 to {_MAX_REPLICAS}",
        )
    seen: dict[str, str] = {}
    for name, address in replicas.items():
        place = f"$.replicas.{name}"
        _check_name(name, place, findings)
        _check_peer_address(address, place, findings)
        if address in seen:
            findings.add(place, f"same address as $.replicas.{seen[address]}")
        seen.setdefault(address, name)


def _check_log_file(path: str, findings: findings_lib.Findings) -> None:
    parent = pathlib.Path(path).parent
    if not parent.is_dir():
        findings.add("$.log_file", f"folder {parent} does not exist")
    elif pathlib.Path(path).is_dir():
        findings.add("$.log_file", f"{path} is a folder")
    elif not os.access(parent, os.W_OK):
        findings.add("$.log_file", f"folder {parent} is not writable")


def _check_data_folder(path: str, findings: findings_lib.Findings) -> None:
    folder = pathlib.Path(path)
    if not folder.is_dir():
        findings.add(
            "$.data_folder",
            f"folder {path} does not exist; check that its disk is mounted. A"
            " new replica needs an empty folder",
        )
    elif not os.access(folder, os.R_OK | os.W_OK | os.X_OK):
        findings.add(
            "$.data_folder", f"folder {path} is not readable and writable"
        )


def _check_timing(
    timing: settings.Timing, findings: findings_lib.Findings
) -> None:
    for field in timing.__struct_fields__:
        if getattr(timing, field) <= 0:
            findings.add(f"$.timing.{field}", "must be above 0 ms")
    errors = itertools.chain(
        _entry_timing_errors(timing),
        _worker_timing_errors(timing),
        _replica_timing_errors(timing),
    )
    for field, error in errors:
        findings.add(f"$.timing.{field}", error)


_MARGIN_PERCENT = 100 + defaults.CLOCK_RATE_MARGIN_PERCENT
_MAX_LEASE_OR_TTL_MS = (PROPAGATION_LIMIT_MS - 1) * 100 // _MARGIN_PERCENT


def _entry_timing_errors(
    timing: settings.Timing,
) -> Iterable[tuple[str, str]]:
    if timing.entry_lease_ms > _MAX_LEASE_OR_TTL_MS:
        yield (
            "entry_lease_ms",
            f"at most {_MAX_LEASE_OR_TTL_MS} ms, so that a new configuration"
            f" takes effect everywhere within {PROPAGATION_LIMIT_MS} ms",
        )
    if 3 * timing.entry_update_period_ms > timing.entry_lease_ms:
        yield (
            "entry_update_period_ms",
            "at most a third of entry_lease_ms, so that the lease survives a"
            " lost update",
        )
    if timing.drain_timeout_ms < timing.drain_notice_ms:
        yield "drain_timeout_ms", "must not be below drain_notice_ms"


def _worker_timing_errors(
    timing: settings.Timing,
) -> Iterable[tuple[str, str]]:
    if timing.start_ttl_ms > _MAX_LEASE_OR_TTL_MS:
        yield (
            "start_ttl_ms",
            f"at most {_MAX_LEASE_OR_TTL_MS} ms, so that nothing starts in an"
            f" availability zone {PROPAGATION_LIMIT_MS} ms after it went out of"
            " service",
        )
    if timing.worker_lease_ms <= timing.start_ttl_ms:
        yield "worker_lease_ms", "must be above start_ttl_ms"
    if timing.worker_lease_ms < 4 * defaults.ANNOUNCE_PERIOD_MS:
        yield (
            "worker_lease_ms",
            f"at least {4 * defaults.ANNOUNCE_PERIOD_MS} ms, which is four"
            " announcement periods",
        )


def _replica_timing_errors(
    timing: settings.Timing,
) -> Iterable[tuple[str, str]]:
    if 2 * timing.heartbeat_period_ms > timing.election_timeout_min_ms:
        yield (
            "heartbeat_period_ms",
            "at most half of election_timeout_min_ms",
        )
    if timing.election_timeout_max_ms <= timing.election_timeout_min_ms:
        yield (
            "election_timeout_max_ms",
            "must be above election_timeout_min_ms",
        )
    lease_ms = timing.leader_lease_ms
    if lease_ms * _MARGIN_PERCENT // 100 >= timing.election_timeout_min_ms:
        yield (
            "leader_lease_ms",
            "must be below election_timeout_min_ms by the clock-rate margin",
        )
    if lease_ms <= timing.heartbeat_period_ms:
        yield "leader_lease_ms", "must be above heartbeat_period_ms"
