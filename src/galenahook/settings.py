"""Settings of a process, in the form of its JSON file."""

from galenahook import defaults
from galenahook import messages


class Listener(messages.Message, frozen=True, kw_only=True):
    """One listening address.

    Attributes:
      listen: `host:port` to bind; port 0 lets the kernel choose.
      advertise: `host:port` that peers connect to; `listen` if empty.
    """

    listen: str
    advertise: str = ""


class Timing(messages.Message, frozen=True, kw_only=True):
    """Configurable periods and time limits, all in milliseconds."""

    entry_lease_ms: int = defaults.ENTRY_LEASE_MS
    entry_update_period_ms: int = defaults.ENTRY_UPDATE_PERIOD_MS
    worker_lease_ms: int = defaults.WORKER_LEASE_MS
    start_ttl_ms: int = defaults.START_ORDER_TTL_MS
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
      availability_zone: Availability zone of the process.
      callers: Listener for callers.
      upstreams: Listener for announcements and reports of upstreams.
      operators: Listener for operators.
      platform: Listener for the balancer's health checks.
      replicas: Address of each replica by name.
      site_key_file: File with the key shared by the site's processes.
      operator_tokens_file: JSON file that maps operator names to tokens.
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
      name: Unique name of the process; identifies it as a voter for as long as
        its data is kept.
      site: Name of the site.
      availability_zone: Availability zone of the process.
      peers: Listener for entries and other replicas.
      platform: Listener for health checks.
      replicas: Address of each replica by name, including this one.
      data_folder: Folder of the log, snapshots and audit trail.
      may_found: Whether a replica with an empty data folder may take part in
        bootstrapping a cluster; false if it may have lost its disk.
      joins_by_itself: Whether it requests membership, and admits others,
        without an operator.
      site_key_file: File with the key shared by the site's processes.
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
    """Settings of a job entry on a platform.

    Attributes:
      name: Unique name of the process.
      availability_zone: Availability zone of the process.
      callers: Listener for callers.
      platform: Listener for the balancer's health checks.
      metrics: Listener for metrics collection.
      seeds: `host:port` of some replicas' control listeners; only the hosts are
        used.
      peer_port: Port on which every replica listens for its peers.
      stop_ms: Maximum time from SIGTERM to the exit of the process.
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
    """Settings of a job replica on a platform.

    Attributes:
      name: Unique name of the process, used in its logs.
      availability_zone: Availability zone of the process.
      control: Listener for workers and operators.
      metrics: Listener for metrics collection.
      host: IPv4 address of the VM; also the replica's name among its peers.
      seeds: `host:port` of some replicas' control listeners.
      peer_port: Port on which every replica listens for its peers.
      data_folder: Folder of the log and snapshots.
      may_found: Whether a replica with an empty data folder may take part in
        bootstrapping a cluster.
      worker_lease_ms: Duration of a worker's lease; must not exceed the
        maximum that workers accept.
      worker_heartbeat_ms: Time between two heartbeats of a worker.
      stop_ms: Maximum time from SIGTERM to the exit of the process.
      timing: Periods of the consensus protocol.
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
    worker_heartbeat_ms: int = 1_500
    stop_ms: int
    timing: Timing = Timing()

    def consensus_settings(self) -> ReplicaSettings:
        """Returns the settings of the consensus node."""
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
    """Returns the peer address of the replica on each seed's host, by host."""
    hosts = [seed.rpartition(":")[0] for seed in seeds]
    return {host: f"{host}:{peer_port}" for host in hosts}


Settings = (
    EntrySettings | ReplicaSettings | JobEntrySettings | JobReplicaSettings
)
