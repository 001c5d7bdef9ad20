"""Logs the writes that a disk refuses, and when it accepts them again."""

from collections.abc import Callable
import dataclasses

from galenahook import logs

_LOG_PERIOD_MS = 1_000


@dataclasses.dataclass(slots=True)
class _Refusals:
    """Refused writes of one kind since the last write that succeeded."""

    since_ms: int
    logged_ms: int
    count: int = 0


class RefusedWrites:
    """Counts the refused writes of one replica by kind.

    Kinds are `log`, `ballot`, `identity`, `snapshot` and `incoming snapshot`.
    Each kind logs at most one refusal a second.
    """

    __slots__ = ("_by_kind", "_clock_ms")

    def __init__(self, clock_ms: Callable[[], int]) -> None:
        self._clock_ms = clock_ms
        self._by_kind: dict[str, _Refusals] = {}

    def record_refusal(self, kind: str, error: Exception) -> None:
        """Records that a write failed and will be tried again."""
        now_ms = self._clock_ms()
        refusals = self._by_kind.get(kind)
        if refusals is None:
            refusals = self._by_kind[kind] = _Refusals(
                now_ms, now_ms - _LOG_PERIOD_MS
            )
        refusals.count += 1
        if now_ms - refusals.logged_ms < _LOG_PERIOD_MS:
            return
        refusals.logged_ms = now_ms
        logs.warning(
            "disk:write-refused",
            kind=kind,
            reason=str(error),
            refused=refusals.count,
            for_ms=now_ms - refusals.since_ms,
        )

    def record_success(self, kind: str) -> None:
        """Records that a write succeeded."""
        refusals = self._by_kind.pop(kind, None)
        if refusals is not None:
            logs.info(
                "disk:write-accepted",
                kind=kind,
                refused=refusals.count,
                for_ms=self._clock_ms() - refusals.since_ms,
            )
