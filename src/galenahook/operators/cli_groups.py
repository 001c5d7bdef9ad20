"""Command groups: sheet, job, replica-member."""

import fire.decorators

from galenahook import commands
from galenahook.operators import cli_actions
from galenahook.operators import daemons
from galenahook.operators import exit_codes
from galenahook.operators import jobs
from galenahook.operators import replica_members
from galenahook.operators import reports
from galenahook.operators import session as session_lib
from galenahook.operators import wire

_TEXT = fire.decorators.SetParseFn(str)


class SheetCommands:
    """The planners' sheet: check, diff, apply.

    Examples:
      galenahook sheet check today.csv
      galenahook sheet diff today.csv --client client.json
      galenahook sheet apply today.csv --client client.json
    """

    def __init__(self, options: cli_actions.Options) -> None:
        self._options = options

    @_TEXT
    def check(self, file: str) -> cli_actions.Action:
        """Checks a sheet without a site; nothing is applied.

        Args:
          file: CSV as exported, or JSON if its name ends in .json.
        """

        def run() -> None:
            sheet = cli_actions.load_sheet(file)
            self._options.output.show(
                wire.SheetFindings(),
                [
                    f"{file}: no faults; {len(sheet.services)} services,"
                    f" {len(sheet.jobs)} jobs, {len(sheet.quotas)} quotas"
                ],
            )

        return cli_actions.Action(run)

    @_TEXT
    def diff(self, file: str) -> cli_actions.Action:
        """Shows what applying a sheet would change.

        Args:
          file: CSV as exported, or JSON if its name ends in .json.
        """

        async def run(session: session_lib.Session) -> None:
            difference = await session.client.post(
                wire.SHEET_DIFF_TARGET,
                daemons.encode_sheet(cli_actions.load_sheet(file)),
                b"application/json",
                wire.SheetDifference,
            )
            self._options.output.show(
                difference, reports.difference_lines(difference)
            )

        return self._options.action(run)

    @fire.decorators.SetParseFns(
        number=cli_actions.parse_integer,
        base_revision=cli_actions.parse_integer,
        file=str,
    )
    def apply(
        self, file: str, number: int = 0, base_revision: int = -1
    ) -> cli_actions.Action:
        """Applies a whole sheet.

        Args:
          file: CSV as exported, or JSON if its name ends in .json.
          number: Number of the change, to resend one whose response was lost.
          base_revision: Revision that `sheet diff` showed; if another change
            was accepted since, nothing is applied.
        """
        options = session_lib.ChangeOptions(
            number=number, base_revision=base_revision
        )

        async def run(session: session_lib.Session) -> None:
            change = commands.ApplySheet(sheet=cli_actions.load_sheet(file))
            accepted = await session.change(change, options)
            self._options.output.show(
                accepted, [f"applied as revision {accepted.revision}"]
            )

        return self._options.action(run)


class JobCommands:
    """Jobs during the day: list, cancel, put.

    Examples:
      galenahook job list
      galenahook job cancel cutting-plan@2026-03-31 drying-watch@2026-03-31
      galenahook job put job.json
    """

    def __init__(self, options: cli_actions.Options) -> None:
        self._options = options

    def list(self) -> cli_actions.Action:
        """Lists the sheet's jobs with their tasks by phase."""

        async def run(session: session_lib.Session) -> None:
            reply = await session.client.get(wire.JOBS_TARGET, wire.JobsReply)
            self._options.output.show(reply, reports.job_lines(reply))

        return self._options.action(run)

    @_TEXT
    def cancel(self, *names: str) -> cli_actions.Action:
        """Cancels jobs; one that has ended is left as it is.

        Args:
          names: Names of jobs.
        """
        if not names:
            raise cli_actions.CommandError(
                exit_codes.USAGE, "name at least one job"
            )

        async def run(session: session_lib.Session) -> None:
            await jobs.check_known(session, names)
            accepted = await session.change(
                commands.CancelJobs(names=names),
                session_lib.ChangeOptions(rebase=True),
            )
            self._options.output.show(
                accepted, [f"accepted as revision {accepted.revision}"]
            )

        return self._options.action(run)

    @fire.decorators.SetParseFns(
        number=cli_actions.parse_integer,
        base_revision=cli_actions.parse_integer,
        file=str,
    )
    def put(
        self, file: str, number: int = 0, base_revision: int = -1
    ) -> cli_actions.Action:
        """Adds a job, or changes one; a cancelled one is resumed.

        Args:
          file: JSON of one job, as in a sheet's `jobs`.
          number: Number of the change, to resend one whose response was lost.
          base_revision: Revision that the change is based on.
        """
        options = session_lib.ChangeOptions(
            number=number, base_revision=base_revision
        )
        loaded = daemons.load_job(file)
        if loaded.is_error():
            raise cli_actions.CommandError(
                exit_codes.INVALID, "invalid job", loaded.error
            )
        return self._options.change(commands.PutJob(job=loaded.ok), options)


class ReplicaMemberCommands:
    """Members of the group of replicas: list, add, remove, replace.

    Examples:
      galenahook replica-member list
      galenahook replica-member add replica-4 10.0.0.14:7000
      galenahook replica-member remove replica-2
      galenahook replica-member replace replica-2
    """

    def __init__(self, options: cli_actions.Options) -> None:
        self._options = options

    def list(self) -> cli_actions.Action:
        """Lists the replicas of the group."""

        async def run(session: session_lib.Session) -> None:
            status = await session.status()
            self._options.output.show(
                status.replicas, reports.replica_lines(status)
            )

        return self._options.action(run)

    @fire.decorators.SetParseFns(
        name=str, address=str, timeout_s=cli_actions.parse_integer
    )
    def add(
        self,
        name: str,
        address: str,
        timeout_s: int = cli_actions.PROGRESS_TIMEOUT_S,
    ) -> cli_actions.Action:
        """Adds a replica, which must run with an empty data folder.

        It receives the log without a vote until it has caught up.

        Args:
          name: Name of the replica in its settings.
          address: `host:port` of its `peers` listener.
          timeout_s: Longest wait for it to catch up, in seconds.
        """
        return self._options.action(
            lambda session: replica_members.add(
                session, name, address, timeout_s * 1_000
            )
        )

    @_TEXT
    def remove(self, name: str) -> cli_actions.Action:
        """Removes a replica.

        Args:
          name: Name of the replica.
        """
        return self._options.action(
            lambda session: replica_members.remove(session, name)
        )

    @fire.decorators.SetParseFns(
        name=str, address=str, timeout_s=cli_actions.parse_integer
    )
    def replace(
        self,
        name: str,
        address: str = "",
        timeout_s: int = cli_actions.PROGRESS_TIMEOUT_S,
    ) -> cli_actions.Action:
        """Readmits a replica that lost its disk.

        Start its process again first, on an empty data folder.

        Args:
          name: Name of the replica.
          address: `host:port` of its `peers` listener, if it has changed.
          timeout_s: Longest wait for it to catch up, in seconds.
        """
        return self._options.action(
            lambda session: replica_members.replace(
                session, name, address, timeout_s * 1_000
            )
        )
