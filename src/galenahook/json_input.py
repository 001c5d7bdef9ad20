"""Decodes JSON that people write, collecting every finding with its path."""

import dataclasses
import json
from typing import Any
from typing import Generic
from typing import TypeVar

import expression
import msgspec

from galenahook import findings as findings_lib

_TargetT = TypeVar("_TargetT")

_EMPTY_BY_TYPE: dict[type, Any] = {
    msgspec.inspect.StrType: "",
    msgspec.inspect.IntType: 0,
    msgspec.inspect.FloatType: 0.0,
    msgspec.inspect.BoolType: False,
    msgspec.inspect.DictType: {},
    msgspec.inspect.VarTupleType: [],
    msgspec.inspect.ListType: [],
}


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


@dataclasses.dataclass(slots=True, frozen=True)
class Examined(Generic[_TargetT]):
    """A document with its findings.

    Attributes:
      message: The message, with an empty value in place of each faulty one;
        None if the document is not JSON at all.
      findings: Every finding in the order of the type's fields.
    """

    message: _TargetT | None
    findings: findings_lib.Findings


def decode(
    data: bytes, target: type[_TargetT], place: str = "$"
) -> expression.Result[_TargetT, list[findings_lib.Finding]]:
    """Decodes a document into a message type.

    Args:
      data: JSON in UTF-8, with or without a byte order mark.
      target: Message type of the whole document.
      place: Path of the document's root in findings.

    Returns:
      The message, or every finding.
    """
    examined = examine(data, target, place)
    if examined.message is None or examined.findings:
        return expression.Error(examined.findings.items)
    return expression.Ok(examined.message)


def examine(
    data: bytes, target: type[_TargetT], place: str = "$"
) -> Examined[_TargetT]:
    """Decodes what can be decoded, for checks that go on after a fault."""
    duplicates = _Duplicates()
    findings = findings_lib.Findings()
    try:
        document = json.loads(
            data.decode("utf-8-sig"), object_pairs_hook=duplicates.build
        )
    except UnicodeDecodeError as error:
        findings.add(place, f"not UTF-8 text: byte {error.start}")
        return Examined(None, findings)
    except json.JSONDecodeError as error:
        where = f"line {error.lineno}, column {error.colno}"
        findings.add(place, f"not JSON: {where}: {error.msg}")
        return Examined(None, findings)
    except RecursionError:
        findings.add(place, "not JSON: nested too deeply")
        return Examined(None, findings)
    info = msgspec.inspect.type_info(target)
    repaired = _repair(document, info, place, findings)
    _check_duplicates(document, duplicates, place, findings)
    return Examined(msgspec.convert(repaired, target), findings)


def _repair(
    value: Any,
    info: msgspec.inspect.Type,
    place: str,
    findings: findings_lib.Findings,
) -> Any:
    """Returns the value, or an empty one in place of each faulty part."""
    match info:
        case msgspec.inspect.StructType() if isinstance(value, dict):
            return _repair_struct(value, info, place, findings)
        case msgspec.inspect.DictType() if isinstance(value, dict):
            return {
                key: _repair(item, info.value_type, f"{place}.{key}", findings)
                for key, item in value.items()
            }
        case msgspec.inspect.VarTupleType() | msgspec.inspect.ListType() if (
            isinstance(value, list)
        ):
            return [
                _repair(item, info.item_type, f"{place}[{index}]", findings)
                for index, item in enumerate(value)
            ]
    try:
        msgspec.convert(value, _type_of(info))
    except msgspec.ValidationError as error:
        reason, separator, path = str(error).partition(" - at `$")
        inner = path.rstrip("`") if separator else ""
        findings.add(place + inner, reason)
        return _empty_of(info)
    return value


def _repair_struct(
    value: dict[str, Any],
    info: msgspec.inspect.StructType,
    place: str,
    findings: findings_lib.Findings,
) -> dict[str, Any]:
    fields = {field.encode_name: field for field in info.fields}
    repaired = {}
    if info.tag_field in value:
        repaired[info.tag_field] = value[info.tag_field]
    for name, field in fields.items():
        field_place = f"{place}.{name}"
        if name in value:
            part = _repair(value[name], field.type, field_place, findings)
            is_faulty = (
                bool(findings) and findings.items[-1].place == field_place
            )
            if field.required or not is_faulty:
                repaired[name] = part
        elif field.required:
            findings.add(field_place, "missing")
            repaired[name] = _empty_of(field.type)
    for name in value:
        if name not in fields and name != info.tag_field:
            findings.add(f"{place}.{name}", "unknown field")
    return repaired


def _empty_of(info: msgspec.inspect.Type) -> Any:
    match info:
        case msgspec.inspect.StructType():
            return {
                field.encode_name: _empty_of(field.type)
                for field in info.fields
                if field.required
            }
        case msgspec.inspect.UnionType():
            return _empty_of(info.types[0])
    return _EMPTY_BY_TYPE.get(type(info))


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
