"""Decodes JSON that people write, collecting every finding with its path."""

import json
from typing import Any
from typing import TypeVar

import expression
import msgspec

from galenahook import findings as findings_lib

_TargetT = TypeVar("_TargetT")


class _Duplicates:
    """Objects of a document that gave a field twice.

    Attributes:
      names: Repeated field names by the `id` of their object.
    """

    __slots__ = ("names",)

    def __init__(self) -> None:
        self.names: dict[int, list[str]] = {}

    def build(self, pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        """Builds one object of the document."""
        built: dict[str, Any] = {}
        repeated = []
        for name, value in pairs:
            if name in built:
                repeated.append(name)
            built[name] = value
        if repeated:
            self.names[id(built)] = repeated
        return built


def decode(
    data: bytes, target: type[_TargetT], place: str = "$"
) -> expression.Result[_TargetT, list[findings_lib.Finding]]:
    """Decodes a document into a message type.

    Args:
      data: JSON in UTF-8, with or without a byte order mark.
      target: Message type of the whole document.
      place: Path of the document's root in findings.

    Returns:
      The message, or every finding in the order of the type's fields.
    """
    duplicates = _Duplicates()
    try:
        document = json.loads(
            data.decode("utf-8-sig"), object_pairs_hook=duplicates.build
        )
    except UnicodeDecodeError as error:
        message = f"not UTF-8 text: byte {error.start}"
        return expression.Error([findings_lib.Finding(place, message)])
    except json.JSONDecodeError as error:
        message = f"not JSON: line {error.lineno}, column {error.colno}: "
        message += error.msg
        return expression.Error([findings_lib.Finding(place, message)])
    except RecursionError:
        message = "not JSON: nested too deeply"
        return expression.Error([findings_lib.Finding(place, message)])
    findings = findings_lib.Findings()
    _check(document, msgspec.inspect.type_info(target), place, findings)
    _check_duplicates(document, duplicates, place, findings)
    if findings:
        return expression.Error(findings.items)
    return expression.Ok(msgspec.convert(document, target))


def _check(
    value: Any,
    info: msgspec.inspect.Type,
    place: str,
    findings: findings_lib.Findings,
) -> None:
    """Checks one value; containers are checked item by item."""
    match info:
        case msgspec.inspect.StructType() if isinstance(value, dict):
            _check_struct(value, info, place, findings)
        case msgspec.inspect.DictType() if isinstance(value, dict):
            for key, item in value.items():
                _check(item, info.value_type, f"{place}.{key}", findings)
        case msgspec.inspect.VarTupleType() | msgspec.inspect.ListType() if (
            isinstance(value, list)
        ):
            for index, item in enumerate(value):
                item_place = f"{place}[{index}]"
                _check(item, info.item_type, item_place, findings)
        case _:
            _check_leaf(value, info, place, findings)


def _check_struct(
    value: dict[str, Any],
    info: msgspec.inspect.StructType,
    place: str,
    findings: findings_lib.Findings,
) -> None:
    fields = {field.encode_name: field for field in info.fields}
    for name in value.keys() - fields.keys() - {info.tag_field}:
        findings.add(f"{place}.{name}", "unknown field")
    for name, field in fields.items():
        if name in value:
            _check(value[name], field.type, f"{place}.{name}", findings)
        elif field.required:
            findings.add(f"{place}.{name}", "missing")


def _check_leaf(
    value: Any,
    info: msgspec.inspect.Type,
    place: str,
    findings: findings_lib.Findings,
) -> None:
    try:
        msgspec.convert(value, _type_of(info))
    except msgspec.ValidationError as error:
        reason, separator, path = str(error).partition(" - at `$")
        inner = path.rstrip("`") if separator else ""
        findings.add(place + inner, reason)


def _type_of(info: msgspec.inspect.Type) -> Any:
    """Returns a type that accepts what the description accepts."""
    match info:
        case msgspec.inspect.StructType():
            return info.cls
        case msgspec.inspect.StrType():
            return str
        case msgspec.inspect.IntType():
            return int
        case msgspec.inspect.FloatType():
            return float
        case msgspec.inspect.BoolType():
            return bool
        case msgspec.inspect.DictType():
            return dict
        case msgspec.inspect.VarTupleType() | msgspec.inspect.ListType():
            return list
        case msgspec.inspect.NoneType():
            return None
        case msgspec.inspect.UnionType():
            union = _type_of(info.types[0])
            for part in info.types[1:]:
                union = union | _type_of(part)
            return union
        case _:
            return Any


def _check_duplicates(
    value: Any,
    duplicates: _Duplicates,
    place: str,
    findings: findings_lib.Findings,
) -> None:
    if not duplicates.names:
        return
    if isinstance(value, dict):
        for name in duplicates.names.get(id(value), []):
            findings.add(f"{place}.{name}", "given more than once")
        for name, item in value.items():
            _check_duplicates(item, duplicates, f"{place}.{name}", findings)
    elif isinstance(value, list):
        for index, item in enumerate(value):
            item_place = f"{place}[{index}]"
            _check_duplicates(item, duplicates, item_place, findings)
