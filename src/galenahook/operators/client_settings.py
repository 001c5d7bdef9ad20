"""Client settings of the command line: entries and the operator's token."""

import os
import pathlib

import expression
import msgspec

from galenahook import findings as findings_lib
from galenahook import json_input
from galenahook import messages

ENVIRONMENT_VARIABLE = "GALENAHOOK_CLIENT"


class ClientSettings(messages.Message, frozen=True, kw_only=True):
    """Settings of the command line.

    Attributes:
      entries: Address of each entry's `operators` listener.
      token_file: File with the operator's token.
    """

    entries: tuple[str, ...]
    token_file: str


class Access(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses of the entries and the operator's credentials.

    Attributes:
      entries: Address of each entry's `operators` listener.
      token: The operator's token; `repr` leaves it out, so that it is never
        shown.
    """

    entries: tuple[str, ...]
    token: str

    def __repr__(self) -> str:
        return f"Access(entries={self.entries!r})"


AccessResult = expression.Result[Access, list[findings_lib.Finding]]


def load(client: str, entry: str, token_file: str) -> AccessResult:
    """Returns the access from the options, completed by the settings file.

    Args:
      client: Settings file; if empty, that of the environment variable.
      entry: Addresses separated by commas; if empty, the settings file's.
      token_file: File with the token; if empty, the settings file's.
    """
    path = client or os.environ.get(ENVIRONMENT_VARIABLE, "")
    entries = tuple(filter(None, entry.split(",")))
    if path and not (entries and token_file):
        loaded = _load_file(path)
        if loaded.is_error():
            return expression.Error(loaded.error)
        entries = entries or loaded.ok.entries
        token_file = token_file or loaded.ok.token_file
    findings = findings_lib.Findings()
    if not entries:
        findings.add("--entry-address", "required unless --client is given")
    if not token_file:
        findings.add("--token-file", "required unless --client is given")
    if findings:
        return expression.Error(findings.items)
    return _read_token(token_file).map(
        lambda token: Access(entries=entries, token=token)
    )


def _load_file(
    path: str,
) -> expression.Result[ClientSettings, list[findings_lib.Finding]]:
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        finding = findings_lib.Finding(path, str(error.strerror))
        return expression.Error([finding])
    folder = pathlib.Path(path).resolve().parent
    return json_input.decode(data, ClientSettings).map(
        lambda decoded: msgspec.structs.replace(
            decoded, token_file=str(folder / decoded.token_file)
        )
    )


def _read_token(
    path: str,
) -> expression.Result[str, list[findings_lib.Finding]]:
    try:
        token = pathlib.Path(path).read_text("ascii").strip()
    except (OSError, UnicodeDecodeError):
        finding = findings_lib.Finding(path, "token file can't be read")
        return expression.Error([finding])
    if not token:
        return expression.Error(
            [findings_lib.Finding(path, "token file is empty")]
        )
    return expression.Ok(token)
