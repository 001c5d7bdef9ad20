"""Base class of all messages, and JSON encoding and decoding."""

import functools
from typing import Annotated
from typing import Any
from typing import TypeVar

import msgspec

from galenahook import errors
from galenahook import findings as findings_lib

_MessageT = TypeVar("_MessageT")

# Largest integer that a float represents exactly, and with it any JSON reader.
# A larger one can't be converted in mixed arithmetic.
MAX_NUMBER = 2**53 - 1
# Numbers in messages from other programs.
Integer = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class Message(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Base of all messages: immutable, slotted, rejects unknown fields."""


def encode(message: Any) -> bytes:
    """Encodes a message as JSON."""
    return msgspec.json.encode(message)


def decode(data: bytes, message_type: type[_MessageT]) -> _MessageT:
    """Decodes a message.

    Raises:
      errors.InvalidInputError: The data is not JSON or not of this type.
    """
    try:
        return _decoder_for(message_type).decode(data)  # type: ignore[arg-type]
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise errors.InvalidInputError(
            [_finding_from_error(str(error))]
        ) from error


@functools.cache
def _decoder_for(message_type: Any) -> msgspec.json.Decoder:
    """Returns a cached decoder; building one for a union is slow."""
    return msgspec.json.Decoder(message_type)


def _finding_from_error(text: str) -> findings_lib.Finding:
    reason, separator, path = text.partition(" - at `")
    place = path.rstrip("`") if separator else "$"
    return findings_lib.Finding(place, reason)
