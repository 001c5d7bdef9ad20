"""A scheduler for colocated latency-critical and batch work.

`Entry` and `Replica` are the processes of a site, `LocalSite` is both in one.
Each has `async run(stop)`; `run_until_signal` runs one until SIGTERM. Every
exception is a `GalenahookError`.
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
    """Loads a public name when it is first used; a role loads only its own."""
    if name not in _PUBLIC_MODULES:
        raise AttributeError(f"module 'galenahook' has no attribute {name!r}")
    return getattr(importlib.import_module(_PUBLIC_MODULES[name]), name)
