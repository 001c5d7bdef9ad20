"""Options and fixtures shared by several test files."""

from collections.abc import Iterator
import pathlib

import hypothesis
import pytest

from fakes import site as site_lib

_STEPS_PER_EXAMPLE = 50
_CI_EXAMPLES = 40
_CI_PHASES = (hypothesis.Phase.explicit, hypothesis.Phase.generate)


def pytest_addoption(parser: pytest.Parser) -> None:
    """Adds the option for the length of a manual fuzzing run."""
    parser.addoption(
        "--fuzz-steps",
        type=int,
        default=0,
        help="steps of each stateful test; 0 runs the fixed set of CI",
    )


def pytest_configure(config: pytest.Config) -> None:
    """Configures the fixed set of examples, or a longer seeded run."""
    steps = config.getoption("--fuzz-steps")
    examples = max(1, steps // _STEPS_PER_EXAMPLE) if steps else _CI_EXAMPLES
    hypothesis.settings.register_profile(
        "galenahook",
        max_examples=examples,
        stateful_step_count=_STEPS_PER_EXAMPLE,
        derandomize=not steps,
        phases=_CI_PHASES if not steps else tuple(hypothesis.Phase),
        database=None,
        deadline=None,
        print_blob=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    hypothesis.settings.load_profile("galenahook")


@pytest.fixture
def make_site(tmp_path: pathlib.Path) -> Iterator[object]:
    """Builds sites whose processes are killed when the test ends."""
    sites: list[site_lib.Site] = []

    def make(layout: site_lib.Layout | None = None) -> site_lib.Site:
        site = site_lib.Site(str(tmp_path / f"site-{len(sites)}"), layout)
        sites.append(site)
        return site

    yield make
    for site in sites:
        site.stop()
