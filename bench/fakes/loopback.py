"""Loopback addresses of this process's stand-ins.

Some ports are chosen long before a process binds them, and stay the same while
it is killed and started again. They are below those that the kernel chooses,
on addresses that no other test process uses, so that nothing takes one
meanwhile.
"""

import itertools
import os

# Below the kernel's own choices, which begin at 32,768 by default.
FIRST_PORT = 10_000
LAST_PORT = 30_000

_PREFIX = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}"
HOST = f"{_PREFIX}.2"
# Hosts of processes that share one port, as on VMs of a site.
HOSTS = (f"{_PREFIX}.11", f"{_PREFIX}.12", f"{_PREFIX}.13")

_ports = itertools.cycle(range(FIRST_PORT, LAST_PORT))


def free_port() -> int:
    """Returns a port that nothing has on this process's addresses."""
    return next(_ports)


def free_addresses(count: int) -> list[str]:
    """Returns addresses on `HOST`, all different."""
    return [f"{HOST}:{free_port()}" for _ in range(count)]
