"""Runs a whole site in one process, with a sheet applied at its start."""

import pathlib

import curio
import msgspec

from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import local as local_lib
from galenahook import logs
from galenahook import messages
from galenahook import process
from galenahook.operators import client as client_lib
from galenahook.operators import client_settings
from galenahook.operators import output as output_lib
from galenahook.operators import session as session_lib


def run(
    sheet: commands.Sheet,
    folder: str,
    first_port: int,
    output: output_lib.Output,
) -> None:
    """Runs a local site with a sheet until SIGTERM or SIGINT.

    Raises:
      output_lib.CommandError: The sheet was not accepted.
    """
    site = local_lib.build(folder, local_lib.consecutive_ports(first_port))
    pathlib.Path(folder, "log.jsonl").touch()
    writer = logs.start("local", str(pathlib.Path(folder, "log.jsonl")))
    try:
        process.run_until_signal(_SheetSite(site, sheet, folder, output))
    finally:
        logs.stop(writer)


class _SheetSite:
    """A local site that applies a sheet once it accepts operators' requests."""

    def __init__(
        self,
        site: local_lib.LocalSite,
        sheet: commands.Sheet,
        folder: str,
        output: output_lib.Output,
    ) -> None:
        self._site = site
        self._sheet = sheet
        self._folder = folder
        self._output = output

    async def run(self, stop: curio.Event) -> None:
        tasks = process.DaemonTasks(stop)
        await tasks.start(self._apply)
        await self._site.run(stop)
        await tasks.cancel()

    async def _apply(self) -> None:
        clock = clock_lib.Clock()
        client = client_lib.OperatorClient(self._access(), clock)
        session = session_lib.Session(client, self._output, clock)
        accepted = await session.change(
            commands.ApplySheet(sheet=self._sheet), session_lib.ChangeOptions()
        )
        entry = self._site.entry
        self._output.show(
            accepted,
            [
                f"sheet applied as revision {accepted.revision}",
                f"callers    http://{entry.callers_server.address}",
                f"upstreams  http://{entry.upstreams_server.address}",
                f"operators  --client {self._folder}/client.json",
                f"logs       {self._folder}/log.jsonl",
            ],
        )

    def _access(self) -> client_settings.Access:
        """Returns the operator's access and writes it as client settings."""
        folder = pathlib.Path(self._folder)
        tokens = msgspec.json.decode(
            (folder / "operators.json").read_bytes(), type=dict[str, str]
        )
        token = tokens[local_lib.OPERATOR]
        address = self._site.entry.operators_server.address
        token_file = folder / "operator.token"
        token_file.touch(mode=0o600)
        token_file.write_text(token)
        settings = client_settings.ClientSettings(
            entries=(address,), token_file=token_file.name
        )
        (folder / "client.json").write_bytes(messages.encode(settings))
        return client_settings.Access(entries=(address,), token=token)
