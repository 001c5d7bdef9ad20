"""The command line."""

from collections.abc import Awaitable
from collections.abc import Callable
import sys
from typing import Any

import curio
import fire
import fire.decorators

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import errors
from galenahook import settings as settings_lib
from galenahook.operators import availability_zones
from galenahook.operators import client as client_lib
from galenahook.operators import client_settings
from galenahook.operators import daemons
from galenahook.operators import exit_codes
from galenahook.operators import output as output_lib
from galenahook.operators import reports
from galenahook.operators import session as session_lib
from galenahook.operators import sheets
from galenahook.operators import wire

_PROGRESS_TIMEOUT_S = 600

CommandError = output_lib.CommandError


class Action:
    """A command that has been parsed and is run afterwards.

    Nothing runs before the whole line is understood.
    """

    __slots__ = ("_run",)

    def __init__(self, run: Callable[[], None]) -> None:
        self._run = run


class _Options:
    """Options that every operator's command takes."""

    def __init__(
        self, client: str, entry: str, token_file: str, as_json: bool
    ) -> None:
        self.client = client
        self.entry = entry
        self.token_file = token_file
        self.output = output_lib.Output(as_json)

    def action(
        self, run: Callable[[session_lib.Session], Awaitable[None]]
    ) -> Action:
        """Returns an action that needs the site."""
        return Action(lambda: curio.run(self._run_in_session, run))

    async def _run_in_session(
        self, run: Callable[[session_lib.Session], Awaitable[None]]
    ) -> None:
        loaded = client_settings.load(self.client, self.entry, self.token_file)
        if loaded.is_error():
            raise CommandError(
                exit_codes.USAGE, "no access to the site", loaded.error
            )
        clock = clock_lib.Clock()
        client = client_lib.OperatorClient(loaded.ok, clock)
        await run(session_lib.Session(client, self.output, clock))

    def change(
        self, change: commands.Change, options: session_lib.ChangeOptions
    ) -> Action:
        """Returns an action that makes one change."""

        async def run(session: session_lib.Session) -> None:
            accepted = await session.change(change, options)
            self.output.show(
                accepted, [f"accepted as revision {accepted.revision}"]
            )

        return self.action(run)


_TEXT = fire.decorators.SetParseFn(str)


class SheetCommands:
    """The planners' sheet: check, diff, apply.

    Examples:
      galenahook sheet check today.csv
      galenahook sheet diff today.csv --client client.json
      galenahook sheet apply today.csv --client client.json
    """

    def __init__(self, options: _Options) -> None:
        self._options = options

    @_TEXT
    def check(self, file: str) -> Action:
        """Checks a sheet without a site; nothing is applied.

        Args:
          file: CSV as exported, or JSON if its name ends in .json.
        """

        def run() -> None:
            sheet = _load_sheet(file)
            self._options.output.show(
                wire.SheetFindings(),
                [
                    f"{file}: no faults; {len(sheet.services)} services,"
                    f" {len(sheet.jobs)} jobs, {len(sheet.quotas)} quotas"
                ],
            )

        return Action(run)

    @_TEXT
    def diff(self, file: str) -> Action:
        """Shows what applying a sheet would change.

        Args:
          file: CSV as exported, or JSON if its name ends in .json.
        """

        async def run(session: session_lib.Session) -> None:
            difference = await session.client.post(
                wire.SHEET_DIFF_TARGET,
                daemons.encode_sheet(_load_sheet(file)),
                b"application/json",
                wire.SheetDifference,
            )
            self._options.output.show(
                difference, reports.difference_lines(difference)
            )

        return self._options.action(run)

    @fire.decorators.SetParseFns(number=int, base_revision=int, file=str)
    def apply(
        self, file: str, number: int = 0, base_revision: int = -1
    ) -> Action:
        """Applies a whole sheet.

        Args:
          file: CSV as exported, or JSON if its name ends in .json.
          number: Number of the change, to resend one whose answer was lost.
          base_revision: Revision that `sheet diff` showed; if another change
            came between, nothing is applied.
        """
        options = session_lib.ChangeOptions(
            number=number, base_revision=base_revision
        )

        async def run(session: session_lib.Session) -> None:
            change = commands.ApplySheet(sheet=_load_sheet(file))
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

    def __init__(self, options: _Options) -> None:
        self._options = options

    def list(self) -> Action:
        """Lists the sheet's jobs with their tasks by phase."""

        async def run(session: session_lib.Session) -> None:
            reply = await session.client.get(wire.JOBS_TARGET, wire.JobsReply)
            self._options.output.show(reply, reports.job_lines(reply))

        return self._options.action(run)

    @_TEXT
    def cancel(self, *names: str) -> Action:
        """Cancels jobs; one that has ended is left as it is.

        Args:
          names: Names of jobs.
        """
        if not names:
            raise CommandError(exit_codes.USAGE, "name at least one job")
        return self._options.change(
            commands.CancelJobs(names=names),
            session_lib.ChangeOptions(rebase=True),
        )

    @fire.decorators.SetParseFns(number=int, base_revision=int, file=str)
    def put(
        self, file: str, number: int = 0, base_revision: int = -1
    ) -> Action:
        """Adds a job, or changes one; a cancelled one is taken up again.

        Args:
          file: JSON of one job, as in a sheet's `jobs`.
          number: Number of the change, to resend one whose answer was lost.
          base_revision: Revision that the change is based on.
        """
        options = session_lib.ChangeOptions(
            number=number, base_revision=base_revision
        )
        loaded = daemons.load_job(file)
        if loaded.is_error():
            raise CommandError(exit_codes.INVALID, "bad job", loaded.error)
        return self._options.change(commands.PutJob(job=loaded.ok), options)


class ReplicaMemberCommands:
    """Members of the group of replicas: list, add, remove, replace.

    Examples:
      galenahook replica-member list
      galenahook replica-member add replica-4
      galenahook replica-member remove replica-2
      galenahook replica-member replace replica-2
    """

    def __init__(self, options: _Options) -> None:
        self._options = options

    def list(self) -> Action:
        """Lists the replicas of the group."""

        async def run(session: session_lib.Session) -> None:
            status = await session.status()
            self._options.output.show(
                status.replicas, reports.replica_lines(status)
            )

        return self._options.action(run)


class Galenahook:
    """A scheduler for colocated latency-critical and batch work.

    Daemons take `--settings F`. Operators' commands take `--client F`, a JSON
    file with `entries` and `token_file`, or `--entry-address HOST:PORT` and
    `--token-file F`; the environment's GALENAHOOK_CLIENT names the file too.
    Options go after the command. `--json` prints one JSON document.

    Exit codes: 0 done, 1 failure, 2 usage, 3 invalid input, 4 conflict,
    5 no quorum, 6 unknown operator, 7 accepted but not finished in time.

    Examples:
      galenahook entry --settings entry-1.json
      galenahook sheet check today.csv
      galenahook status --client client.json --json
      galenahook availability-zone out zone-b --client client.json
    """

    def __init__(
        self,
        client: str = "",
        entry_address: str = "",
        token_file: str = "",
        json: bool = False,
    ) -> None:
        # `fire` reads a name that looks like a number as one.
        options = _Options(
            str(client), str(entry_address), str(token_file), bool(json)
        )
        self._options = options
        self.sheet = SheetCommands(options)
        self.job = JobCommands(options)
        self.replica_member = ReplicaMemberCommands(options)
        self.availability_zone = {
            "out": self._availability_zone_out,
            "in": self._availability_zone_in,
        }

    # --- Daemons ---

    @_TEXT
    def entry(self, settings: str) -> Action:
        """Runs an entry until SIGTERM.

        Args:
          settings: Settings file.
        """
        return Action(lambda: daemons.run(settings, settings_lib.EntrySettings))

    @_TEXT
    def replica(self, settings: str) -> Action:
        """Runs a replica until SIGTERM.

        Args:
          settings: Settings file.
        """
        return Action(
            lambda: daemons.run(settings, settings_lib.ReplicaSettings)
        )

    @_TEXT
    def check(self, settings: str) -> Action:
        """Checks a settings file and starts nothing.

        Args:
          settings: Settings file of an entry or a replica.
        """

        def run() -> None:
            daemons.load_settings(settings, None)
            self._options.output.show(
                wire.SheetFindings(), [f"{settings}: no faults"]
            )

        return Action(run)

    # --- Questions ---

    def status(self) -> Action:
        """Shows the state of the site."""

        async def run(session: session_lib.Session) -> None:
            status = await session.status()
            self._options.output.show(status, reports.status_lines(status))

        return self._options.action(run)

    @_TEXT
    def explain(
        self, job: str = "", service: str = "", request: str = ""
    ) -> Action:
        """Explains why a job, a service or a request is as it is.

        Args:
          job: Name of a job.
          service: Name of a service.
          request: Identifier from the header x-galenahook-request.
        """
        if sum(map(bool, (job, service, request))) != 1:
            raise CommandError(
                exit_codes.USAGE, "give one of --job, --service, --request"
            )

        async def run(session: session_lib.Session) -> None:
            explanation = await session.client.get(
                wire.EXPLAIN_TARGET,
                wire.Explanation,
                job=job,
                service=service,
                request=request,
            )
            self._options.output.show(
                explanation, [explanation.subject, *explanation.lines]
            )
            if not explanation.known:
                raise CommandError(
                    exit_codes.INVALID, f"{explanation.subject} is not known"
                )

        return self._options.action(run)

    @fire.decorators.SetParseFns(first=int, last=int)
    def audit(self, first: int = 1, last: int = 0) -> Action:
        """Shows accepted changes by revision.

        Args:
          first: First revision.
          last: Last revision; the current one if 0.
        """

        async def run(session: session_lib.Session) -> None:
            await self._show_audit(session, first, last)

        return self._options.action(run)

    async def _show_audit(
        self, session: session_lib.Session, first: int, last: int
    ) -> None:
        while first:
            query = {"from": str(first), "to": str(last or "")}
            reply = await session.client.get(
                wire.AUDIT_TARGET, wire.AuditReply, **query
            )
            self._options.output.show(reply, reports.audit_lines(reply.records))
            first = reply.next_revision

    # --- Changes ---

    @fire.decorators.SetParseFns(name=str, wait=str, timeout_s=int)
    def _availability_zone_out(
        self,
        name: str,
        wait: str = "moved",
        timeout_s: int = _PROGRESS_TIMEOUT_S,
    ) -> Action:
        """Takes an availability zone out of service.

        Args:
          name: Name of the availability zone.
          wait: `no`, `in-force` or `moved`: what to wait for.
          timeout_s: Longest wait in seconds, for each of the two.
        """
        return self._change_zone(
            availability_zones.take_out, name, wait, timeout_s
        )

    @fire.decorators.SetParseFns(name=str, wait=str, timeout_s=int)
    def _availability_zone_in(
        self,
        name: str,
        wait: str = "in-force",
        timeout_s: int = _PROGRESS_TIMEOUT_S,
    ) -> Action:
        """Brings an availability zone back into service.

        Args:
          name: Name of the availability zone.
          wait: `no` or `in-force`: what to wait for.
          timeout_s: Longest wait in seconds.
        """
        return self._change_zone(
            availability_zones.bring_in, name, wait, timeout_s
        )

    def _change_zone(
        self,
        change_zone: Callable[..., Awaitable[None]],
        name: str,
        wait: str,
        timeout_s: int,
    ) -> Action:
        parsed = availability_zones.parse_wait(wait)
        options = session_lib.ChangeOptions(rebase=True)
        return self._options.action(
            lambda session: change_zone(
                session, name, options, parsed, timeout_s * 1_000
            )
        )

    @_TEXT
    def drain(self, upstream: str) -> Action:
        """Gives an upstream no new work and moves its tasks away.

        Args:
          upstream: Name of a worker or executor.
        """
        return self._options.change(
            commands.DrainUpstream(name=upstream),
            session_lib.ChangeOptions(rebase=True),
        )

    @_TEXT
    def undrain(self, upstream: str) -> Action:
        """Lets a drained upstream take work again.

        Args:
          upstream: Name of a worker or executor.
        """
        return self._options.change(
            commands.UndrainUpstream(name=upstream),
            session_lib.ChangeOptions(rebase=True),
        )


def _load_sheet(file: str) -> commands.Sheet:
    loaded = sheets.load(file)
    if loaded.is_error():
        raise CommandError(
            exit_codes.INVALID,
            f"{file}: {len(loaded.error)} faults; nothing was applied",
            loaded.error,
        )
    return loaded.ok


def main(arguments: list[str] | None = None) -> None:
    """Runs one command and exits with its code."""
    arguments = sys.argv[1:] if arguments is None else arguments
    output = output_lib.Output("--json" in arguments)
    try:
        _run(arguments)
    except CommandError as error:
        output.fail(error)
        sys.exit(error.exit_code)
    except client_lib.RefusedError as error:
        code = _exit_code_of(error.status)
        output.fail(CommandError(code, str(error), error.findings))
        sys.exit(code)
    except errors.NoQuorumError as error:
        failed = CommandError(exit_codes.NO_QUORUM, f"no quorum: {error}")
        output.fail(failed)
        sys.exit(failed.exit_code)
    except (errors.GalenahookError, OSError) as error:
        output.fail(CommandError(exit_codes.FAILURE, str(error)))
        sys.exit(exit_codes.FAILURE)


def _run(arguments: list[str]) -> None:
    if arguments in (["--help"], ["-h"]):
        # Without arguments `fire` shows the commands, with them the options.
        arguments = []
    parsed: Any = fire.Fire(
        Galenahook,
        command=arguments,
        name="galenahook",
        serialize=_serialize_nothing,
    )
    if isinstance(parsed, Action):
        parsed._run()  # noqa: SLF001
    elif arguments:
        raise CommandError(exit_codes.USAGE, "an incomplete command")


def _serialize_nothing(parsed: Any) -> Any:
    """Keeps `fire` from printing an action."""
    return None if isinstance(parsed, Action) else parsed


def _exit_code_of(status: int) -> int:
    match status:
        case 401:
            return exit_codes.UNAUTHORIZED
        case 409:
            return exit_codes.CONFLICT
        case 400 | 404 | 413 | 422:
            return exit_codes.INVALID
    return exit_codes.FAILURE
