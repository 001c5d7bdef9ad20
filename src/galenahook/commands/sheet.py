"""The sheet, the plan of a day: services, jobs and quotas."""

from galenahook import messages


class ServiceRow(messages.Message, frozen=True, kw_only=True):
    """A latency-critical service of the sheet.

    Attributes:
      name: Unique name.
      team: Owner, whose quota its instances count against.
      priority: 0 to 100; higher values go first.
      instances: Instances to run, spread over availability zones and racks.
      resources: Declared size of one instance.
      route: Path prefix of its requests.
      tail_target_ms: Target of the 99th percentile of latency.
      command: Command that an instance runs.
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
      priority: 0 to 100; higher values go first.
      job_class: Class of the work; run times and interference are learned per
        class.
      tasks: Number of tasks.
      resources: Declared size of one task.
      run_ms: Declared run time of one task.
      deadline_ms: Wall time by which all tasks must be completed; 0 for none.
      earliest_ms: Wall time before which no task starts; 0 for none.
      urgent: Whether its tasks start before all other batch tasks.
      unbroken: Whether its tasks are evicted only as a last resort.
      repeatable: Whether a lost attempt may be run again from its start.
      command: Command that a task runs.
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
    """Upper bound on what a team's tasks may reserve at the same time."""

    team: str
    resources: messages.Resources


class Sheet(messages.Message, frozen=True, kw_only=True):
    """The plan of a day.

    Attributes:
      services: Services to run.
      jobs: Batch jobs to run.
      quotas: Quotas of teams.
      objective: `tail` or `throughput`; selects the weights of scheduling
        decisions.
      availability_zones: Availability zones of the site; upstreams may be in
        others too.
    """

    services: tuple[ServiceRow, ...] = ()
    jobs: tuple[JobRow, ...] = ()
    quotas: tuple[TeamQuota, ...] = ()
    objective: str = "tail"
    availability_zones: tuple[str, ...] = ()
