"""Handles operators' requests on the leader: changes and queries."""

import urllib.parse

import curio

from galenahook import audit as audit_lib
from galenahook import clock as clock_lib
from galenahook import commands
from galenahook import configuration_changes as changes_lib
from galenahook import errors
from galenahook import findings as findings_lib
from galenahook import leader as leader_lib
from galenahook import logs
from galenahook import messages
from galenahook import settings as settings_lib
from galenahook import web
from galenahook.operators import change_checks
from galenahook.operators import explanations
from galenahook.operators import revision_tracker as revision_tracker_lib
from galenahook.operators import sheet_difference
from galenahook.operators import sheets
from galenahook.operators import status as status_lib
from galenahook.operators import wire

# A change must be committed within this time, plus 1 ms for each
# `_COMMIT_BYTES_PER_MS` of its request; else the operator gets "no quorum".
_COMMIT_TIMEOUT_MS = 900
_COMMIT_BYTES_PER_MS = 10_000
# Larger changes are checked in a thread, to keep the event loop responsive.
_MAX_INLINE_CHECK_BYTES = 64 * 1_024
# File name in the findings of an uploaded sheet.
_UPLOADED_FILE = "sheet"
# Largest signed 64-bit integer.
_MAX_CHANGE_NUMBER = 2**63 - 1


class OperatorHandler:
    """Handles operators' requests on the leader during one term.

    Attributes:
      leader: The leader's state in this term.
      audit: Audit trail of this replica.
    """

    def __init__(
        self,
        leader: leader_lib.Leader,
        audit: audit_lib.AuditTrail,
        timing: settings_lib.Timing,
        clock: clock_lib.Clock,
    ) -> None:
        self.leader = leader
        self.audit = audit
        self.clock = clock
        self.revision_tracker = revision_tracker_lib.RevisionTracker(
            leader, timing, clock
        )

    async def handle(self, request: web.Request) -> web.Response:
        """Handles one request that an entry relayed.

        Raises:
          errors.NotLeaderError: This replica doesn't lead.
        """
        if not self.leader.node.has_valid_lease():
            return web.refusal(503, "no quorum")
        path, _, query = request.target.partition("?")
        route = request.method, path.removeprefix(wire.LEADER_PREFIX)
        try:
            return await self._route(route, request, _parse_query(query))
        except errors.InvalidInputError as error:
            return web.refusal(400, "invalid message", error.findings)
        except (errors.NoQuorumError, curio.TaskTimeout):
            return web.refusal(503, "no quorum")
        except errors.StorageError as error:
            return web.refusal(503, str(error))

    async def _route(
        self,
        route: tuple[str, str],
        request: web.Request,
        query: dict[str, str],
    ) -> web.Response:
        match route:
            case "POST", "/changes":
                return await self._change(request)
            case "POST", "/sheet/check":
                return await self._check_sheet(request)
            case "POST", "/sheet/diff":
                return await self._diff_sheet(request)
            case "GET", "/status":
                return await self._status()
            case "GET", "/jobs":
                view = status_lib.take_view(self.leader, self.revision_tracker)
                reply = await curio.run_in_thread(status_lib.list_jobs, view)
                return web.json_response(reply)
            case "GET", "/explain":
                return self._explain(query)
            case "GET", "/audit":
                return await self._audit(query)
            case "POST", "/replicas":
                return await self._change_replicas(request)
            case "GET", "/revision":
                return web.json_response(self.revision_tracker.revision())
            case _:
                return web.refusal(404, "no such route")

    # --- Changes --------------------------------------------------------------

    async def _change(self, request: web.Request) -> web.Response:
        operator_change = messages.decode(request.body, wire.OperatorChange)
        findings = _check_numbers(operator_change)
        findings += await _check_change(
            operator_change.change, len(request.body)
        )
        if findings:
            return web.refusal(422, "invalid change", findings)
        invalid = self._reject_unknown_names(operator_change)
        if invalid is not None:
            return web.json_response(invalid, 422)
        operator = request.header(wire.OPERATOR_HEADER).decode("utf-8")
        timeout_ms = _COMMIT_TIMEOUT_MS + (
            len(request.body) // _COMMIT_BYTES_PER_MS
        )
        async with curio.timeout_after(clock_lib.seconds(timeout_ms)):
            result = await self.leader.node.submit(
                commands.ChangeConfiguration(
                    operator=operator,
                    number=operator_change.number,
                    base_revision=operator_change.base_revision,
                    at_ms=self.clock.wall_ms(),
                    change=operator_change.change,
                )
            )
        assert isinstance(result, commands.ChangeResult)
        await self._finish_change(request, operator, operator_change, result)
        return web.json_response(result, _http_status(result))

    def _reject_unknown_names(
        self, operator_change: wire.OperatorChange
    ) -> commands.ChangeInvalid | None:
        configuration = self.leader.node.state.configuration
        if operator_change.number in configuration.changes:
            # A resent change gets the result stored under its number, even if
            # its names are unknown by now.
            return None
        reason = change_checks.find_unknown(operator_change.change, self.leader)
        if not reason:
            return None
        revision = configuration.current.revision
        return commands.ChangeInvalid(revision=revision, reason=reason)

    async def _finish_change(
        self,
        request: web.Request,
        operator: str,
        operator_change: wire.OperatorChange,
        result: commands.ChangeResult,
    ) -> None:
        identifier = request.header(wire.REQUEST_HEADER).decode("latin-1")
        logs.info(
            "operator:change",
            request=identifier,
            operator=operator,
            number=operator_change.number,
            change=type(operator_change.change).__name__,
            result=type(result).__name__,
            revision=result.revision,
        )
        if not isinstance(result, commands.ChangeAccepted):
            return
        self.revision_tracker.record_accepted(result.revision)
        try:
            await self.audit.write_missing(self.leader.node.state.configuration)
        except errors.StorageError as error:
            # The change is committed; a later write completes the trail.
            logs.error("audit:write-failed", reason=str(error))

    async def _change_replicas(self, request: web.Request) -> web.Response:
        change = messages.decode(request.body, wire.ReplicaChange)  # type: ignore[arg-type, var-annotated]
        node = self.leader.node
        match change:
            case wire.AddReplica(name=name, address=address):
                outcome = await node.add_learner(name, address)
            case wire.PromoteReplica(name=name):
                outcome = await node.promote(name)
            case wire.RemoveReplica(name=name):
                outcome = await node.remove(name)
        reason = "" if outcome.is_ok() else outcome.error.reason
        logs.info(
            "operator:replicas",
            request=request.header(wire.REQUEST_HEADER).decode("latin-1"),
            operator=request.header(wire.OPERATOR_HEADER).decode("utf-8"),
            change=type(change).__name__,
            replica=change.name,
            refused=reason,
        )
        if reason:
            return web.refusal(409, reason)
        members = wire.ReplicaMembers(
            voters=tuple(member.name for member in outcome.ok.voters),
            learners=tuple(member.name for member in outcome.ok.learners),
        )
        return web.json_response(members)

    # --- Sheets ---------------------------------------------------------------

    async def _check_sheet(self, request: web.Request) -> web.Response:
        read = await curio.run_in_thread(_read_sheet, request)
        findings = tuple(read.swap().default_value([]))
        status = 422 if findings else 200
        return web.json_response(wire.SheetFindings(findings=findings), status)

    async def _diff_sheet(self, request: web.Request) -> web.Response:
        read = await curio.run_in_thread(_read_sheet, request)
        if read.is_error():
            return web.refusal(422, "invalid sheet", read.error)
        difference = await curio.run_in_thread(self._diff, read.ok)
        return web.json_response(difference)

    def _diff(self, sheet: commands.Sheet) -> wire.SheetDifference:
        state = self.leader.node.state
        before = state.configuration.current
        after = changes_lib.apply_change(
            before,
            commands.ApplySheet(sheet=sheet),
            state.has_unfinished_work,
        )
        return sheet_difference.compare(before, after, sheet)

    # --- Queries --------------------------------------------------------------

    async def _status(self) -> web.Response:
        view = status_lib.take_view(self.leader, self.revision_tracker)
        reply = await curio.run_in_thread(status_lib.build, view)
        return web.json_response(reply)

    def _explain(self, query: dict[str, str]) -> web.Response:
        explanation = explanations.explain(self.leader, query)
        if explanation is None:
            return web.refusal(
                400, "expected ?job=NAME, ?service=NAME or ?request=ID"
            )
        return web.json_response(explanation, 200 if explanation.known else 404)

    async def _audit(self, query: dict[str, str]) -> web.Response:
        configuration = self.leader.node.state.configuration
        revision = configuration.current.revision
        first = _parse_revision(query, "from", 1)
        last = min(_parse_revision(query, "to", revision), revision)
        await self.audit.write_missing(configuration)
        records = await self.audit.read(first, last)
        next_revision = 0
        if len(records) >= audit_lib.MAX_RECORDS_READ:
            next_revision = audit_lib.last_revision_of(records[-1]) + 1
        return web.json_response(
            wire.AuditReply(
                records=tuple(records),
                next_revision=next_revision if next_revision <= last else 0,
            )
        )


async def _check_change(
    change: commands.Change, body_bytes: int
) -> list[findings_lib.Finding]:
    """Checks a change; a large one in a thread, to keep the loop responsive."""
    if body_bytes <= _MAX_INLINE_CHECK_BYTES:
        return change_checks.check(change)
    return await curio.run_in_thread(change_checks.check, change)


def _http_status(result: commands.ChangeResult) -> int:
    match result:
        case commands.ChangeAccepted():
            return 200
        case commands.ChangeConflict():
            return 409
        case commands.ChangeInvalid():
            return 422


def _read_sheet(request: web.Request) -> sheets.SheetResult:
    content_type = request.header(b"content-type").lower()
    if content_type.startswith(b"application/json"):
        return sheets.read_json(request.body, _UPLOADED_FILE)
    return sheets.read_csv(request.body, _UPLOADED_FILE)


def _parse_query(query: str) -> dict[str, str]:
    return dict(urllib.parse.parse_qsl(query, keep_blank_values=True))


def _parse_revision(query: dict[str, str], name: str, default: int) -> int:
    text = query.get(name, "")
    if not text:
        return default
    if not text.isascii() or not text.isdigit() or len(text) > 15:
        finding = findings_lib.Finding(f"?{name}", "expected a revision")
        raise errors.InvalidInputError([finding])
    return int(text)


def _check_numbers(
    operator_change: wire.OperatorChange,
) -> list[findings_lib.Finding]:
    findings = findings_lib.Findings()
    if not 0 < operator_change.number <= _MAX_CHANGE_NUMBER:
        findings.add("$.number", f"expected 1 to {_MAX_CHANGE_NUMBER}")
    if operator_change.base_revision < 0:
        findings.add("$.base_revision", "must not be negative")
    return findings.items
