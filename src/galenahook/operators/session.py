"""Runs an operator's command: requests, retries, waits and progress."""

from collections.abc import Callable
import contextlib
import dataclasses

import curio

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import errors
from galenahook.operators import client as client_lib
from galenahook.operators import exit_codes
from galenahook.operators import output as output_lib
from galenahook.operators import wire

_MAX_REBASES = 5
_POLL_PERIOD_MS = 500


@dataclasses.dataclass(slots=True, frozen=True)
class ChangeOptions:
    """Number and base revision of a change.

    Attributes:
      number: Number of the change; 0 to generate one.
      base_revision: Revision it is based on; -1 for the current one.
      rebase: Whether a change that conflicts is sent again with the current
        revision as its base; only for changes that mean the same on any
        revision. Ignored if `number` or `base_revision` is given.
    """

    number: int = 0
    base_revision: int = -1
    rebase: bool = False


class Session:
    """Runs one command against the site.

    Attributes:
      client: Sends the requests.
      output: Prints results.
    """

    def __init__(
        self,
        client: client_lib.OperatorClient,
        output: output_lib.Output,
        clock: clock_lib.Clock,
    ) -> None:
        self.client = client
        self.output = output
        self._clock = clock

    async def revision(self) -> wire.RevisionReply:
        """Returns the current revision."""
        return await self.client.get(wire.REVISION_TARGET, wire.RevisionReply)

    async def status(self) -> wire.StatusReply:
        """Returns the state of the site."""
        return await self.client.get(wire.STATUS_TARGET, wire.StatusReply)

    async def explain(
        self, job: str, service: str, request: str
    ) -> wire.Explanation:
        """Explains a job, a service or a request.

        The entries are asked for a request in turn, until one knows it.
        """
        client = self.client
        if not request:
            return await client.get(
                wire.EXPLAIN_TARGET, wire.Explanation, job=job, service=service
            )
        explanation: wire.Explanation | None = None
        for address in client.access.entries:
            with contextlib.suppress(errors.NoQuorumError):
                explanation = await client.for_entry(address).get(
                    wire.EXPLAIN_TARGET, wire.Explanation, request=request
                )
                if explanation.known:
                    return explanation
        if explanation is None:
            raise errors.NoQuorumError("no entry responded")
        return explanation

    async def change(
        self, change: commands.Change, options: ChangeOptions
    ) -> commands.ChangeAccepted:
        """Submits a change; on a conflict, again if `options` allow a rebase.

        Raises:
          output_lib.CommandError: The change was not accepted.
        """
        rebases = _MAX_REBASES if options.rebase else 0
        if options.number or options.base_revision >= 0:
            rebases = 0
        number = options.number or client_lib.new_change_number()
        while True:
            base_revision = options.base_revision
            if base_revision < 0:
                base_revision = (await self.revision()).revision
            result = await self._change_once(change, number, base_revision)
            match result:
                case commands.ChangeAccepted():
                    return result
                case commands.ChangeInvalid(reason=reason):
                    raise output_lib.CommandError(exit_codes.INVALID, reason)
                case commands.ChangeConflict(reason=reason):
                    if rebases <= 0:
                        raise output_lib.CommandError(
                            exit_codes.CONFLICT, reason
                        )
            rebases -= 1
            number = client_lib.new_change_number()

    async def _change_once(
        self, change: commands.Change, number: int, base_revision: int
    ) -> commands.ChangeResult:
        operator_change = wire.OperatorChange(
            number=number, base_revision=base_revision, change=change
        )
        try:
            return await self.client.change(operator_change)
        except errors.NoQuorumError as error:
            raise output_lib.CommandError(
                exit_codes.NO_QUORUM,
                f"no quorum: {error}; the change may have been accepted, or may"
                f" still be; resend it with --number {number}"
                f" --base-revision {base_revision}",
            ) from error

    async def wait_until(
        self,
        description: str,
        is_done: Callable[[wire.StatusReply], bool],
        progress: Callable[[wire.StatusReply], str],
        timeout_ms: int,
    ) -> wire.StatusReply:
        """Waits until the site reaches a state, and prints the progress.

        Raises:
          output_lib.CommandError: It did not reach the state in time.
        """
        end_ms = self._clock.monotonic_ms() + timeout_ms
        last_line = ""
        while True:
            status = await self._try_status()
            line = "no quorum" if status is None else progress(status)
            if line != last_line:
                self.output.progress(line)
                last_line = line
            if status is not None and is_done(status):
                return status
            if self._clock.monotonic_ms() >= end_ms:
                raise output_lib.CommandError(
                    exit_codes.TIMED_OUT, f"accepted, but not yet {description}"
                )
            await curio.sleep(clock_lib.seconds(_POLL_PERIOD_MS))

    async def _try_status(self) -> wire.StatusReply | None:
        try:
            return await self.status()
        except errors.NoQuorumError:
            return None
