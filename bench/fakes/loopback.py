"""The loopback address of this process's stand-ins.

Ports that the kernel chose are closed before the processes of a site bind
them. An address of its own keeps the ports of a test run from others that run
beside it.
"""

import os

HOST = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}.2"
