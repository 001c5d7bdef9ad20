"""Cells of a planner's CSV table: numbers, marks, days and times.

Each parser takes the cell's text without surrounding space and returns its
value, or raises `ValueError` with what was expected.
"""

import dataclasses
import datetime
import decimal
import re
import zoneinfo

_NUMBER = re.compile(r"-?\d+(?:[.,]\d+)?")
_MAYBE_THOUSANDS = re.compile(r"-?[1-9]\d{0,2}[.,]\d{3}")
_TIME = re.compile(r"(\d{1,2}):(\d{2})(?:\s*\+(\d))?")

_MB_PER_GB = 1_024
_MS_PER_MINUTE = 60_000

_MARKS = {
    "yes": True,
    "true": True,
    "x": True,
    "1": True,
    "no": False,
    "false": False,
    "0": False,
}


@dataclasses.dataclass(slots=True)
class Calendar:
    """What times in the sheet mean.

    Attributes:
      day: The sheet's day, None if it gives none.
      time_zone: Where the planners' clocks are.
      decimal_comma: Whether numbers may have a decimal comma.
    """

    day: datetime.date | None = None
    time_zone: datetime.tzinfo = datetime.UTC
    decimal_comma: bool = False


def parse_number(text: str, calendar: Calendar) -> decimal.Decimal:
    """Parses a decimal number."""
    if not _NUMBER.fullmatch(text):
        raise ValueError(f"{text!r}: expected a number")
    if "," in text and not calendar.decimal_comma:
        raise ValueError(f"{text!r}: expected a decimal point, not a comma")
    if _MAYBE_THOUSANDS.fullmatch(text):
        raise ValueError(
            f"{text!r}: could be thousands or decimals; write it without a"
            " thousands separator"
        )
    return decimal.Decimal(text.replace(",", "."))


def parse_whole(text: str) -> int:
    """Parses a whole number."""
    if not re.fullmatch(r"-?\d{1,15}", text):
        raise ValueError(f"{text!r}: expected a whole number")
    return int(text)


def parse_cores(text: str, calendar: Calendar) -> int:
    """Parses processor cores to thousandths of a core."""
    return _scaled(text, parse_number(text, calendar) * 1_000, "0.001")


def parse_memory_gb(text: str, calendar: Calendar) -> int:
    """Parses GB to MB, rounded up."""
    megabytes = parse_number(text, calendar) * _MB_PER_GB
    return int(megabytes.to_integral_value(decimal.ROUND_CEILING))


def parse_minutes(text: str, calendar: Calendar) -> int:
    """Parses minutes to milliseconds."""
    milliseconds = parse_number(text, calendar) * _MS_PER_MINUTE
    return int(milliseconds.to_integral_value(decimal.ROUND_HALF_UP))


def parse_mark(text: str) -> bool:
    """Parses yes or no."""
    mark = _MARKS.get(text.lower())
    if mark is None:
        raise ValueError(f"{text!r}: expected yes or no")
    return mark


def parse_day(text: str) -> datetime.date:
    """Parses a day in ISO 8601 form."""
    try:
        return datetime.date.fromisoformat(text)
    except ValueError:
        raise ValueError(f"{text!r}: expected a day as 2026-03-31") from None


def parse_time_zone(text: str) -> datetime.tzinfo:
    """Parses the name of a time zone."""
    try:
        return zoneinfo.ZoneInfo(text)
    except (ValueError, OSError, zoneinfo.ZoneInfoNotFoundError):
        raise ValueError(
            f"{text!r}: expected a time zone such as Europe/London"
        ) from None


def parse_time(text: str, calendar: Calendar) -> int:
    """Parses a moment to wall milliseconds.

    `06:00` is on the sheet's day, `06:00+1` on the day after; anything else
    is ISO 8601, local to the sheet's time zone unless it gives an offset.
    """
    match = _TIME.fullmatch(text)
    if match is None:
        return _parse_iso_time(text, calendar)
    if calendar.day is None:
        raise ValueError(f"{text!r}: a time alone needs the setting `day`")
    hour, minute, days = (int(group or 0) for group in match.groups())
    if hour > 23 or minute > 59:
        raise ValueError(f"{text!r}: expected a time from 00:00 to 23:59")
    moment = datetime.datetime.combine(
        calendar.day, datetime.time(hour, minute)
    )
    moment += datetime.timedelta(days=days)
    return _wall_ms(text, moment, calendar)


def _parse_iso_time(text: str, calendar: Calendar) -> int:
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError:
        moment = None
    if moment is None or len(text) <= len("2026-03-31"):
        raise ValueError(
            f"{text!r}: expected a time as 06:00, 06:00+1 for the next day,"
            " or 2026-03-31T06:00"
        )
    return _wall_ms(text, moment, calendar)


def _wall_ms(text: str, moment: datetime.datetime, calendar: Calendar) -> int:
    """Converts to wall time; of a time that occurs twice, the earlier one."""
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=calendar.time_zone, fold=0)
        there_and_back = moment.astimezone(datetime.UTC).astimezone(
            calendar.time_zone
        )
        if there_and_back.replace(tzinfo=None) != moment.replace(tzinfo=None):
            raise ValueError(
                f"{text!r}: skipped on that day, as clocks go forward"
            )
    return int(moment.timestamp() * 1_000)


def _scaled(text: str, scaled: decimal.Decimal, unit: str) -> int:
    if scaled != scaled.to_integral_value():
        raise ValueError(f"{text!r}: finer than {unit}")
    return int(scaled)
