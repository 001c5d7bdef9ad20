"""Public names of the root package."""

import pytest

import galenahook


@pytest.mark.parametrize("name", dir(galenahook))
def test_public_name_loads(name: str) -> None:
    assert getattr(galenahook, name).__name__ == name


def test_unknown_name_is_an_attribute_error() -> None:
    with pytest.raises(AttributeError, match="no attribute 'Fleet'"):
        _ = galenahook.Fleet
