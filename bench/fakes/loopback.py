"""Loopback addresses of the fakes and sites of this test process.

Some ports are chosen long before a process binds them, and stay the same while
it is killed and restarted. They are below the ephemeral ports of the kernel, on
addresses that no other test process uses, so that they stay free meanwhile.
"""

import itertools
import os

# Below the ephemeral ports of the kernel, by default from 32,768.
FIRST_PORT = 10_000
LAST_PORT = 30_000

_PREFIX = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}"
HOST = f"{_PREFIX}.2"
# Hosts of processes that share one port number, like the VMs of a site.
HOSTS = tuple(f"{_PREFIX}.{number}" for number in (11, 12, 13, 14, 15))

_ports = itertools.cycle(range(FIRST_PORT, LAST_PORT))


def free_port() -> int:
    """Returns a port that is unused on the addresses of this process."""
    return next(_ports)


def free_addresses(count: int) -> list[str]:
    """Returns distinct addresses on `HOST`."""
    return [f"{HOST}:{free_port()}" for _ in range(count)]
