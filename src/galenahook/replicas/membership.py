"""Cluster membership and quorums.

A member is bound to the identifier of its data folder. A replica that lost its
disk has another identifier, so it does not count until it is admitted again.
"""

from collections.abc import Iterable
import dataclasses

from galenahook import commands
from galenahook import errors
from galenahook import findings as findings_lib


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """One replica of the cluster.

    Attributes:
      name: Name of the replica.
      address: `host:port` of its listener for peers.
      folder: Identifier of its data folder.
      voter: False for a learner, which receives the log but has no vote.
    """

    name: str
    address: str
    folder: str
    voter: bool = True

    def __str__(self) -> str:
        return f"{self.name}={self.address}#{self.folder}"


@dataclasses.dataclass(slots=True, frozen=True)
class Members:
    """Membership of the cluster at one index of the log.

    Attributes:
      index: Index of the entry that set it, 0 for none.
      by_name: Members by name.
    """

    index: int = 0
    by_name: dict[str, Member] = dataclasses.field(default_factory=dict)

    @property
    def voters(self) -> list[Member]:
        """Members with a vote."""
        return [member for member in self.by_name.values() if member.voter]

    @property
    def learners(self) -> list[Member]:
        """Members without a vote."""
        return [member for member in self.by_name.values() if not member.voter]

    def quorum(self) -> int:
        """Returns the number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def is_voter(self, name: str, folder: str) -> bool:
        """Returns whether the folder has a vote under the name."""
        member = self.by_name.get(name)
        return member is not None and member.voter and member.folder == folder

    def command(self) -> commands.ChangeMembers:
        """Returns the command that sets this membership."""
        return commands.ChangeMembers(
            members=tuple(str(member) for member in self.voters),
            learners=tuple(str(member) for member in self.learners),
        )


def from_command(command: commands.ChangeMembers, index: int) -> Members:
    """Returns the membership that a command sets."""
    return from_texts(command.members, command.learners, index)


def from_texts(
    voters: Iterable[str], learners: Iterable[str], index: int
) -> Members:
    """Parses members in the form `name=host:port#folder`."""
    members = [
        *(_parse(text, True) for text in voters),
        *(_parse(text, False) for text in learners),
    ]
    return Members(index, {member.name: member for member in members})


def _parse(text: str, voter: bool) -> Member:
    head, _, folder = text.partition("#")
    name, separator, address = head.partition("=")
    if not separator or not folder:
        finding = findings_lib.Finding(
            "$.members", f"expected name=host:port#folder, got {text!r}"
        )
        raise errors.InvalidInputError([finding])
    return Member(name, address, folder, voter)


def highest_of_quorum(values: Iterable[int], quorum: int) -> int:
    """Returns the highest value that a quorum has reached.

    Args:
      values: One value per voter.
      quorum: Number of voters that form a quorum.
    """
    return sorted(values, reverse=True)[quorum - 1]
