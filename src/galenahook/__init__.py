"""A scheduler for colocated latency-critical and batch work.

`Entry` and `Replica` are the two kinds of processes of a site; `LocalSite` runs
one of each in a single process. Each has a method `async run(stop)`, which
`run_until_signal` runs until SIGTERM or SIGINT. The package's own exceptions
derive from `GalenahookError`.
"""

import importlib
from typing import Any

_PUBLIC_MODULES = {
    "Clock": "galenahook.clock",
    "Entry": "galenahook.entry",
    "EntrySettings": "galenahook.settings",
    "GalenahookError": "galenahook.errors",
    "LocalSite": "galenahook.local",
    "Replica": "galenahook.replica",
    "ReplicaSettings": "galenahook.settings",
    "run_until_signal": "galenahook.process",
}


def __dir__() -> list[str]:
    """Lists the public names."""
    return sorted(_PUBLIC_MODULES)


def __getattr__(name: str) -> Any:
    """Imports a public name on first use; a role loads only what it uses."""
    if name not in _PUBLIC_MODULES:
        raise AttributeError(f"module 'galenahook' has no attribute {name!r}")
    return getattr(importlib.import_module(_PUBLIC_MODULES[name]), name)
