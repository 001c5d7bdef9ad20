"""Transfer of a snapshot to a peer whose entries the log no longer keeps."""

from galenahook import errors
from galenahook.replicas import core as core_lib


async def send_snapshot(core: core_lib.Core, peer: core_lib.Peer) -> None:
    """Sends the newest snapshot in chunks."""
    del core, peer
    raise errors.ExchangeError("no snapshot yet", False)
