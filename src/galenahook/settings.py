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
    statsd: str = ""
    log_file: str = ""
    timing: Timing = Timing()


Settings = EntrySettings | ReplicaSettings
