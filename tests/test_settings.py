"""Settings validation: all faults are reported together, with JSON paths."""

import json
import pathlib
from typing import Any

import msgspec
import pytest

import builders
from galenahook import messages
from galenahook import secrets_files
from galenahook import settings as settings_lib
from galenahook import settings_checks
from galenahook import settings_files
from galenahook.operators import client_settings
from galenahook.operators import daemons

TOKENS = {"ana": "a" * 16, "bo": "b" * 16}


def _entry_document(folder: pathlib.Path) -> dict[str, Any]:
    (folder / "site.key").write_text("k" * 32 + "\n")
    (folder / "tokens.json").write_text(json.dumps(TOKENS))
    return {
        "name": "entry-1",
        "site": "guild",
        "availability_zone": "a",
        "callers": {"listen": "127.0.0.1:7101"},
        "upstreams": {"listen": "127.0.0.1:7102"},
        "operators": {"listen": "127.0.0.1:7103"},
        "platform": {"listen": "127.0.0.1:7104"},
        "replicas": {"replica-1": "127.0.0.1:7001"},
        "site_key_file": "site.key",
        "operator_tokens_file": "tokens.json",
    }


def _replica_document(folder: pathlib.Path) -> dict[str, Any]:
    entry = _entry_document(folder)
    (folder / "data").mkdir(exist_ok=True)
    shared = ("name", "site", "availability_zone", "platform", "site_key_file")
    return {
        **{field: entry[field] for field in shared},
        "name": "replica-1",
        "peers": {"listen": "127.0.0.1:7001"},
        "replicas": {"replica-1": "127.0.0.1:7001"},
        "data_folder": "data",
    }


def _load(folder: pathlib.Path, document: Any) -> Any:
    path = folder / "settings.json"
    path.write_text(json.dumps(document))
    return settings_files.load_any(str(path))


def _places(result: Any) -> list[str]:
    assert result.is_error(), "accepted"
    return [finding.place for finding in result.error]


def test_valid_settings_load_with_absolute_paths(tmp_path):
    entry = _load(tmp_path, _entry_document(tmp_path)).ok
    replica = _load(tmp_path, _replica_document(tmp_path)).ok
    assert entry.site_key_file == str(tmp_path / "site.key")
    assert replica.data_folder == str(tmp_path / "data")


# Changed field, its invalid value, and the JSON path that must be reported.
ENTRY_FAULTS = [
    ("name", "", "$.name"),
    ("name", 3, "$.name"),
    ("availability_zone", "a b", "$.availability_zone"),
    ("callers", {"listen": "localhost:1"}, "$.callers.listen"),
    ("callers", {"listen": "127.0.0.1"}, "$.callers.listen"),
    ("callers", {"listen": "127.0.0.1:70000"}, "$.callers.listen"),
    ("callers", {"listen": "127.0.0.1:7102"}, "$.upstreams.listen"),
    ("callers", {"listen": "0.0.0.0:7102"}, "$.upstreams.listen"),
    ("callers", {"listen": "0.0.0.0:9"}, "$.callers.advertise"),
    (
        "callers",
        {"listen": "127.0.0.1:9", "advertise": "127.0.0.1:0"},
        "$.callers.advertise",
    ),
    ("callers", {"listen": "127.0.0.1:9", "port": 1}, "$.callers.port"),
    ("callers", {}, "$.callers.listen"),
    ("callers", [], "$.callers"),
    ("replicas", {}, "$.replicas"),
    ("replicas", {"r": "127.0.0.1:0"}, "$.replicas.r"),
    ("replicas", {"r": "1.1.1.1:1", "s": "1.1.1.1:1"}, "$.replicas.s"),
    ("replicas", {"r": 7}, "$.replicas.r"),
    ("site_key_file", "none.key", "$.site_key_file"),
    ("operator_tokens_file", "site.key", "$.operator_tokens_file"),
    ("statsd", "statsd:8125", "$.statsd"),
    ("log_file", "none/log.jsonl", "$.log_file"),
    ("timing", {"entry_lease_ms": 3_000}, "$.timing.entry_lease_ms"),
    ("timing", {"start_ttl_ms": 2_971}, "$.timing.start_ttl_ms"),
    ("timing", {"leader_lease_ms": 500}, "$.timing.leader_lease_ms"),
    ("timing", {"worker_lease_ms": 1_000}, "$.timing.worker_lease_ms"),
    ("timing", {"heartbeat_period_ms": 0}, "$.timing.heartbeat_period_ms"),
    (
        "timing",
        {"election_timeout_max_ms": 500},
        "$.timing.election_timeout_max_ms",
    ),
    (
        "timing",
        {"entry_update_period_ms": 900},
        "$.timing.entry_update_period_ms",
    ),
    ("timing", {"lease": 1}, "$.timing.lease"),
    ("colour", "red", "$.colour"),
]


@pytest.mark.parametrize(("field", "value", "place"), ENTRY_FAULTS)
def test_invalid_entry_setting_is_reported_with_its_path(
    tmp_path, field, value, place
):
    document = {**_entry_document(tmp_path), field: value}
    assert place in _places(_load(tmp_path, document))


REPLICA_FAULTS = [
    ("data_folder", "none", "$.data_folder"),
    ("replicas", {"other": "127.0.0.1:7001"}, "$.replicas"),
    ("peers", {"listen": "127.0.0.1:7104"}, "$.platform.listen"),
]


@pytest.mark.parametrize(("field", "value", "place"), REPLICA_FAULTS)
def test_invalid_replica_setting_is_reported_with_its_path(
    tmp_path, field, value, place
):
    document = {**_replica_document(tmp_path), field: value}
    assert place in _places(_load(tmp_path, document))


def test_all_faults_are_reported_together(tmp_path, snapshot):
    document = _entry_document(tmp_path)
    document["callers"] = {"listen": "somewhere", "port": 1}
    document["timing"] = {"entry_lease_ms": "long", "lease": 1}
    del document["name"]
    assert _load(tmp_path, document).error == snapshot


@pytest.mark.parametrize(
    "text",
    ["", "{", '{"name": "a", "name": "b"}', "[" * 5_000, "\udcff"],
    ids=["empty", "truncated", "repeated-field", "deep", "not-utf8"],
)
def test_malformed_documents_are_reported_as_findings(tmp_path, text):
    path = tmp_path / "settings.json"
    path.write_bytes(text.encode("utf-8", "surrogateescape"))
    assert settings_files.load_any(str(path)).error


TOKEN_FAULTS = [
    {},
    {"ana": "short"},
    {"ana": "with a space in it.."},
    {"": "a" * 16},
    {"ana": "a" * 16, "bo": "a" * 16},
    {"ana": ["a" * 16]},
]


@pytest.mark.parametrize("tokens", TOKEN_FAULTS)
def test_invalid_tokens_are_reported_without_their_text(tmp_path, tokens):
    path = tmp_path / "tokens.json"
    path.write_text(json.dumps(tokens))
    findings = secrets_files.load_operator_tokens(str(path)).error
    assert findings
    for token in tokens.values():
        assert str(token) not in repr(findings)


def test_operator_is_found_only_by_the_exact_token():
    tokens = secrets_files.OperatorTokens(TOKENS)
    assert tokens.find_operator(b"a" * 16) == "ana"
    for wrong in (b"", b"a" * 15, b"a" * 17, b"A" * 16, "é".encode()):
        assert tokens.find_operator(wrong) == ""


def test_default_timing_passes_validation(tmp_path):
    document = {
        **_entry_document(tmp_path),
        "timing": msgspec.to_builtins(settings_lib.Timing()),
    }
    assert _load(tmp_path, document).is_ok()
    assert settings_checks.PROPAGATION_LIMIT_MS <= 3_000


def test_builder_settings_decode_as_replica_settings():
    encoded = messages.encode(builders.replica_settings())
    assert messages.decode(encoded, settings_lib.ReplicaSettings)


# Sample file and the settings whose files only a real site has.
SAMPLES = [
    ("entry-settings.json", {"$.site_key_file", "$.operator_tokens_file"}),
    ("replica-settings.json", {"$.site_key_file", "$.data_folder"}),
]


@pytest.mark.parametrize(("name", "missing"), SAMPLES)
def test_sample_settings_lack_only_site_specific_files(name, missing):
    path = pathlib.Path(__file__).parent.parent / "examples" / name
    assert set(_places(settings_files.load_any(str(path)))) == missing


def test_command_line_samples_are_valid():
    folder = pathlib.Path(__file__).parent.parent / "examples"
    assert daemons.load_job(str(folder / "job.json")).is_ok()
    client = (folder / "client-settings.json").read_bytes()
    assert messages.decode(client, client_settings.ClientSettings)
