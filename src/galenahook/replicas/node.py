"""One replica: the seam between the replicated state and its users.

This form keeps its state in memory and leads alone.
"""

from galenahook import commands
from galenahook import state as state_lib


class Node:
    """Replicates commands and applies them to the state.

    Attributes:
      name: Name of this replica.
      state: State after every applied command. Readers must not change it.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.state = state_lib.State()

    async def run(self) -> None:
        """Runs the replica until cancelled."""

    async def submit(self, command: commands.Command) -> commands.Result:
        """Commits a command, applies it and returns its result.

        Raises:
          errors.NotLeaderError: Certainly not committed.
          errors.NoQuorumError: Not known to be committed in time; it may yet
            be. The caller must resolve this by reading the state.
          errors.StorageError: The data folder failed.
        """
        return self.state.apply(command)

    def is_leader(self) -> bool:
        """Whether this replica leads and has applied all earlier terms."""
        return True

    def may_act(self) -> bool:
        """Whether the leader's lease is valid at this moment.

        While true, no other replica can have been elected. Checked right
        before each message that gives work away.
        """
        return True

    def leader_name(self) -> str:
        """Name of the known leader, or an empty string."""
        return self.name

    def term(self) -> int:
        """Current term; it rises with each election."""
        return 1
