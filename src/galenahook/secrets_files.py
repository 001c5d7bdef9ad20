"""Files with secrets: the site's key and the operators' tokens.

No secret ever appears in a finding, an error or a log line.
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
    """Token of each operator.

    Attributes:
      names: Names of the operators.
    """

    __slots__ = ("_tokens", "names")

    def __init__(self, tokens: dict[str, str]) -> None:
        self.names = tuple(tokens)
        self._tokens = {
            name: token.encode("utf-8") for name, token in tokens.items()
        }

    def operator_of(self, token: bytes) -> str:
        """Returns whose token it is, or an empty string.

        Every token is compared, each in constant time.
        """
        found = ""
        for name, expected in self._tokens.items():
            if hmac.compare_digest(expected, token):
                found = name
        return found


def load_site_key(
    path: str, place: str = "$.site_key_file"
) -> expression.Result[bytes, list[findings_lib.Finding]]:
    """Reads the key that the site's processes share."""
    try:
        key = pathlib.Path(path).read_text("utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        return _unreadable(path, error, place)
    fault = _fault_of_secret(key)
    if fault:
        return expression.Error(
            [findings_lib.Finding(place, f"key in {path} {fault}")]
        )
    return expression.Ok(key.encode("utf-8"))


def check_site_key(path: str, place: str) -> list[findings_lib.Finding]:
    """Returns every fault of a site key's file."""
    return load_site_key(path, place).swap().default_value([])


def load_operator_tokens(
    path: str, place: str = "$.operator_tokens_file"
) -> expression.Result[OperatorTokens, list[findings_lib.Finding]]:
    """Reads a JSON object with each operator's token by name."""
    try:
        data = pathlib.Path(path).read_bytes()
        tokens = msgspec.json.decode(data, type=dict[str, str])
    except OSError as error:
        return _unreadable(path, error, place)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        message = f"{path} must be a JSON object of tokens by operator"
        return expression.Error([findings_lib.Finding(place, message)])
    findings = _token_findings(path, tokens, place)
    if findings:
        return expression.Error(findings.items)
    return expression.Ok(OperatorTokens(tokens))


def check_operator_tokens(path: str, place: str) -> list[findings_lib.Finding]:
    """Returns every fault of an operators' tokens file."""
    return load_operator_tokens(path, place).swap().default_value([])


def _token_findings(
    path: str, tokens: dict[str, str], place: str
) -> findings_lib.Findings:
    findings = findings_lib.Findings()
    if not tokens:
        findings.add(place, f"{path} lists no operator")
    owners: dict[str, str] = {}
    for name, token in tokens.items():
        if not _OPERATOR_PATTERN.fullmatch(name):
            findings.add(place, f"{path}: {name!r} is no operator's name")
        fault = _fault_of_secret(token)
        if fault:
            findings.add(place, f"{path}: token of {name!r} {fault}")
        if token in owners:
            findings.add(
                place, f"{path}: {name!r} has the token of {owners[token]!r}"
            )
        owners.setdefault(token, name)
    return findings


def _fault_of_secret(secret: str) -> str:
    if len(secret) < MIN_SECRET_CHARS:
        return f"must have at least {MIN_SECRET_CHARS} characters"
    if not _SECRET_PATTERN.fullmatch(secret):
        return "must be printable ASCII without spaces"
    return ""


def _unreadable(path: str, error: Exception, place: str) -> expression.Result:
    reason = getattr(error, "strerror", None) or "not UTF-8 text"
    message = f"{path} can't be read: {reason}"
    return expression.Error([findings_lib.Finding(place, message)])
