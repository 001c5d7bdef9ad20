"""Checks names of jobs in operators' commands."""

from galenahook.operators import exit_codes
from galenahook.operators import output as output_lib
from galenahook.operators import session as session_lib
from galenahook.operators import wire

_MAX_NAMES_SHOWN = 5


async def check_known(
    session: session_lib.Session, names: tuple[str, ...]
) -> None:
    """Checks that each name is a job's full name, with its day if it has one.

    The leader accepts unknown names, so that a batch of cancellations can be
    sent again. A misspelled name is therefore reported here.

    Raises:
      output_lib.CommandError: A name is not known.
    """
    reply = await session.client.get(wire.JOBS_TARGET, wire.JobsReply)
    known = {job.name for job in reply.jobs}
    faults = [_unknown_job(name, known) for name in names if name not in known]
    if faults:
        raise output_lib.CommandError(exit_codes.INVALID, "; ".join(faults))


def _unknown_job(name: str, known: set[str]) -> str:
    similar = sorted(other for other in known if other.startswith(name))
    if not similar:
        return f"unknown job {name!r}"
    return f"unknown job {name!r}; known: " + ", ".join(
        similar[:_MAX_NAMES_SHOWN]
    )
