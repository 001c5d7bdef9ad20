"""A site in one process: one replica and one entry."""

import dataclasses
import pathlib
import secrets

import curio

from galenahook import clock as clock_lib
from galenahook import entry as entry_lib
from galenahook import messages
from galenahook import replica as replica_lib
from galenahook import settings as settings_lib

OPERATOR = "local"

_LOOPBACK = "127.0.0.1"
_SECRET_BYTES = 32


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
        """Runs until `stop` is set; the entry stops before the replica."""
        replica_stop = curio.Event()
        replica = await curio.spawn(self.replica.run, replica_stop)
        await self.entry.run(stop)
        await replica_stop.set()
        await replica.join()


@dataclasses.dataclass(slots=True, frozen=True)
class Ports:
    """Ports of a local site's listeners."""

    callers: int
    upstreams: int
    operators: int
    platform: int
    peers: int


def consecutive_ports(first: int) -> Ports:
    """Returns the ports of a local site, numbered from `first`."""
    return Ports(
        callers=first,
        upstreams=first + 1,
        operators=first + 2,
        platform=first + 3,
        peers=first + 4,
    )


def build(folder: str, ports: Ports) -> LocalSite:
    """Builds a site on loopback that stores its state in `folder`."""
    root = pathlib.Path(folder)
    data_folder = root / "replica"
    data_folder.mkdir(parents=True, exist_ok=True)
    key_file = root / "site.key"
    tokens_file = root / "operators.json"
    if not key_file.exists():
        _write_secret(key_file, secrets.token_hex(_SECRET_BYTES).encode())
    if not tokens_file.exists():
        tokens = {OPERATOR: secrets.token_hex(_SECRET_BYTES)}
        _write_secret(tokens_file, messages.encode(tokens))
    replicas = {"replica-1": f"{_LOOPBACK}:{ports.peers}"}
    replica_settings = settings_lib.ReplicaSettings(
        name="replica-1",
        site="local",
        availability_zone="local",
        peers=_listener(ports.peers),
        platform=_listener(0),
        replicas=replicas,
        data_folder=str(data_folder),
        site_key_file=str(key_file),
    )
    entry_settings = settings_lib.EntrySettings(
        name="entry-1",
        site="local",
        availability_zone="local",
        callers=_listener(ports.callers),
        upstreams=_listener(ports.upstreams),
        operators=_listener(ports.operators),
        platform=_listener(ports.platform),
        replicas=replicas,
        site_key_file=str(key_file),
        operator_tokens_file=str(tokens_file),
    )
    return LocalSite(replica_settings, entry_settings, clock_lib.Clock())


def _write_secret(path: pathlib.Path, data: bytes) -> None:
    """Writes a file that only its owner may read."""
    path.touch(mode=0o600)
    path.write_bytes(data)


def _listener(port: int) -> settings_lib.Listener:
    return settings_lib.Listener(listen=f"{_LOOPBACK}:{port}")
