"""Tests of the command line: exit codes, output, and use of a local site."""

import contextlib
import http.client
import json
import os
import pathlib
import socket
import subprocess
import sys
import threading
import time

import pytest

from galenahook import cli
from galenahook.operators import exit_codes

ROOT = pathlib.Path(__file__).parent.parent
SHEET = str(ROOT / "examples" / "order-service.csv")


def _run(capsys, *arguments: str) -> tuple[int, str, str]:
    try:
        cli.main(list(arguments))
        code = exit_codes.OK
    except SystemExit as stop:
        code = stop.code
    captured = capsys.readouterr()
    return code, captured.out, captured.err


USAGE = [
    ["sheet", "check"],
    ["sheet", "check", SHEET, "--colour", "red"],
    ["sheet"],
    ["nothing"],
    ["status"],
    ["explain"],
    ["explain", "--job", "a", "--service", "b"],
    ["job", "cancel"],
    ["availability-zone", "out"],
    ["availability-zone", "out", "a", "--wait", "forever"],
    ["audit", "--first", "one"],
]


@pytest.mark.parametrize("arguments", USAGE, ids=" ".join)
def test_usage_error_exits_2_with_a_message(capsys, monkeypatch, arguments):
    monkeypatch.delenv("GALENAHOOK_CLIENT", raising=False)
    code, out, err = _run(capsys, *arguments)
    assert code == exit_codes.USAGE
    assert out or err


def test_command_line_is_parsed_completely_before_it_runs(capsys, monkeypatch):
    calls = []

    def load(*arguments):
        calls.append(arguments)
        raise cli.cli_actions.CommandError(exit_codes.FAILURE, "ran")

    monkeypatch.setattr(cli.cli_actions.client_settings, "load", load)
    assert _run(capsys, "job", "cancel", "plan")[0] == exit_codes.FAILURE
    calls.clear()
    code, _, _ = _run(capsys, "job", "cancel", "plan", "--clinet", "c.json")
    assert code == exit_codes.USAGE
    assert not calls


def test_valid_sheet_exits_0(capsys):
    code, out, _ = _run(capsys, "sheet", "check", SHEET)
    assert code == exit_codes.OK
    assert "no faults; 2 services, 17 jobs, 4 quotas" in out


def test_invalid_sheet_exits_3_with_each_place(capsys, tmp_path):
    path = tmp_path / "bad.csv"
    path.write_text("kind;name;colour\nzone;;\nzone;a b;\n")
    code, out, err = _run(capsys, "sheet", "check", str(path))
    assert code == exit_codes.INVALID
    assert not out
    for place in ("bad.csv:1:colour", "bad.csv:2:name", "bad.csv:3:name"):
        assert place in err
    code, out, _ = _run(capsys, "sheet", "check", str(path), "--json")
    assert code == exit_codes.INVALID
    assert len(json.loads(out)["findings"]) == 3


@pytest.mark.parametrize("role", ["entry", "replica", "check"])
def test_invalid_settings_exit_3_and_start_nothing(capsys, tmp_path, role):
    path = tmp_path / "settings.json"
    path.write_text('{"name": "", "callers": {"listen": "x"}}')
    code, _, err = _run(capsys, role, "--settings", str(path))
    assert code == exit_codes.INVALID
    assert "$.name" in err
    assert list(tmp_path.iterdir()) == [path]


def test_help_shows_examples_and_exit_codes(capsys):
    _, out, err = _run(capsys, "--help")
    shown = out + err
    for text in ("Examples:", "availability-zone out", "Exit codes:"):
        assert text in shown
    _, out, err = _run(capsys, "sheet", "--help")
    assert "galenahook sheet diff today.csv" in out + err


def test_missing_response_exits_5_and_gives_the_number_to_resend(
    capsys, tmp_path, monkeypatch
):
    (tmp_path / "token").write_text("t" * 16)
    (tmp_path / "client.json").write_text(
        json.dumps({"entries": ["127.0.0.1:1"], "token_file": "token"})
    )
    monkeypatch.setattr(cli.client_lib, "CHANGE_TIMEOUT_MS", 100)
    client = str(tmp_path / "client.json")
    code, _, err = _run(
        capsys, "sheet", "apply", SHEET, "--base-revision", "3",
        "--number", "77", "--client", client,
    )  # fmt: skip
    assert code == exit_codes.NO_QUORUM
    assert "--number 77 --base-revision 3" in err


# --- A local site in one process ---------------------------------------------


def _free_ports() -> int:
    """Returns the first of five free ports, below the ephemeral range.

    Each test process starts its search at a port derived from its process
    identifier, so that concurrent test processes use different ports.
    """
    for first in range(20_000 + os.getpid() % 2_000 * 5, 32_000, 5):
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in range(first, first + 5):
                sock = stack.enter_context(socket.socket())
                sock.bind(("127.0.0.1", port))
            return first
    raise AssertionError("no free ports")


class _LocalSite:
    """Runs `galenahook local` in a separate process."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.first_port = _free_ports()
        self.process = subprocess.Popen(
            [
                sys.executable, "-m", "galenahook", "local",
                "--sheet", SHEET, "--folder", str(folder),
                "--first-port", str(self.first_port),
            ],
            stdout=subprocess.PIPE,
            text=True,
        )  # fmt: skip
        self._kill_timer = threading.Timer(50, self.process.kill)
        self._kill_timer.start()
        assert self.process.stdout is not None
        self.first_line = self.process.stdout.readline()
        self._wait_until_ready()

    def _wait_until_ready(self) -> None:
        end = time.monotonic() + 20
        while self._ready_status() != 200:
            assert time.monotonic() < end, "the local site is not ready"
            time.sleep(0.05)

    def _ready_status(self) -> int:
        platform = http.client.HTTPConnection(
            "127.0.0.1", self.first_port + 3, timeout=5
        )
        with contextlib.closing(platform), contextlib.suppress(OSError):
            platform.request("GET", "/ready")
            return platform.getresponse().status
        return 0

    def run(self, *arguments: str) -> subprocess.CompletedProcess:
        client = str(self.folder / "client.json")
        return subprocess.run(
            [sys.executable, "-m", "galenahook", *arguments,
             "--client", client],
            capture_output=True,
            check=False,
            text=True,
            timeout=30,
        )  # fmt: skip

    def stop(self) -> int:
        self.process.terminate()
        self.process.communicate(timeout=30)
        self._kill_timer.cancel()
        return self.process.returncode


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    local = _LocalSite(tmp_path_factory.mktemp("local"))
    yield local
    local.process.kill()
    local.process.communicate(timeout=30)
    local._kill_timer.cancel()


# Arguments, exit code, and text that the output must contain.
COMMANDS = [
    (["status"], 0, "leader      replica-1"),
    (["job", "list"], 0, "cutting-plan-line-1@2026-03-31"),
    (["sheet", "diff", SHEET], 0, "nothing changes"),
    (["job", "cancel", "invoices"], 3, "known: invoices@2026-03-31"),
    (["job", "cancel", "invoices@2026-03-31"], 0, "accepted as revision"),
    (["explain", "--job", "invoices@2026-03-31"], 0, "cancelled"),
    (["explain", "--service", "nothing"], 3, "not in the sheet"),
    (["availability-zone", "in", "lj-x"], 3, "known: lj-a, lj-b"),
    (["availability-zone", "out", "lj-b"], 0, "no work is left there"),
    (["availability-zone", "in", "lj-b"], 0, "work returns gradually"),
    (["sheet", "apply", SHEET, "--base-revision", "1"], 4, "lj-b no longer"),
    (["sheet", "apply", SHEET], 0, "applied as revision"),
    (["audit", "--first", "2"], 0, "availability-zone-out"),
    (["replica-member", "list"], 0, "replica-1"),
    (["replica-member", "remove", "replica-1"], 4, "last voter"),
    (["replica-member", "add", "r2", "127.0.0.1:1"], 4, "does not answer"),
]


def test_operator_commands_at_a_local_site(site):
    assert site.first_line == "sheet applied as revision 1\n"
    for arguments, code, text in COMMANDS:
        completed = site.run(*arguments)
        shown = completed.stdout + completed.stderr
        assert completed.returncode == code, (arguments, shown)
        assert text in shown, (arguments, shown)


def test_log_lines_of_a_request_share_its_identifier(site):
    site.run("revision-is-no-command")
    site.run("status")
    end = time.monotonic() + 10
    while time.monotonic() < end:
        lines = (site.folder / "log.jsonl").read_text().splitlines()
        records = [json.loads(line) for line in lines]
        changes = [r for r in records if r["message_type"] == "operator:change"]
        if changes:
            break
    request = changes[0]["request"]
    kinds = {r["message_type"] for r in records if r.get("request") == request}
    assert kinds == {"operator:change", "operator:answered"}
    token = (site.folder / "operator.token").read_text()
    assert token not in "\n".join(lines)


def test_refused_request_is_explained(site):
    caller = http.client.HTTPConnection(
        "127.0.0.1", site.first_port, timeout=10
    )
    caller.request("GET", "/no-such-service")
    response = caller.getresponse()
    caller.close()
    assert response.getheader("x-galenahook-outcome") == "not-run"
    request = response.getheader("x-galenahook-request")
    explanation = site.run("explain", "--request", request)
    assert explanation.returncode == exit_codes.OK, explanation
    assert "no service has this route" in explanation.stdout
    unknown = site.run("explain", "--request", "none")
    assert unknown.returncode == exit_codes.INVALID


def test_sigterm_exits_0(site):
    assert site.stop() == 0
