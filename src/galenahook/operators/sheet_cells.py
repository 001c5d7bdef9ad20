"""Parses cells of a planner's CSV table: numbers, booleans, dates, times.

Each parser takes the cell's text, stripped of white space, and returns its
value. It raises `ValueError` with a message that states what was expected.
"""

import dataclasses
import datetime
import decimal
import re
import zoneinfo

_NUMBER = re.compile(r"-?\d+(?:[.,]\d+)?")
_AMBIGUOUS_THOUSANDS = re.compile(r"-?[1-9]\d{0,2}[.,]\d{3}")
_TIME = re.compile(r"(\d{1,2}):(\d{2})(?:\s*\+(\d))?")

_MB_PER_GB = 1_024
_MS_PER_MINUTE = 60_000

_BOOLEANS = {
    "yes": True,
    "true": True,
    "x": True,
    "1": True,
    "no": False,
    "false": False,
    "0": False,
}


@dataclasses.dataclass(slots=True)
class CellFormat:
    """How numbers and times in the sheet are interpreted.

    Attributes:
      day: Date of the sheet; None if it gives none.
      time_zone: Time zone of times without an offset.
      decimal_comma: Whether numbers may have a decimal comma.
    """

    day: datetime.date | None = None
    time_zone: datetime.tzinfo = datetime.UTC
    decimal_comma: bool = False


def parse_number(text: str, cell_format: CellFormat) -> decimal.Decimal:
    """Parses a decimal number."""
    if not _NUMBER.fullmatch(text):
        raise ValueError(f"{text!r}: expected a number")
    if "," in text and not cell_format.decimal_comma:
        raise ValueError(f"{text!r}: expected a decimal point, not a comma")
    if _AMBIGUOUS_THOUSANDS.fullmatch(text):
        raise ValueError(
            f"{text!r}: could be thousands or decimals; write it without a"
            " thousands separator"
        )
    return decimal.Decimal(text.replace(",", "."))


def parse_integer(text: str) -> int:
    """Parses an integer."""
    if not re.fullmatch(r"-?\d{1,15}", text):
        raise ValueError(f"{text!r}: expected a whole number")
    return int(text)


def parse_cores(text: str, cell_format: CellFormat) -> int:
    """Parses processor cores; returns thousandths of a core."""
    return _to_integer(text, parse_number(text, cell_format) * 1_000, "0.001")


def parse_memory_gb(text: str, cell_format: CellFormat) -> int:
    """Parses GB; returns MB, rounded up."""
    megabytes = parse_number(text, cell_format) * _MB_PER_GB
    return int(megabytes.to_integral_value(decimal.ROUND_CEILING))


def parse_minutes(text: str, cell_format: CellFormat) -> int:
    """Parses minutes; returns milliseconds, rounded."""
    milliseconds = parse_number(text, cell_format) * _MS_PER_MINUTE
    return int(milliseconds.to_integral_value(decimal.ROUND_HALF_UP))


def parse_boolean(text: str) -> bool:
    """Parses a boolean such as yes or no."""
    value = _BOOLEANS.get(text.lower())
    if value is None:
        raise ValueError(f"{text!r}: expected yes or no")
    return value


def parse_day(text: str) -> datetime.date:
    """Parses a date in ISO 8601 format."""
    try:
        return datetime.date.fromisoformat(text)
    except ValueError:
        raise ValueError(
            f"{text!r}: expected a date such as 2026-03-31"
        ) from None


def parse_time_zone(text: str) -> datetime.tzinfo:
    """Parses the name of a time zone in the tz database."""
    try:
        return zoneinfo.ZoneInfo(text)
    except (ValueError, OSError, zoneinfo.ZoneInfoNotFoundError):
        raise ValueError(
            f"{text!r}: expected a time zone such as Europe/London"
        ) from None


def parse_time(text: str, cell_format: CellFormat) -> int:
    """Parses a time; returns wall milliseconds.

    `06:00` is on the sheet's day, `06:00+1` on the day after. Anything else
    must be ISO 8601, in the sheet's time zone unless it gives an offset.
    """
    match = _TIME.fullmatch(text)
    if match is None:
        return _parse_iso_time(text, cell_format)
    if cell_format.day is None:
        raise ValueError(f"{text!r}: a time alone needs the setting `day`")
    hour, minute, days = (int(group or 0) for group in match.groups())
    if hour > 23 or minute > 59:
        raise ValueError(f"{text!r}: expected a time from 00:00 to 23:59")
    time = datetime.datetime.combine(
        cell_format.day, datetime.time(hour, minute)
    )
    time += datetime.timedelta(days=days)
    return _wall_ms(text, time, cell_format)


def _parse_iso_time(text: str, cell_format: CellFormat) -> int:
    try:
        time = datetime.datetime.fromisoformat(text)
    except ValueError:
        time = None
    if time is None or len(text) <= len("2026-03-31"):
        raise ValueError(
            f"{text!r}: expected a time such as 06:00, 06:00+1 (the next day)"
            " or 2026-03-31T06:00"
        )
    return _wall_ms(text, time, cell_format)


def _wall_ms(
    text: str, time: datetime.datetime, cell_format: CellFormat
) -> int:
    """Converts to wall time; an ambiguous time is the earlier of the two."""
    if time.tzinfo is None:
        time = time.replace(tzinfo=cell_format.time_zone, fold=0)
        round_trip = time.astimezone(datetime.UTC).astimezone(
            cell_format.time_zone
        )
        if round_trip.replace(tzinfo=None) != time.replace(tzinfo=None):
            raise ValueError(
                f"{text!r}: does not exist on that day, as clocks go forward"
            )
    return int(time.timestamp() * 1_000)


def _to_integer(text: str, scaled: decimal.Decimal, unit: str) -> int:
    if scaled != scaled.to_integral_value():
        raise ValueError(f"{text!r}: more precise than {unit}")
    return int(scaled)
