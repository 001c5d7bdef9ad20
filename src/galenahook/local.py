"""A whole site in one process: one replica and one entry."""

import pathlib
import secrets

import curio

from galenahook import clock as clock_lib
from galenahook import entry as entry_lib
from galenahook import logs
from galenahook import messages
from galenahook import process
from galenahook import replica as replica_lib
from galenahook import settings as settings_lib

OPERATOR = "local"

_LOOPBACK = "127.0.0.1"


class LocalSite:
    """One replica and one entry that run as tasks of one process.

    Attributes:
      entry: The entry, whose listeners callers and operators use.
      replica: The only replica.
    """

    def __init__(
        self,
        replica_settings: settings_lib.ReplicaSettings,
        entry_settings: settings_lib.EntrySettings,
        clock: clock_lib.Clock,
    ) -> None:
        self.replica = replica_lib.Replica(replica_settings, clock)
        self.entry = entry_lib.Entry(entry_settings, clock)

    async def run(self, stop: curio.Event) -> None:
        """Runs until `stop` is set; the entry ends before the replica."""
        replica_stop = curio.Event()
        replica = await curio.spawn(self.replica.run, replica_stop)
        await self.entry.run(stop)
        await replica_stop.set()
        await replica.join()


def build(
    folder: str,
    callers_port: int,
    upstreams_port: int,
    operators_port: int,
    platform_port: int,
    peers_port: int,
) -> LocalSite:
    """Builds a site on loopback, with its state in `folder`."""
    root = pathlib.Path(folder)
    data_folder = root / "replica"
    data_folder.mkdir(parents=True, exist_ok=True)
    key_file = root / "site.key"
    tokens_file = root / "operators.json"
    if not key_file.exists():
        key_file.write_text(secrets.token_hex(32))
    if not tokens_file.exists():
        tokens = {OPERATOR: secrets.token_hex(32)}
        tokens_file.write_bytes(messages.encode(tokens))
    replicas = {"replica-1": f"{_LOOPBACK}:{peers_port}"}
    replica_settings = settings_lib.ReplicaSettings(
        name="replica-1",
        site="local",
        availability_zone="local",
        peers=_listener(peers_port),
        platform=_listener(0),
        replicas=replicas,
        data_folder=str(data_folder),
        site_key_file=str(key_file),
    )
    entry_settings = settings_lib.EntrySettings(
        name="entry-1",
        site="local",
        availability_zone="local",
        callers=_listener(callers_port),
        upstreams=_listener(upstreams_port),
        operators=_listener(operators_port),
        platform=_listener(platform_port),
        replicas=replicas,
        site_key_file=str(key_file),
        operator_tokens_file=str(tokens_file),
    )
    return LocalSite(replica_settings, entry_settings, clock_lib.Clock())


def run(site: LocalSite) -> None:
    """Runs a local site until SIGTERM or SIGINT."""
    logs.start("local", "")
    process.run(site)


def _listener(port: int) -> settings_lib.Listener:
    return settings_lib.Listener(listen=f"{_LOOPBACK}:{port}")
