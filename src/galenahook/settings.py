"""Settings of a process, as its JSON file has them."""

from galenahook import defaults
from galenahook import messages


class Listener(messages.Message, frozen=True, kw_only=True):
    """One listening address.

    Attributes:
      listen: `host:port` to bind; port 0 lets the kernel choose.
      advertise: `host:port` that peers are told; `listen` if empty.
    """

    listen: str
    advertise: str = ""


class Timing(messages.Message, frozen=True, kw_only=True):
    """Periods that a site may change; all in milliseconds."""

    entry_lease_ms: int = defaults.ENTRY_LEASE_MS
    entry_update_period_ms: int = defaults.ENTRY_UPDATE_PERIOD_MS
    worker_lease_ms: int = defaults.WORKER_LEASE_MS
    start_ttl_ms: int = defaults.START_TTL_MS
    heartbeat_period_ms: int = defaults.HEARTBEAT_PERIOD_MS
    election_timeout_min_ms: int = defaults.ELECTION_TIMEOUT_MIN_MS
    election_timeout_max_ms: int = defaults.ELECTION_TIMEOUT_MAX_MS
    leader_lease_ms: int = defaults.LEADER_LEASE_MS
    drain_notice_ms: int = defaults.DRAIN_NOTICE_MS
    drain_timeout_ms: int = defaults.DRAIN_TIMEOUT_MS


class EntrySettings(messages.Message, frozen=True, kw_only=True):
    """Settings of an entry.

    Attributes:
      name: Unique name of the process.
      site: Name of the site.
      availability_zone: Where the process stands.
      callers: Listener of callers.
      upstreams: Listener of announcements and reports.
      operators: Listener of operators.
      platform: Listener of the balancer's health checks.
      replicas: Address of each replica by name.
      site_key_file: File with the key that the site's processes share.
      operator_tokens_file: JSON file of each operator's token by name.
      statsd: `host:port` of statsd, or an empty string for none.
      log_file: File for JSON lines; standard error if empty.
      timing: Periods.
    """

    name: str
    site: str
    availability_zone: str
    callers: Listener
    upstreams: Listener
    operators: Listener
    platform: Listener
    replicas: dict[str, str]
    site_key_file: str
    operator_tokens_file: str
    statsd: str = ""
    log_file: str = ""
    timing: Timing = Timing()


class ReplicaSettings(messages.Message, frozen=True, kw_only=True):
    """Settings of a replica.

    Attributes:
      name: Unique name of the process; its voting name while its data lasts.
      site: Name of the site.
      availability_zone: Where the process stands.
      peers: Listener of entries and other replicas.
      platform: Listener of health checks.
      replicas: Address of each replica by name, itself included.
      data_folder: Folder of the log, snapshots and audit trail.
      may_found: Whether an empty data folder may take part in founding; false
        for a replica that may have lost its disk.
      joins_by_itself: Whether it asks to be admitted, and admits others,
        without an operator.
      site_key_file: File with the key that the site's processes share.
      statsd: `host:port` of statsd, or an empty string for none.
      log_file: File for JSON lines; standard error if empty.
      timing: Periods.
    """

    name: str
    site: str
    availability_zone: str
    peers: Listener
    platform: Listener
    replicas: dict[str, str]
    data_folder: str
    site_key_file: str
    may_found: bool = True
    joins_by_itself: bool = False
    statsd: str = ""
    log_file: str = ""
    timing: Timing = Timing()


class JobEntrySettings(messages.Message, frozen=True, kw_only=True):
    """Settings of an entry of jobs on a platform.

    Attributes:
      name: Unique name of the process.
      availability_zone: Where the process stands.
      callers: Listener of callers.
      platform: Listener of the balancer's health checks.
      metrics: Listener of whoever collects metrics.
      seeds: `host:port` of some replicas' platform listeners; only the hosts
        count.
      peer_port: Port on which every replica listens for its peers.
      stop_ms: Most time from SIGTERM to the end of the process.
    """

    name: str
    availability_zone: str
    callers: Listener
    platform: Listener
    metrics: Listener
    seeds: tuple[str, ...]
    peer_port: int
    stop_ms: int


class JobReplicaSettings(messages.Message, frozen=True, kw_only=True):
    """Settings of a replica of jobs on a platform.

    Attributes:
      name: Unique name of the process, for its logs.
      availability_zone: Where the process stands.
      control: Listener of workers and operators.
      metrics: Listener of whoever collects metrics.
      host: IPv4 number of the VM, which names the replica among its peers.
      seeds: `host:port` of some replicas' control listeners.
      peer_port: Port on which every replica listens for its peers.
      data_folder: Folder of the log and snapshots.
      may_found: Whether an empty data folder may take part in founding.
      worker_lease_ms: Length of a worker's lease, at most what workers allow.
      stop_ms: Most time from SIGTERM to the end of the process.
      timing: Periods of the consensus.
    """

    name: str
    availability_zone: str
    control: Listener
    metrics: Listener
    host: str
    seeds: tuple[str, ...]
    peer_port: int
    data_folder: str
    may_found: bool
    worker_lease_ms: int
    stop_ms: int
    timing: Timing = Timing()

    def replica(self) -> ReplicaSettings:
        """Returns the settings of the consensus part."""
        address = f"{self.host}:{self.peer_port}"
        return ReplicaSettings(
            name=self.host,
            site=self.name,
            availability_zone=self.availability_zone,
            peers=Listener(listen=address),
            platform=self.control,
            replicas=peer_addresses(self.seeds, self.peer_port),
            data_folder=self.data_folder,
            site_key_file="",
            may_found=self.may_found,
            joins_by_itself=True,
            timing=self.timing,
        )


def peer_addresses(seeds: tuple[str, ...], peer_port: int) -> dict[str, str]:
    """Returns where the replicas on the seeds' hosts listen for peers."""
    hosts = [seed.rpartition(":")[0] for seed in seeds]
    return {host: f"{host}:{peer_port}" for host in hosts}


Settings = (
    EntrySettings | ReplicaSettings | JobEntrySettings | JobReplicaSettings
)
