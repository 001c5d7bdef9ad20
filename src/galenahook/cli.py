"""Defines the command line and runs its commands."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import itertools
import pathlib
import sys
from typing import Any

import fire
import fire.decorators

from galenahook import commands
from galenahook import errors
from galenahook import settings as settings_lib
from galenahook.operators import availability_zones
from galenahook.operators import cli_actions
from galenahook.operators import cli_groups
from galenahook.operators import client as client_lib
from galenahook.operators import daemons
from galenahook.operators import exit_codes
from galenahook.operators import log_timeline
from galenahook.operators import output as output_lib
from galenahook.operators import reports
from galenahook.operators import session as session_lib
from galenahook.operators import wire

_LOCAL_FOLDER = "run/local"
_LOCAL_FIRST_PORT = 8_080

_TEXT = fire.decorators.SetParseFn(str)


class Galenahook:
    """A scheduler for colocated latency-critical and batch work.

    Daemons take `--settings F`. Operators' commands take `--client F`, a JSON
    file with `entries` and `token_file`, or `--entry-address HOST:PORT` and
    `--token-file F`; the environment variable GALENAHOOK_CLIENT can name the
    client file. Options go after the command. `--json` prints one JSON
    document.

    Exit codes: 0 done, 1 failure, 2 usage, 3 invalid input, 4 conflict,
    5 no quorum, 6 unknown operator, 7 accepted but not finished in time.

    Examples:
      galenahook local --sheet examples/order-service.csv
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
        # `fire` parses text that looks like a number as a number.
        options = cli_actions.Options(
            str(client), str(entry_address), str(token_file), bool(json)
        )
        self._options = options
        self.sheet = cli_groups.SheetCommands(options)
        self.job = cli_groups.JobCommands(options)
        self.replica_member = cli_groups.ReplicaMemberCommands(options)
        self.availability_zone = {
            "out": self._availability_zone_out,
            "in": self._availability_zone_in,
        }

    # --- Daemons ---

    @_TEXT
    def entry(self, settings: str) -> cli_actions.Action:
        """Runs an entry until SIGTERM.

        Args:
          settings: Settings file.
        """
        return cli_actions.Action(
            lambda: daemons.run(settings, settings_lib.EntrySettings)
        )

    @_TEXT
    def replica(self, settings: str) -> cli_actions.Action:
        """Runs a replica until SIGTERM.

        Args:
          settings: Settings file.
        """
        return cli_actions.Action(
            lambda: daemons.run(settings, settings_lib.ReplicaSettings)
        )

    @fire.decorators.SetParseFns(
        sheet=str, folder=str, first_port=cli_actions.parse_integer
    )
    def local(
        self,
        sheet: str,
        folder: str = _LOCAL_FOLDER,
        first_port: int = _LOCAL_FIRST_PORT,
    ) -> cli_actions.Action:
        """Runs a whole site in one process, on loopback, until SIGTERM.

        Args:
          sheet: Sheet to apply once the site is ready.
          folder: Folder for its state, token and client settings.
          first_port: First of five ports: callers, upstreams, operators,
            platform, peers.
        """

        def run() -> None:
            loaded = cli_actions.load_sheet(sheet)
            daemons.run_local(loaded, folder, first_port, self._options.output)

        return cli_actions.Action(run)

    @_TEXT
    def check(self, settings: str) -> cli_actions.Action:
        """Checks a settings file without starting anything.

        Args:
          settings: Settings file of an entry or a replica.
        """

        def run() -> None:
            daemons.load_settings(settings, None)
            self._options.output.show(
                wire.SheetFindings(), [f"{settings}: no faults"]
            )

        return cli_actions.Action(run)

    # --- Queries ---

    def status(self) -> cli_actions.Action:
        """Shows the state of the site."""

        async def run(session: session_lib.Session) -> None:
            status = await session.status()
            self._options.output.show(status, reports.status_lines(status))

        return self._options.action(run)

    @_TEXT
    def explain(
        self,
        job: str = "",
        service: str = "",
        request: str = "",
        log: str = "",
    ) -> cli_actions.Action:
        """Explains the state of a job, a service or a request.

        Args:
          job: Name of a job.
          service: Name of a service.
          request: Identifier from the header x-galenahook-request; with --log,
            the identifier of a request or of a caller's job.
          log: Log files of any processes, separated by commas; shows a timeline
            from these files and sends no request to the site.
        """
        if sum(map(bool, (job, service, request))) != 1:
            raise cli_actions.CommandError(
                exit_codes.USAGE,
                "expected exactly one of --job, --service, --request",
            )
        if log:
            return cli_actions.Action(
                lambda: self._show_timeline(job or service or request, log)
            )

        async def run(session: session_lib.Session) -> None:
            explanation = await session.explain(job, service, request)
            self._options.output.show(
                explanation, [explanation.subject, *explanation.lines]
            )
            if not explanation.known:
                raise cli_actions.CommandError(
                    exit_codes.INVALID, f"{explanation.subject} is not known"
                )

        return self._options.action(run)

    def _show_timeline(self, identifier: str, log: str) -> None:
        try:
            with contextlib.ExitStack() as stack:
                files = [
                    stack.enter_context(
                        pathlib.Path(name).open(errors="replace")
                    )
                    for name in log.split(",")
                ]
                lines = itertools.chain.from_iterable(files)
                timeline = log_timeline.build_timeline(lines, identifier)
        except OSError as error:
            raise cli_actions.CommandError(
                exit_codes.USAGE, f"log file can't be read: {error}"
            ) from error
        if not timeline.events:
            raise cli_actions.CommandError(
                exit_codes.INVALID, f"no log line is about {identifier!r}"
            )
        self._options.output.show(timeline, timeline.lines())

    @fire.decorators.SetParseFns(
        first=cli_actions.parse_integer, last=cli_actions.parse_integer
    )
    def audit(self, first: int = 1, last: int = 0) -> cli_actions.Action:
        """Shows accepted changes by revision.

        Args:
          first: First revision.
          last: Last revision; 0 for the current one.
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

    @fire.decorators.SetParseFns(
        name=str, wait=str, timeout_s=cli_actions.parse_integer
    )
    def _availability_zone_out(
        self,
        name: str,
        wait: str = "moved",
        timeout_s: int = cli_actions.PROGRESS_TIMEOUT_S,
    ) -> cli_actions.Action:
        """Takes an availability zone out of service.

        Args:
          name: Name of the availability zone.
          wait: `no`, `in-force` or `moved`: what to wait for.
          timeout_s: Longest wait in seconds, for each of the two stages.
        """
        return self._change_zone(
            availability_zones.take_out, name, wait, timeout_s
        )

    @fire.decorators.SetParseFns(
        name=str, wait=str, timeout_s=cli_actions.parse_integer
    )
    def _availability_zone_in(
        self,
        name: str,
        wait: str = "in-force",
        timeout_s: int = cli_actions.PROGRESS_TIMEOUT_S,
    ) -> cli_actions.Action:
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
    ) -> cli_actions.Action:
        parsed = availability_zones.parse_wait(wait)
        options = session_lib.ChangeOptions(rebase=True)
        return self._options.action(
            lambda session: change_zone(
                session, name, options, parsed, timeout_s * 1_000
            )
        )

    @_TEXT
    def drain(self, upstream: str) -> cli_actions.Action:
        """Assigns no new work to an upstream and moves its tasks away.

        Args:
          upstream: Name of a worker or executor.
        """
        return self._options.change(
            commands.DrainUpstream(name=upstream),
            session_lib.ChangeOptions(rebase=True),
        )

    @_TEXT
    def undrain(self, upstream: str) -> cli_actions.Action:
        """Lets a drained upstream receive work again.

        Args:
          upstream: Name of a worker or executor.
        """
        return self._options.change(
            commands.UndrainUpstream(name=upstream),
            session_lib.ChangeOptions(rebase=True),
        )


def main(arguments: list[str] | None = None) -> None:
    """Runs one command and exits with its code."""
    arguments = sys.argv[1:] if arguments is None else arguments
    output = output_lib.Output("--json" in arguments)
    try:
        _run(arguments)
    except cli_actions.CommandError as error:
        output.fail(error)
        sys.exit(error.exit_code)
    except client_lib.RefusedError as error:
        code = _exit_code_of(error.status)
        output.fail(cli_actions.CommandError(code, str(error), error.findings))
        sys.exit(code)
    except errors.NoQuorumError as error:
        failed = cli_actions.CommandError(
            exit_codes.NO_QUORUM, f"no quorum: {error}"
        )
        output.fail(failed)
        sys.exit(failed.exit_code)
    except (errors.GalenahookError, OSError) as error:
        output.fail(cli_actions.CommandError(exit_codes.FAILURE, str(error)))
        sys.exit(exit_codes.FAILURE)


def _run(arguments: list[str]) -> None:
    if arguments in (["--help"], ["-h"]):
        # `fire` shows the commands only without arguments; with `--help`, it
        # shows the options.
        arguments = []
    parsed: Any = fire.Fire(
        Galenahook,
        command=arguments,
        name="galenahook",
        serialize=_serialize_nothing,
    )
    if isinstance(parsed, cli_actions.Action):
        cli_actions.perform(parsed)
    elif arguments:
        raise cli_actions.CommandError(exit_codes.USAGE, "incomplete command")


def _serialize_nothing(parsed: Any) -> Any:
    """Prevents `fire` from printing an action."""
    return None if isinstance(parsed, cli_actions.Action) else parsed


def _exit_code_of(status: int) -> int:
    match status:
        case 401:
            return exit_codes.UNAUTHORIZED
        case 409:
            return exit_codes.CONFLICT
        case 400 | 404 | 413 | 422:
            return exit_codes.INVALID
    return exit_codes.FAILURE
