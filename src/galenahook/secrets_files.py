"""Reads files with secrets: the site's key and the operators' tokens.

Secrets must never appear in findings, errors or log lines.
"""

import hmac
import pathlib
import re

import expression
import msgspec

from galenahook import findings as findings_lib

MIN_SECRET_CHARS = 16

_OPERATOR_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._@-]{0,62}")
_SECRET_PATTERN = re.compile(r"[!-~]+")


class OperatorTokens:
    """Tokens of the operators.

    Attributes:
      names: Names of the operators.
    """

    __slots__ = ("_tokens", "names")

    def __init__(self, tokens: dict[str, str]) -> None:
        self.names = tuple(tokens)
        self._tokens = {
            name: token.encode("utf-8") for name, token in tokens.items()
        }

    def find_operator(self, token: bytes) -> str:
        """Returns the operator with this token, or an empty string.

        Compares every token, each in constant time, to prevent timing attacks.
        """
        found = ""
        for name, expected in self._tokens.items():
            if hmac.compare_digest(expected, token):
                found = name
        return found


def load_site_key(
    path: str, place: str = "$.site_key_file"
) -> expression.Result[bytes, list[findings_lib.Finding]]:
    """Reads the key shared by the site's processes."""
    try:
        key = pathlib.Path(path).read_text("utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        return _read_failure(path, error, place)
    problem = _secret_problem(key)
    if problem:
        return expression.Error(
            [findings_lib.Finding(place, f"key in {path} {problem}")]
        )
    return expression.Ok(key.encode("utf-8"))


def check_site_key(path: str, place: str) -> list[findings_lib.Finding]:
    """Returns the findings about a site key file."""
    return load_site_key(path, place).swap().default_value([])


def load_operator_tokens(
    path: str, place: str = "$.operator_tokens_file"
) -> expression.Result[OperatorTokens, list[findings_lib.Finding]]:
    """Reads a JSON object that maps operator names to tokens."""
    try:
        data = pathlib.Path(path).read_bytes()
        tokens = msgspec.json.decode(data, type=dict[str, str])
    except OSError as error:
        return _read_failure(path, error, place)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        message = f"{path} must be a JSON object that maps operators to tokens"
        return expression.Error([findings_lib.Finding(place, message)])
    findings = _token_findings(path, tokens, place)
    if findings:
        return expression.Error(findings.items)
    return expression.Ok(OperatorTokens(tokens))


def check_operator_tokens(path: str, place: str) -> list[findings_lib.Finding]:
    """Returns the findings about a file of operator tokens."""
    return load_operator_tokens(path, place).swap().default_value([])


def _token_findings(
    path: str, tokens: dict[str, str], place: str
) -> findings_lib.Findings:
    findings = findings_lib.Findings()
    if not tokens:
        findings.add(place, f"{path} contains no operators")
    owners: dict[str, str] = {}
    for name, token in tokens.items():
        if not _OPERATOR_PATTERN.fullmatch(name):
            findings.add(
                place, f"{path}: {name!r} is not a valid operator name"
            )
        problem = _secret_problem(token)
        if problem:
            findings.add(place, f"{path}: token of {name!r} {problem}")
        if token in owners:
            findings.add(
                place,
                f"{path}: {name!r} has the same token as {owners[token]!r}",
            )
        owners.setdefault(token, name)
    return findings


def _secret_problem(secret: str) -> str:
    if len(secret) < MIN_SECRET_CHARS:
        return f"must have at least {MIN_SECRET_CHARS} characters"
    if not _SECRET_PATTERN.fullmatch(secret):
        return "must be printable ASCII without spaces"
    return ""


def _read_failure(path: str, error: Exception, place: str) -> expression.Result:
    reason = getattr(error, "strerror", None) or "not UTF-8 text"
    message = f"can't read {path}: {reason}"
    return expression.Error([findings_lib.Finding(place, message)])
