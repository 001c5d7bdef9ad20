"""Commands on jobs that callers submit, and on the site they run in."""

from galenahook import messages


class StepDescription(messages.Message, frozen=True, kw_only=True):
    """Tasks of a job that may run side by side.

    Attributes:
      tasks: Number of tasks.
      cpu_millis: Thousandths of a core that one task reserves.
      memory_mb: Memory that one task reserves.
      gpus: Accelerators that one task reserves.
      estimate_ms: Declared run time of one task; often far off.
      after: Indexes of earlier steps whose tasks must all be done first.
      saves_checkpoints: Whether a stopped task resumes from its checkpoint.
      serves: Whether the tasks run until the job is cancelled.
      uses_idle_cpu: Whether the tasks reserve no processors and use what
        other tasks leave idle.
      image: What the tasks run; tasks of one image behave alike.
      tail_target_ms: Bound of the tail of a task that serves; 0 for none.
      max_per_worker: Most tasks of the step on one worker; 0 for any number.
      max_unavailable: Tasks of the step that the system may take away at once;
        -1 for any number.
      required_label: Label that a worker must have; empty for none.
      data_rack: Rack near the data; empty for none.
      one_rack: Whether the tasks are slow on more than one rack.
      together: Whether the tasks only work while all of them run.
      may_duplicate: Whether two runs of a task may overlap.
    """

    tasks: int
    cpu_millis: int = 0
    memory_mb: int = 0
    gpus: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    saves_checkpoints: bool = False
    serves: bool = False
    uses_idle_cpu: bool = False
    image: str = ""
    tail_target_ms: int = 0
    max_per_worker: int = 0
    max_unavailable: int = -1
    required_label: str = ""
    data_rack: str = ""
    one_rack: bool = False
    together: bool = False
    may_duplicate: bool = False


class JobDescription(messages.Message, frozen=True, kw_only=True):
    """A job as it was submitted, with the terms of its queue at that time.

    Attributes:
      job: Identifier that the caller chose.
      queue: Name of the queue.
      service: Pool of workers that run it.
      spec: Text for the workers.
      steps: Steps in the order in which they were submitted.
      priority: 0 goes first.
      max_attempts: Failed runs of a task after which the job has failed.
      stretch: Run time wanted, as a multiple of the longest chain of steps.
      objective_ms: Time wanted on top of that.
      occurrences: How many times the steps run.
      first_start_ms: Wall time at which the first occurrence is due; 0 for at
        once.
      interval_ms: Time from one occurrence to the next.
    """

    job: str
    queue: str
    service: str
    spec: str
    steps: tuple[StepDescription, ...]
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_ms: int = 0
    occurrences: int = 1
    first_start_ms: int = 0
    interval_ms: int = 0


class SubmitJob(messages.Message, frozen=True, kw_only=True, tag="submit-job"):
    """Stores a job; one with an identifier already known changes nothing."""

    description: JobDescription
    at_ms: int


class CancelJob(messages.Message, frozen=True, kw_only=True, tag="cancel-job"):
    """Cancels a job unless it has ended."""

    job: str
    at_ms: int


class RunStart(messages.Message, frozen=True, kw_only=True):
    """A run of a task that is about to be ordered.

    Attributes:
      task: Task identifier.
      run: One more than the task's last run.
      worker: Identifier of the worker.
      born_ms: Start of the worker's incarnation, Unix milliseconds.
    """

    task: str
    run: int
    worker: str
    born_ms: int


class RunEnd(messages.Message, frozen=True, kw_only=True):
    """A run that is proven to have ended.

    Attributes:
      task: Task identifier.
      run: Number of the run.
      outcome: `done`, `failed` or `gone`; a run that is gone was stopped,
        lapsed, or never began.
      checkpoint: From where the next run resumes; empty to keep what is known.
    """

    task: str
    run: int
    outcome: str
    checkpoint: str = ""


class RecordRuns(
    messages.Message, frozen=True, kw_only=True, tag="record-runs"
):
    """Records ends of runs, then starts; no start is ordered before."""

    ends: tuple[RunEnd, ...] = ()
    starts: tuple[RunStart, ...] = ()
    at_ms: int


class PutSite(messages.Message, frozen=True, kw_only=True, tag="put-site"):
    """Replaces the site's queues and services if the version is higher.

    Attributes:
      version: Version that the operator gave.
      document: The configuration as the operator sent it.
      queues: Queues of the configuration.
      services: Names of the services.
      at_ms: Wall time, for the audit trail.
    """

    version: int
    document: str
    queues: tuple["QueueRow", ...]
    services: tuple["ServicePool", ...]
    at_ms: int


class QueueRow(messages.Message, frozen=True, kw_only=True):
    """A queue of jobs.

    Attributes:
      name: Unique name.
      host: Host that callers name.
      path_prefix: Start of the path, before the job's identifier.
      service: Pool of workers that run its tasks.
      timeout_ms: Most time for one request of a caller.
      priority: 0 goes first.
      max_attempts: Failed runs of a task after which the job has failed.
      stretch: Run time wanted, as a multiple of the longest chain of steps.
      objective_ms: Time wanted on top of that.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: int
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_ms: int = 0


class ServicePool(messages.Message, frozen=True, kw_only=True):
    """A pool of workers.

    Attributes:
      name: Unique name.
      checks_capacity: Whether its workers refuse what does not fit.
    """

    name: str
    checks_capacity: bool = False


class SetZoneService(
    messages.Message, frozen=True, kw_only=True, tag="set-zone-service"
):
    """Takes an availability zone out of service, or back."""

    availability_zone: str
    out: bool
    at_ms: int


class LearnedWeight(messages.Message, frozen=True, kw_only=True):
    """What one image beside another that serves costs the latter's headroom.

    Attributes:
      serving: Image that serves.
      beside: Image beside it.
      value: Fall of the headroom if the image took the whole worker.
      variance: How uncertain the value is.
    """

    serving: str
    beside: str
    value: float
    variance: float


class LearnedLevel(messages.Message, frozen=True, kw_only=True):
    """The headroom of a step without work beside, as it swings.

    Attributes:
      step: Job, occurrence and number of the step.
      state: Mean, cosine part and sine part, from the time of the command.
    """

    step: tuple[str, int, int]
    state: tuple[float, float, float]


class KeepLearned(
    messages.Message, frozen=True, kw_only=True, tag="keep-learned"
):
    """Keeps what a leader has learned of tails for the next one.

    Attributes:
      weights: Weights of pairs of images.
      levels: Levels of steps that serve.
      period_ms: Period of their swings.
      at_ms: Wall time at which it was learned.
    """

    weights: tuple[LearnedWeight, ...] = ()
    levels: tuple[LearnedLevel, ...] = ()
    period_ms: int = 0
    at_ms: int = 0
