"""The day's plan: services, jobs and quotas."""

from galenahook import messages


class ServiceRow(messages.Message, frozen=True, kw_only=True):
    """A latency-critical service of the sheet.

    Attributes:
      name: Unique name.
      team: Owner, whose quota its instances count against.
      priority: 0 to 100, higher goes first.
      instances: Instances to run, spread over availability zones and racks.
      resources: Declared size of one instance.
      route: Path prefix of its requests.
      tail_target_ms: 99th percentile wanted.
      command: What an instance runs.
    """

    name: str
    team: str
    priority: int
    instances: int
    resources: messages.Resources
    route: str
    tail_target_ms: int
    command: str = ""


class JobRow(messages.Message, frozen=True, kw_only=True):
    """A batch job of the sheet.

    Attributes:
      name: Unique name.
      team: Owner, whose quota its tasks count against.
      priority: 0 to 100, higher goes first.
      job_class: Kind of work, by which run times and interference are learned.
      tasks: Number of tasks.
      resources: Declared size of one task.
      run_ms: Declared run time of one task.
      deadline_ms: Wall time by which all tasks must be done; 0 for none.
      earliest_ms: Wall time before which none starts; 0 for none.
      urgent: Starts before all other batch work.
      unbroken: Evicted only when nothing else helps.
      repeatable: Whether a lost attempt may be run again from its start.
      command: What a task runs.
    """

    name: str
    team: str
    priority: int
    job_class: str
    tasks: int
    resources: messages.Resources
    run_ms: int
    deadline_ms: int = 0
    earliest_ms: int = 0
    urgent: bool = False
    unbroken: bool = False
    repeatable: bool = True
    command: str = ""


class TeamQuota(messages.Message, frozen=True, kw_only=True):
    """Most that a team's tasks may reserve at once."""

    team: str
    resources: messages.Resources


class Sheet(messages.Message, frozen=True, kw_only=True):
    """The day's plan.

    Attributes:
      objective: `tail` or `throughput`; chooses the weights of decisions.
      availability_zones: Availability zones of the site; upstreams may stand
        in others too.
    """

    services: tuple[ServiceRow, ...] = ()
    jobs: tuple[JobRow, ...] = ()
    quotas: tuple[TeamQuota, ...] = ()
    objective: str = "tail"
    availability_zones: tuple[str, ...] = ()
