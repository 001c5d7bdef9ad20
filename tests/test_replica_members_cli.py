"""Tests how operators readmit a replica that lost its disk."""

import json
import pathlib
import shutil
import subprocess
import sys
import time

import msgspec

from galenahook.operators import client_settings
from galenahook.operators import exit_codes


def _galenahook(client: str, *arguments: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "galenahook", *arguments, "--client", client],
        capture_output=True,
        check=False,
        text=True,
        timeout=60,
    )


def _client(site, folder: pathlib.Path) -> str:
    (folder / "token").write_text(site.tokens["ana"])
    settings = client_settings.ClientSettings(
        entries=tuple(site.operators()), token_file="token"
    )
    path = folder / "client.json"
    path.write_bytes(msgspec.json.encode(settings))
    return str(path)


def _voters(client: str) -> dict[str, bool]:
    listed = _galenahook(client, "replica-member", "list", "--json")
    return {line["name"]: line["voter"] for line in json.loads(listed.stdout)}


def test_replica_that_lost_its_disk_is_readmitted(make_site, tmp_path):
    site = make_site()
    site.start()
    client = _client(site, tmp_path)
    assert _galenahook(client, "drain", "worker-1").returncode == 0
    replica = next(
        line["name"]
        for line in json.loads(
            _galenahook(client, "replica-member", "list", "--json").stdout
        )
        if line["silent_ms"] > 0
    )
    process = site.processes[replica]
    process.kill()
    folder = pathlib.Path(process.data_folder)
    shutil.rmtree(folder)
    folder.mkdir()

    attempt = _galenahook(client, "replica-member", "replace", replica)
    assert attempt.returncode == exit_codes.CONFLICT, attempt
    address = site.settings[replica].peers.listen
    assert f"replica-member add {replica} {address}" in attempt.stderr

    site.start_process(replica)
    end = time.monotonic() + 20
    added = attempt
    while added.returncode == exit_codes.CONFLICT and time.monotonic() < end:
        added = _galenahook(client, "replica-member", "add", replica, address)
    assert added.returncode == 0, added
    assert f"{replica} is a voting replica" in added.stdout
    assert _voters(client) == dict.fromkeys(site.replica_names(), True)

    audit = _galenahook(client, "audit", "--json")
    (record,) = json.loads(audit.stdout)["records"]
    assert record["change"] == "drain-upstream"
    trail_files = list((folder / "audit").iterdir())
    assert len(trail_files) == 1
