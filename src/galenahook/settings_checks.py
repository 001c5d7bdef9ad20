"""Checks of settings beyond their types: addresses, files and timing."""

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

# Bound within which a configuration is in force everywhere, and after which
# nothing starts in an availability zone that is out.
IN_FORCE_BOUND_MS = 3_000

# While a replica is replaced, the settings list the old and the new one.
_MAX_REPLICAS = 9


def check_entry(
    entry: settings.EntrySettings, findings: findings_lib.Findings
) -> None:
    """Adds every fault of an entry's settings."""
    listeners = {
        "callers": entry.callers,
        "upstreams": entry.upstreams,
        "operators": entry.operators,
        "platform": entry.platform,
    }
    _check_names(entry, findings)
    _check_listeners(listeners, findings)
    _check_replicas(entry.replicas, findings)
    _check_common(entry, findings)
    findings.items.extend(
        secrets_files.check_operator_tokens(
            entry.operator_tokens_file, "$.operator_tokens_file"
        )
    )


def check_replica(
    replica: settings.ReplicaSettings, findings: findings_lib.Findings
) -> None:
    """Adds every fault of a replica's settings."""
    listeners = {"peers": replica.peers, "platform": replica.platform}
    _check_names(replica, findings)
    _check_listeners(listeners, findings)
    _check_replicas(replica.replicas, findings)
    if replica.name not in replica.replicas:
        findings.add("$.replicas", f"must list {replica.name!r} itself")
    _check_common(replica, findings)
    _check_data_folder(replica.data_folder, findings)


def check_job_entry(
    entry: settings.JobEntrySettings, findings: findings_lib.Findings
) -> None:
    """Adds every fault of the settings of an entry of jobs."""
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
    """Adds every fault of the settings of a replica of jobs."""
    listeners = {"control": replica.control, "metrics": replica.metrics}
    _check_listeners(listeners, findings)
    _check_job_process(replica, findings)
    _check_peer_address(
        f"{replica.host}:{replica.peer_port}", "$.host", findings
    )
    _check_data_folder(replica.data_folder, findings)
    if replica.worker_lease_ms <= 0:
        findings.add("$.worker_lease_ms", "must be above 0 ms")
    _check_timing(replica.timing, findings)


def _check_job_process(
    checked: settings.JobEntrySettings | settings.JobReplicaSettings,
    findings: findings_lib.Findings,
) -> None:
    for field in ("name", "availability_zone"):
        _check_name(getattr(checked, field), f"$.{field}", findings)
    if not checked.seeds:
        findings.add("$.seeds", "none given; expected at least 1")
    for index, seed in enumerate(checked.seeds):
        _check_peer_address(seed, f"$.seeds[{index}]", findings)
    if not 0 < checked.peer_port < 65_536:
        findings.add("$.peer_port", "expected a port from 1 to 65535")
    if checked.stop_ms <= 0:
        findings.add("$.stop_ms", "must be above 0 ms")


def _check_names(
    checked: settings.EntrySettings | settings.ReplicaSettings,
    findings: findings_lib.Findings,
) -> None:
    for field in ("name", "site", "availability_zone"):
        _check_name(getattr(checked, field), f"$.{field}", findings)


def _check_name(name: str, place: str, findings: findings_lib.Findings) -> None:
    if not NAME_PATTERN.fullmatch(name):
        findings.add(
            place,
            f"{name!r}: expected a letter or digit, then up to 62 letters,"
            " digits, dots, dashes or underscores",
        )


def _check_common(
    checked: settings.EntrySettings | settings.ReplicaSettings,
    findings: findings_lib.Findings,
) -> None:
    if checked.statsd:
        _check_peer_address(checked.statsd, "$.statsd", findings)
    if checked.log_file:
        _check_log_file(checked.log_file, findings)
    _check_timing(checked.timing, findings)
    findings.items.extend(
        secrets_files.check_site_key(checked.site_key_file, "$.site_key_file")
    )


def _check_listeners(
    listeners: dict[str, settings.Listener], findings: findings_lib.Findings
) -> None:
    taken: list[tuple[str, str, int]] = []
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
                f"$.{name}.advertise", f"needed, since {host} is no address"
            )
        for other, other_host, other_port in taken:
            if port == other_port != 0 and _overlap(host, other_host):
                findings.add(place, f"same port as $.{other}.listen")
        taken.append((name, host, port))


def _overlap(host: str, other: str) -> bool:
    return host == other or any(
        ipaddress.ip_address(address).is_unspecified
        for address in (host, other)
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
        findings.add(place, f"{host!r}: expected an IPv4 number")
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
        findings.add(place, "port 0 can't be reached by others")
    if ipaddress.ip_address(host).is_unspecified:
        findings.add(place, f"{host} can't be reached by others")


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
        findings.add("$.log_file", f"no folder {parent}")
    elif pathlib.Path(path).is_dir():
        findings.add("$.log_file", f"{path} is a folder")
    elif not os.access(parent, os.W_OK):
        findings.add("$.log_file", f"folder {parent} can't be written")


def _check_data_folder(path: str, findings: findings_lib.Findings) -> None:
    folder = pathlib.Path(path)
    if not folder.is_dir():
        findings.add(
            "$.data_folder",
            f"no folder {path}; is its disk mounted? A new replica needs an"
            " empty folder",
        )
    elif not os.access(folder, os.R_OK | os.W_OK | os.X_OK):
        findings.add("$.data_folder", f"folder {path} can't be written")


def _check_timing(
    timing: settings.Timing, findings: findings_lib.Findings
) -> None:
    for field in timing.__struct_fields__:
        if getattr(timing, field) <= 0:
            findings.add(f"$.timing.{field}", "must be above 0 ms")
    faults = itertools.chain(
        _entry_timing_faults(timing),
        _worker_timing_faults(timing),
        _replica_timing_faults(timing),
    )
    for field, fault in faults:
        findings.add(f"$.timing.{field}", fault)


_MARGIN_PERCENT = 100 + defaults.CLOCK_RATE_MARGIN_PERCENT
_LONGEST_IN_FORCE_MS = (IN_FORCE_BOUND_MS - 1) * 100 // _MARGIN_PERCENT


def _entry_timing_faults(
    timing: settings.Timing,
) -> Iterable[tuple[str, str]]:
    if timing.entry_lease_ms > _LONGEST_IN_FORCE_MS:
        yield (
            "entry_lease_ms",
            f"at most {_LONGEST_IN_FORCE_MS} ms, so that a configuration is in"
            f" force everywhere within {IN_FORCE_BOUND_MS} ms",
        )
    if 3 * timing.entry_update_period_ms > timing.entry_lease_ms:
        yield (
            "entry_update_period_ms",
            "at most a third of entry_lease_ms, so that a lost update"
            " doesn't end the lease",
        )
    if timing.drain_timeout_ms < timing.drain_notice_ms:
        yield "drain_timeout_ms", "must not be below drain_notice_ms"


def _worker_timing_faults(
    timing: settings.Timing,
) -> Iterable[tuple[str, str]]:
    if timing.start_ttl_ms > _LONGEST_IN_FORCE_MS:
        yield (
            "start_ttl_ms",
            f"at most {_LONGEST_IN_FORCE_MS} ms, so that nothing starts in an"
            f" availability zone {IN_FORCE_BOUND_MS} ms after it went out",
        )
    if timing.worker_lease_ms <= timing.start_ttl_ms:
        yield "worker_lease_ms", "must be above start_ttl_ms"
    if timing.worker_lease_ms < 4 * defaults.ANNOUNCE_PERIOD_MS:
        yield (
            "worker_lease_ms",
            f"at least {4 * defaults.ANNOUNCE_PERIOD_MS} ms, four"
            " announcement periods",
        )


def _replica_timing_faults(
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
