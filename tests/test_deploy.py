"""Deployment files: settings templates, role commands and pinned packages."""

import json
import pathlib
import re
import tomllib

import pytest

from galenahook import settings as settings_lib
from galenahook import settings_files

ROOT = pathlib.Path(__file__).parents[1]
DEPLOY = ROOT / "deploy"
TEMPLATE_VALUES = {
    "node_name": "core-zone-a-1",
    "zone": "zone-a",
    "ip": "127.0.0.1",
    "listen": {
        "front": "127.0.0.1:8161",
        "ready": "127.0.0.1:8167",
        "control": "127.0.0.1:8166",
    },
    "internal_ports": [7720, 7735],
    "seeds": ["127.0.0.1:8166", "127.0.0.2:8166"],
    "bootstrap": True,
    "heartbeat_ms": 1500,
    "bounds": {"grace_s": 6, "max_hold_ms": 10000},
}


def render(name, values):
    """Renders a template by the platform's substitution rules."""

    def substitute(match):
        path, _, filter_name = match.group(1).partition("|")
        value = values
        for part in path.split("."):
            value = value[int(part) if part.isdigit() else part]
        return json.dumps(value) if filter_name == "json" else str(value)

    text = (DEPLOY / name).read_text()
    return re.sub(r"\{\{([^}]+)\}\}", substitute, text)


@pytest.mark.parametrize(
    ("template", "settings_type"),
    [
        ("entry.json.tmpl", settings_lib.JobEntrySettings),
        ("replica.json.tmpl", settings_lib.JobReplicaSettings),
    ],
)
def test_templates_render_valid_settings(tmp_path, template, settings_type):
    path = tmp_path / "settings.json"
    values = {**TEMPLATE_VALUES, "data_dir": str(tmp_path)}
    path.write_text(render(template, values))
    loaded = settings_files.load_any(str(path))
    assert loaded.is_ok(), loaded.error
    assert isinstance(loaded.ok, settings_type)
    assert loaded.ok.stop_ms == 6_000


def test_all_faults_of_rendered_settings_are_reported(tmp_path):
    path = tmp_path / "settings.json"
    values = {
        **TEMPLATE_VALUES,
        "data_dir": str(tmp_path / "missing"),
        "seeds": ["nowhere"],
        "zone": "",
    }
    path.write_text(render("replica.json.tmpl", values))
    places = [item.place for item in settings_files.load_any(str(path)).error]
    assert {"$.availability_zone", "$.seeds[0]", "$.data_folder"} <= set(places)


def test_roles_refer_to_existing_commands_and_templates():
    system = tomllib.loads((DEPLOY / "system.toml").read_text())
    for role in system["roles"].values():
        assert (ROOT / role["template"]).is_file()
        words = role["run"].split()
        assert words[:3] == ["python3", "-m", "galenahook"]
        assert words[3] in ("entry", "replica")


def test_required_packages_are_pinned_as_in_the_lock_file():
    locked = set((ROOT / "requirements.lock").read_text().splitlines())
    required = (DEPLOY / "requirements.txt").read_text().split()
    assert set(required) <= locked
