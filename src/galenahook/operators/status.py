"""Builds the status of the site that operators see."""

import collections
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import itertools

from galenahook import commands
from galenahook import configuration as configuration_lib
from galenahook import entries as entries_lib
from galenahook import leader as leader_lib
from galenahook.operators import change_checks
from galenahook.operators import revision_tracker as revision_tracker_lib
from galenahook.operators import wire
from galenahook.replicas import node as node_lib
from galenahook.scheduling import tasks as tasks_lib
from galenahook.upstreams import executors as executors_lib
from galenahook.upstreams import workers as workers_lib

_MAX_NAMES_LISTED = 50


@dataclasses.dataclass(slots=True, frozen=True)
class View:
    """A consistent copy of the leader's state, safe to read in a thread.

    Attributes:
      node_name: Name of the leader.
      term: Its term.
      current: Current configuration.
      revision: Its revision and whether that is in force.
      records: Tasks by identifier.
      workers: Workers that have announced themselves, by name.
      unresponsive: Workers whose last announcement is older than the time to
        live of a start.
      quarantined: Workers that get no work because of repeated failures.
      in_doubt: Tasks that may or may not have run.
      blocked: Why jobs and services wait, by `job/NAME` or `service/NAME`.
      executors: Executors that have announced themselves, by name.
      entries: Entries that have sent an update.
      replicas: Replicas of the group.
      availability_zones: Name of every known availability zone.
    """

    node_name: str
    term: int
    current: configuration_lib.ConfigurationRecord
    revision: wire.RevisionReply
    records: Mapping[str, tasks_lib.TaskRecord]
    workers: Mapping[str, workers_lib.Worker]
    unresponsive: tuple[str, ...]
    quarantined: tuple[str, ...]
    in_doubt: tuple[str, ...]
    blocked: Mapping[str, str]
    executors: Mapping[str, executors_lib.ExecutorRecord]
    entries: tuple[wire.EntryStatus, ...]
    replicas: tuple[wire.ReplicaLine, ...]
    availability_zones: frozenset[str]


def take_view(
    leader: leader_lib.Leader,
    revision_tracker: revision_tracker_lib.RevisionTracker,
) -> View:
    """Copies the leader's state; `build` may then run in another thread."""
    node = leader.node
    revision = revision_tracker.revision()
    return View(
        node_name=node.name,
        term=node.term(),
        current=node.state.configuration.current,
        revision=revision,
        records=dict(node.state.tasks.records),
        workers=dict(leader.workers.workers),
        unresponsive=tuple(
            sorted(
                name
                for name, worker in leader.workers.workers.items()
                if leader.workers.is_unresponsive(worker)
            )
        ),
        quarantined=tuple(_quarantined_workers(leader)),
        in_doubt=tuple(node.state.tasks.in_doubt),
        blocked=dict(leader.scheduler.decisions.blocked),
        executors=dict(leader.executors.records),
        entries=tuple(_entry_statuses(leader, revision)),
        replicas=tuple(_replica_lines(node)),
        availability_zones=frozenset(change_checks.availability_zones(leader)),
    )


def _quarantined_workers(leader: leader_lib.Leader) -> Iterator[str]:
    quarantine = leader.scheduler.context.quarantine
    for name in sorted(leader.workers.workers):
        if quarantine.is_quarantined(name):
            yield name


def _entry_statuses(
    leader: leader_lib.Leader, revision: wire.RevisionReply
) -> Iterator[wire.EntryStatus]:
    for record in sorted(leader.entries.records.values(), key=_entry_name):
        yield wire.EntryStatus(
            name=record.name,
            availability_zone=record.availability_zone,
            revision=record.revision,
            leaving=record.leaving,
            behind=record.name in revision.behind,
        )


def _entry_name(record: entries_lib.EntryRecord) -> str:
    return str(record.name)


def _replica_lines(node: node_lib.Node) -> Iterator[wire.ReplicaLine]:
    status = node.status()
    silent_ms = {peer.name: peer.silent_ms for peer in status.peers}
    synced = {peer.name: peer.synced_index for peer in status.peers}
    for voter, texts in ((True, status.members), (False, status.learners)):
        for text in texts:
            name, _, rest = text.partition("=")
            is_leader = name == status.name
            yield wire.ReplicaLine(
                name=name,
                address=rest.partition("#")[0],
                voter=voter,
                silent_ms=0 if is_leader else silent_ms.get(name, -1),
                behind=0
                if is_leader
                else status.last_index - synced.get(name, 0),
            )


def build(view: View) -> wire.StatusReply:
    """Builds the status from a view."""
    current = view.current
    phases = _count_phases(view)
    return wire.StatusReply(
        leader=view.node_name,
        term=view.term,
        revision=view.revision.revision,
        in_force=view.revision.in_force,
        objective=current.objective,
        replicas=view.replicas,
        entries=view.entries,
        availability_zones=tuple(_availability_zone_statuses(view)),
        services=tuple(_service_statuses(view, phases)),
        jobs=_job_counts(view, phases),
        workers=len(view.workers),
        executors=len(view.executors),
        leaving=_leaving_upstreams(view),
        silent=view.unresponsive[:_MAX_NAMES_LISTED],
        drained=tuple(sorted(current.drained))[:_MAX_NAMES_LISTED],
        quarantined=view.quarantined[:_MAX_NAMES_LISTED],
        in_doubt=view.in_doubt[:_MAX_NAMES_LISTED],
        short=tuple(_problem_lines(view, phases)),
    )


Phases = Mapping[str, Mapping[tasks_lib.Phase, int]]


def _count_phases(view: View) -> Phases:
    """Counts tasks by `service/NAME` or `job/NAME`, and by phase."""
    counts: dict[str, dict[tasks_lib.Phase, int]] = {}
    for task, record in view.records.items():
        owner = task.rpartition("/")[0]
        phases = counts.setdefault(owner, {})
        phases[record.phase] = phases.get(record.phase, 0) + 1
    return counts


def _availability_zone_statuses(
    view: View,
) -> Iterator[wire.AvailabilityZoneStatus]:
    executors = collections.Counter(
        executor.announcement.availability_zone
        for executor in view.executors.values()
    )
    zone_by_worker = {
        name: worker.announcement.availability_zone
        for name, worker in view.workers.items()
    }
    workers = collections.Counter(zone_by_worker.values())
    held: dict[str, dict[str, int]] = {}
    for task, record in view.records.items():
        if record.phase is tasks_lib.Phase.HELD:
            kind = task.partition("/")[0]
            counts = held.setdefault(zone_by_worker.get(record.worker, ""), {})
            counts[kind] = counts.get(kind, 0) + 1
    for name in sorted(view.availability_zones):
        counts = held.get(name, {})
        yield wire.AvailabilityZoneStatus(
            name=name,
            out=name in view.current.availability_zones_out,
            workers=workers[name],
            executors=executors[name],
            service_tasks=counts.get("service", 0),
            batch_tasks=counts.get("job", 0),
        )


def _service_statuses(
    view: View, phases: Phases
) -> Iterator[wire.ServiceStatus]:
    executors = collections.Counter(
        executor.announcement.service for executor in view.executors.values()
    )
    for name, row in sorted(view.current.services.items()):
        counts = phases.get(f"service/{name}", {})
        yield wire.ServiceStatus(
            name=name,
            instances=row.instances,
            held=counts.get(tasks_lib.Phase.HELD, 0),
            executors=executors[name],
        )


def _job_counts(view: View, phases: Phases) -> wire.JobCounts:
    totals = dict.fromkeys(tasks_lib.Phase, 0)
    for name in view.current.jobs:
        for phase, count in phases.get(f"job/{name}", {}).items():
            totals[phase] += count
    return wire.JobCounts(
        jobs=len(view.current.jobs),
        tasks_pending=totals[tasks_lib.Phase.PENDING],
        tasks_held=totals[tasks_lib.Phase.HELD],
        tasks_done=totals[tasks_lib.Phase.DONE],
        tasks_failed=totals[tasks_lib.Phase.FAILED],
        tasks_cancelled=totals[tasks_lib.Phase.CANCELLED],
    )


def list_jobs(view: View) -> wire.JobsReply:
    """Lists the sheet's jobs, earliest deadline first."""
    phases = _count_phases(view)
    rows = sorted(view.current.jobs.values(), key=_job_sort_key)
    return wire.JobsReply(
        jobs=tuple(_job_status(view, row, phases) for row in rows)
    )


def _job_sort_key(row: commands.JobRow) -> tuple[bool, int, str]:
    return row.deadline_ms == 0, row.deadline_ms, row.name


def _job_status(
    view: View, row: commands.JobRow, phases: Phases
) -> wire.JobStatus:
    counts = phases.get(f"job/{row.name}", {})
    return wire.JobStatus(
        name=row.name,
        team=row.team,
        priority=row.priority,
        deadline_ms=row.deadline_ms,
        cancelled=row.name in view.current.cancelled,
        pending=counts.get(tasks_lib.Phase.PENDING, 0),
        held=counts.get(tasks_lib.Phase.HELD, 0),
        done=counts.get(tasks_lib.Phase.DONE, 0),
        failed=counts.get(tasks_lib.Phase.FAILED, 0),
    )


def _leaving_upstreams(view: View) -> tuple[str, ...]:
    announcements = [
        *(worker.announcement for worker in view.workers.values()),
        *(executor.announcement for executor in view.executors.values()),
    ]
    names = [item.name for item in announcements if item.leaving]
    return tuple(sorted(names))[:_MAX_NAMES_LISTED]


def _problem_lines(view: View, phases: Phases) -> Iterator[str]:
    """Yields a line of text for each problem."""
    for service in _service_statuses(view, phases):
        if service.held < service.instances:
            yield (
                f"service {service.name}: {service.held} of"
                f" {service.instances} instances are placed"
            )
        if not service.executors:
            yield f"service {service.name}: no executor has announced itself"
    for name in sorted(view.current.jobs):
        failed = phases.get(f"job/{name}", {}).get(tasks_lib.Phase.FAILED, 0)
        if failed:
            yield f"job {name}: {failed} tasks failed permanently"
    for owner, reason in itertools.islice(
        view.blocked.items(), _MAX_NAMES_LISTED
    ):
        yield f"{owner.replace('/', ' ', 1)}: {reason}"
    for replica in view.replicas:
        if replica.silent_ms < 0:
            yield f"replica {replica.name}: no reply to the leader in this term"
