"""An odd value in a file of an operator is reported as a finding."""

import json

import pytest

from galenahook import commands
from galenahook import json_input
from galenahook import messages
import test_odd_input as odd_input

ROW = {
    "name": "prices",
    "team": "order-desk",
    "priority": 80,
    "instances": 1,
    "resources": {"cores_milli": 1_000},
    "route": "/prices",
    "tail_target_ms": 100,
    "command": "run",
}
SHEET = {"services": [ROW]}
FRAGMENTS = {
    **odd_input.ODD_FRAGMENTS,
    "digits": b"9" * 5_000,
    "nested": b"[" * 900 + b"]" * 900,
    "surrogate in a list": b'["a", "\\udfff"]',
    "surrogate as a name": b'{"\\udfff": 1}',
}


@pytest.mark.parametrize("place", ["services", "name", "cores_milli"])
@pytest.mark.parametrize("fragment", FRAGMENTS.values(), ids=list(FRAGMENTS))
def test_an_odd_value_in_a_sheet_is_reported_or_can_be_sent(place, fragment):
    path = {
        "services": ("services",),
        "name": ("services", 0, "name"),
        "cores_milli": ("services", 0, "resources", "cores_milli"),
    }[place]
    body = odd_input.insert(SHEET, path, fragment)
    result = json_input.decode(body, commands.Sheet)
    if result.is_error():
        assert messages.encode([str(finding) for finding in result.error])
    else:
        data = messages.encode(result.ok)
        assert messages.decode(data, commands.Sheet) == result.ok


def test_a_sound_sheet_is_decoded():
    result = json_input.decode(json.dumps(SHEET).encode(), commands.Sheet)
    assert result.is_ok()
