"""Carries out an operator's order about a zone only while the operator waits.

An operator that gets no reply sends its order to another replica, and then the
next order. A copy of the first one may be late: in the socket of a replica that
was frozen, or on its way to the leader. It must not undo the orders that were
acknowledged meanwhile.

So a replica first asks the leader for a ticket, which is valid until the next
order about the zone, and sends the order with it if the operator still waits
then. A copy that is late on its way to the leader has an outdated ticket.
"""

from collections.abc import Awaitable
from collections.abc import Callable

import curio

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook.jobs import calls

# The end of the connection of an operator that gave up arrives up to a round
# trip after its order.
_SETTLE_MS = 50

LeaderCall = Callable[[calls.JobCall, int], Awaitable[calls.JobReply]]


class AbandonedOrderError(errors.GalenahookError):
    """The operator no longer waits for its order."""


async def carry_out(
    order: calls.ZoneCall,
    call_leader: LeaderCall,
    is_abandoned: Callable[[], bool],
    clock: clock_lib.Clock,
    timeout_ms: int,
) -> calls.JobReply:
    """Sends an order about a zone to the leader and returns the reply.

    Args:
      order: The order; its ticket is ignored.
      call_leader: Sends a call to the leader and returns its reply within a
        timeout in milliseconds.
      is_abandoned: Whether the operator has closed its connection.
      clock: Clock of the process.
      timeout_ms: How long the operator waits, in milliseconds.

    Raises:
      AbandonedOrderError: The operator no longer waits. Its order had no
        effect, unless an earlier attempt had no clear reply.
      errors.NoQuorumError: No leader replied in time.
    """
    end_ms = clock.monotonic_ms() + timeout_ms
    zone = order.availability_zone
    await curio.sleep(clock_lib.seconds(_SETTLE_MS))

    def require_operator() -> int:
        left_ms = end_ms - clock.monotonic_ms()
        if left_ms <= 0 or is_abandoned():
            raise AbandonedOrderError(
                f"the operator no longer waits for its order about zone {zone}"
            )
        return left_ms

    while True:
        granted = await call_leader(
            calls.ZoneTicketCall(availability_zone=zone), require_operator()
        )
        ticketed = calls.ZoneCall(
            availability_zone=zone, out=order.out, ticket=granted.ticket
        )
        # The operator was still waiting when the leader issued the ticket.
        reply = await call_leader(ticketed, require_operator())
        if reply.outcome != "outdated":
            return reply
