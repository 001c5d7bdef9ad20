"""Takes calls about jobs to whichever replica leads, until they are answered.

Every call is idempotent, so one whose answer was lost is sent again.
"""

import curio

from galenahook import clock as clock_lib
from galenahook import errors
from galenahook import leader_client
from galenahook import web
from galenahook.jobs import calls

JOBS_TARGET = "/v1/jobs/call"
# Longest wait for one replica's answer before another is tried.
ATTEMPT_MS = 900
# Pause after every replica said that it does not lead.
RETRY_MS = 40


class UnansweredError(errors.NoQuorumError):
    """No leader answered a call in time.

    Attributes:
      may_have_run: Whether a leader may have received the call.
    """

    def __init__(self, reason: str, may_have_run: bool) -> None:
        super().__init__(reason)
        self.may_have_run = may_have_run


class Gateway:
    """Sends calls to the leader.

    Attributes:
      leader: Client that finds the leader.
    """

    def __init__(
        self,
        replicas: dict[str, str],
        client: web.ControlClient,
        clock: clock_lib.Clock,
    ) -> None:
        self.leader = leader_client.LeaderClient(replicas, client, clock)
        self._clock = clock

    async def call(
        self, call: calls.JobCall, timeout_ms: int
    ) -> calls.JobReply:
        """Returns the leader's answer.

        Raises:
          UnansweredError: None came in time.
        """
        deadline_ms = self._clock.monotonic_ms() + timeout_ms
        may_have_run = False
        reason = "no time"
        while True:
            left_ms = deadline_ms - self._clock.monotonic_ms()
            if left_ms <= 0:
                raise UnansweredError(reason, may_have_run)
            try:
                return await self.leader.post(
                    JOBS_TARGET,
                    call,
                    calls.JobReply,
                    min(left_ms, ATTEMPT_MS),
                )
            except errors.ExchangeError as error:
                may_have_run = may_have_run or error.sent
                reason = str(error)
            except errors.NoQuorumError as error:
                reason = str(error)
                may_have_run = may_have_run or _is_uncertain(error)
            await curio.sleep(clock_lib.seconds(min(RETRY_MS, left_ms)))

    def learn(self, replicas: dict[str, str]) -> None:
        """Takes the group's members, so that the first ones may go."""
        known = self.leader.replicas
        for name, address in replicas.items():
            known[name] = address
        for name in known.keys() - replicas.keys():
            del known[name]
        if self.leader.leader not in known:
            self.leader.leader = next(iter(known))


def _is_uncertain(error: errors.NoQuorumError) -> bool:
    """Whether a leader answered that the commit is not known."""
    return not isinstance(error, leader_client.NoLeaderError)
