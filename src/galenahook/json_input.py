"""Decodes JSON written by people and reports every fault with its path."""

import dataclasses
import json
from typing import Annotated
from typing import Any
from typing import Generic
from typing import TypeVar

import expression
import msgspec

from galenahook import findings as findings_lib

_TargetT = TypeVar("_TargetT")

_EMPTY_VALUES: dict[type, Any] = {
    msgspec.inspect.StrType: "",
    msgspec.inspect.IntType: 0,
    msgspec.inspect.FloatType: 0.0,
    msgspec.inspect.BoolType: False,
    msgspec.inspect.DictType: {},
    msgspec.inspect.VarTupleType: [],
    msgspec.inspect.ListType: [],
}


class _RepeatedFields:
    """Fields given more than once in an object of a document.

    Attributes:
      names: Names of repeated fields by the `id` of their object.
    """

    __slots__ = ("names",)

    def __init__(self) -> None:
        self.names: dict[int, list[str]] = {}

    def build_object(self, pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        """Builds an object of the document from its name-value pairs."""
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
class PartialDocument(Generic[_TargetT]):
    """A document decoded as far as possible, with its findings.

    Attributes:
      message: The message, with an empty or default value in place of each
        invalid one; None if the document is not JSON.
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
    partial = decode_partially(data, target, place)
    if partial.message is None or partial.findings:
        return expression.Error(partial.findings.items)
    return expression.Ok(partial.message)


def decode_partially(
    data: bytes, target: type[_TargetT], place: str = "$"
) -> PartialDocument[_TargetT]:
    """Decodes the valid parts, so that further checks can run on them."""
    repeated_fields = _RepeatedFields()
    findings = findings_lib.Findings()
    try:
        document = json.loads(
            data.decode("utf-8-sig"),
            object_pairs_hook=repeated_fields.build_object,
        )
        # Strings may hold lone surrogates, which can't be sent on.
        msgspec.json.encode(document)
    except UnicodeEncodeError as error:
        findings.add(place, f"not JSON: text with {error.reason}")
        return PartialDocument(None, findings)
    except UnicodeDecodeError as error:
        findings.add(
            place, f"not UTF-8 text: invalid byte at offset {error.start}"
        )
        return PartialDocument(None, findings)
    except json.JSONDecodeError as error:
        location = f"line {error.lineno}, column {error.colno}"
        findings.add(place, f"not JSON: {location}: {error.msg}")
        return PartialDocument(None, findings)
    except RecursionError:
        findings.add(place, "not JSON: nested too deeply")
        return PartialDocument(None, findings)
    except ValueError as error:
        findings.add(place, f"not JSON: {error}")
        return PartialDocument(None, findings)
    info = msgspec.inspect.type_info(target)
    valid = _replace_invalid(document, info, place, findings)
    _check_repeated_fields(document, repeated_fields, place, findings)
    return PartialDocument(msgspec.convert(valid, target), findings)


def _replace_invalid(
    value: Any,
    info: msgspec.inspect.Type,
    place: str,
    findings: findings_lib.Findings,
) -> Any:
    """Returns the value with an empty value in place of each invalid part."""
    match info:
        case msgspec.inspect.StructType() if isinstance(value, dict):
            return _replace_invalid_fields(value, info, place, findings)
        case msgspec.inspect.DictType() if isinstance(value, dict):
            return {
                key: _replace_invalid(
                    item, info.value_type, f"{place}.{key}", findings
                )
                for key, item in value.items()
            }
        case msgspec.inspect.VarTupleType() | msgspec.inspect.ListType() if (
            isinstance(value, list)
        ):
            return [
                _replace_invalid(
                    item, info.item_type, f"{place}[{index}]", findings
                )
                for index, item in enumerate(value)
            ]
    try:
        msgspec.convert(value, _python_type(info))
    except msgspec.ValidationError as error:
        reason, separator, path = str(error).partition(" - at `$")
        inner = path.rstrip("`") if separator else ""
        findings.add(place + inner, reason)
        return _empty_value(info)
    return value


def _replace_invalid_fields(
    value: dict[str, Any],
    info: msgspec.inspect.StructType,
    place: str,
    findings: findings_lib.Findings,
) -> dict[str, Any]:
    fields = {field.encode_name: field for field in info.fields}
    valid = {}
    if info.tag_field in value:
        valid[info.tag_field] = value[info.tag_field]
    for name, field in fields.items():
        field_place = f"{place}.{name}"
        if name in value:
            part = _replace_invalid(
                value[name], field.type, field_place, findings
            )
            is_invalid = (
                bool(findings) and findings.items[-1].place == field_place
            )
            if field.required or not is_invalid:
                valid[name] = part
        elif field.required:
            findings.add(field_place, "missing")
            valid[name] = _empty_value(field.type)
    for name in value:
        if name not in fields and name != info.tag_field:
            findings.add(f"{place}.{name}", "unknown field")
    return valid


def _empty_value(info: msgspec.inspect.Type) -> Any:
    match info:
        case msgspec.inspect.StructType():
            return {
                field.encode_name: _empty_value(field.type)
                for field in info.fields
                if field.required
            }
        case msgspec.inspect.UnionType():
            return _empty_value(info.types[0])
    return _EMPTY_VALUES.get(type(info))


def _python_type(info: msgspec.inspect.Type) -> Any:
    """Returns a Python type that accepts what `info` describes."""
    match info:
        case msgspec.inspect.StructType():
            return info.cls
        case msgspec.inspect.StrType():
            return str
        case msgspec.inspect.IntType():
            return Annotated[int, msgspec.Meta(ge=info.ge, le=info.le)]
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
            union = _python_type(info.types[0])
            for part in info.types[1:]:
                union = union | _python_type(part)
            return union
        case _:
            return Any


def _check_repeated_fields(
    value: Any,
    repeated_fields: _RepeatedFields,
    place: str,
    findings: findings_lib.Findings,
) -> None:
    if not repeated_fields.names:
        return
    if isinstance(value, dict):
        for name in repeated_fields.names.get(id(value), []):
            findings.add(f"{place}.{name}", "given more than once")
        for name, item in value.items():
            _check_repeated_fields(
                item, repeated_fields, f"{place}.{name}", findings
            )
    elif isinstance(value, list):
        for index, item in enumerate(value):
            item_place = f"{place}[{index}]"
            _check_repeated_fields(item, repeated_fields, item_place, findings)
