"""Commands: the entries of the replicated log.

Every replica applies the same commands in the same order, so applying one
depends only on the command and the state, never on a clock or on randomness.
"""

from galenahook.commands.changes import ApplySheet as ApplySheet
from galenahook.commands.changes import AvailabilityZoneIn as AvailabilityZoneIn
from galenahook.commands.changes import (
    AvailabilityZoneOut as AvailabilityZoneOut,
)
from galenahook.commands.changes import CancelJobs as CancelJobs
from galenahook.commands.changes import Change as Change
from galenahook.commands.changes import DrainUpstream as DrainUpstream
from galenahook.commands.changes import PutJob as PutJob
from galenahook.commands.changes import PutService as PutService
from galenahook.commands.changes import RemoveService as RemoveService
from galenahook.commands.changes import UndrainUpstream as UndrainUpstream
from galenahook.commands.jobs import Blame as Blame
from galenahook.commands.jobs import CancelJob as CancelJob
from galenahook.commands.jobs import JobDescription as JobDescription
from galenahook.commands.jobs import LearnedBaseline as LearnedBaseline
from galenahook.commands.jobs import LearnedWeight as LearnedWeight
from galenahook.commands.jobs import PutSite as PutSite
from galenahook.commands.jobs import QueueRow as QueueRow
from galenahook.commands.jobs import RecordRuns as RecordRuns
from galenahook.commands.jobs import RunConfirmed as RunConfirmed
from galenahook.commands.jobs import RunEnd as RunEnd
from galenahook.commands.jobs import RunStart as RunStart
from galenahook.commands.jobs import ServicePool as ServicePool
from galenahook.commands.jobs import SetZoneService as SetZoneService
from galenahook.commands.jobs import StepDescription as StepDescription
from galenahook.commands.jobs import StoreHeadroomModel as StoreHeadroomModel
from galenahook.commands.jobs import SubmitJob as SubmitJob
from galenahook.commands.log import AttemptCompleted as AttemptCompleted
from galenahook.commands.log import AttemptEnd as AttemptEnd
from galenahook.commands.log import AttemptEndOutcome as AttemptEndOutcome
from galenahook.commands.log import AttemptFailed as AttemptFailed
from galenahook.commands.log import AttemptGone as AttemptGone
from galenahook.commands.log import AttemptStart as AttemptStart
from galenahook.commands.log import ChangeConfiguration as ChangeConfiguration
from galenahook.commands.log import ChangeMembers as ChangeMembers
from galenahook.commands.log import CheckpointTaken as CheckpointTaken
from galenahook.commands.log import ClaimKeys as ClaimKeys
from galenahook.commands.log import Command as Command
from galenahook.commands.log import EndAttempts as EndAttempts
from galenahook.commands.log import EvictAttempts as EvictAttempts
from galenahook.commands.log import Noop as Noop
from galenahook.commands.log import RecordCheckpoints as RecordCheckpoints
from galenahook.commands.log import StartAttempts as StartAttempts
from galenahook.commands.log import decode_command as decode_command
from galenahook.commands.log import encode_command as encode_command
from galenahook.commands.results import AttemptsApplied as AttemptsApplied
from galenahook.commands.results import ChangeAccepted as ChangeAccepted
from galenahook.commands.results import ChangeConflict as ChangeConflict
from galenahook.commands.results import ChangeInvalid as ChangeInvalid
from galenahook.commands.results import ChangeResult as ChangeResult
from galenahook.commands.results import Done as Done
from galenahook.commands.results import JobStored as JobStored
from galenahook.commands.results import JobUnknown as JobUnknown
from galenahook.commands.results import KeysClaimed as KeysClaimed
from galenahook.commands.results import Result as Result
from galenahook.commands.sheet import JobRow as JobRow
from galenahook.commands.sheet import ServiceRow as ServiceRow
from galenahook.commands.sheet import Sheet as Sheet
from galenahook.commands.sheet import TeamQuota as TeamQuota
