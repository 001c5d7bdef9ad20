"""Takes an availability zone out of service or back in, with progress."""

import enum

from galenahook import commands
from galenahook.operators import exit_codes
from galenahook.operators import output as output_lib
from galenahook.operators import session as session_lib
from galenahook.operators import wire


class Wait(enum.Enum):
    """What a command waits for after its change was accepted."""

    NO = "no"
    IN_FORCE = "in-force"
    MOVED = "moved"


def parse_wait(text: str) -> Wait:
    """Parses the `--wait` option.

    Raises:
      output_lib.CommandError: The text is not one of the choices.
    """
    try:
        return Wait(text)
    except ValueError:
        choices = ", ".join(choice.value for choice in Wait)
        raise output_lib.CommandError(
            exit_codes.USAGE, f"--wait {text}: expected one of {choices}"
        ) from None


async def take_out(
    session: session_lib.Session,
    name: str,
    options: session_lib.ChangeOptions,
    wait: Wait,
    timeout_ms: int,
) -> None:
    """Takes an availability zone out of service and waits for its tasks."""
    change = commands.AvailabilityZoneOut(availability_zone=name)
    accepted = await session.change(change, options)
    session.output.progress(f"accepted as revision {accepted.revision}")
    if wait is not Wait.NO:
        await _wait_in_force(session, accepted.revision, timeout_ms)
    if wait is Wait.MOVED:
        await session.wait_until(
            f"moved out of {name}",
            lambda status: _remaining_tasks(status, name) == 0,
            lambda status: _evacuation_progress(status, name),
            timeout_ms,
        )
    session.output.show(
        accepted,
        [f"availability zone {name} is out of service, {_describe_wait(wait)}"],
    )


async def bring_in(
    session: session_lib.Session,
    name: str,
    options: session_lib.ChangeOptions,
    wait: Wait,
    timeout_ms: int,
) -> None:
    """Brings a zone back into service and waits until that is in force."""
    change = commands.AvailabilityZoneIn(availability_zone=name)
    accepted = await session.change(change, options)
    session.output.progress(f"accepted as revision {accepted.revision}")
    if wait is not Wait.NO:
        await _wait_in_force(session, accepted.revision, timeout_ms)
    session.output.show(
        accepted,
        [f"availability zone {name} is in service; work returns gradually"],
    )


async def _wait_in_force(
    session: session_lib.Session, revision: int, timeout_ms: int
) -> None:
    await session.wait_until(
        "in force everywhere",
        lambda status: status.in_force and status.revision >= revision,
        _in_force_progress,
        timeout_ms,
    )


def _in_force_progress(status: wire.StatusReply) -> str:
    if status.in_force:
        return f"revision {status.revision} is in force everywhere"
    behind = [entry.name for entry in status.entries if entry.behind]
    if behind:
        return f"waiting for entries: {', '.join(behind)}"
    return "waiting for start orders of earlier revisions to expire"


def _remaining_tasks(status: wire.StatusReply, name: str) -> int:
    return sum(
        zone.service_tasks + zone.batch_tasks
        for zone in status.availability_zones
        if zone.name == name
    )


def _evacuation_progress(status: wire.StatusReply, name: str) -> str:
    for zone in status.availability_zones:
        if zone.name == name:
            return (
                f"{name}: {zone.service_tasks} service and"
                f" {zone.batch_tasks} batch tasks left"
            )
    return f"{name}: unknown to the leader"


def _describe_wait(wait: Wait) -> str:
    match wait:
        case Wait.NO:
            return "accepted but possibly not yet in force"
        case Wait.IN_FORCE:
            return "in force everywhere"
        case Wait.MOVED:
            return "in force everywhere, and no work is left there"
