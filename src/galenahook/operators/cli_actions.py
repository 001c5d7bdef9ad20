"""Parts shared by all commands of the command line."""

from collections.abc import Awaitable
from collections.abc import Callable

import curio

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook.operators import client as client_lib
from galenahook.operators import client_settings
from galenahook.operators import exit_codes
from galenahook.operators import output as output_lib
from galenahook.operators import session as session_lib
from galenahook.operators import sheets

PROGRESS_TIMEOUT_S = 600

CommandError = output_lib.CommandError


class Action:
    """A parsed command, run once the whole command line has been parsed.

    A command line with an unknown option thereby changes nothing.
    """

    __slots__ = ("_run",)

    def __init__(self, run: Callable[[], None]) -> None:
        # Private, since `fire` treats public attributes as commands.
        self._run = run


def perform(action: Action) -> None:
    """Runs a command that has been parsed."""
    action._run()  # noqa: SLF001


class Options:
    """Options that every operator's command accepts.

    Attributes:
      client: Client settings file.
      entry: Addresses of entries, separated by commas.
      token_file: File with the operator's token.
      output: Prints results.
    """

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
        """Returns an action that runs in a session with the site."""
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


def parse_integer(text: str) -> int:
    """Parses the text of an integer option.

    Raises:
      CommandError: The text is not a whole number.
    """
    if not text.isascii() or not text.lstrip("-").isdigit():
        raise CommandError(
            exit_codes.USAGE, f"{text!r}: expected a whole number"
        )
    return int(text)


def load_sheet(file: str) -> commands.Sheet:
    """Loads a sheet.

    Raises:
      CommandError: The sheet has faults.
    """
    loaded = sheets.load(file)
    if loaded.is_error():
        raise CommandError(
            exit_codes.INVALID,
            f"{file}: {len(loaded.error)} faults; nothing was applied",
            loaded.error,
        )
    return loaded.ok
