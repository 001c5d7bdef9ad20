"""Messages exchanged as JSON over HTTP, and their codec.

`docs/INTERFACES.md` lists the routes. Durations are in milliseconds, memory
sizes in MB (2**20 bytes), processors in thousandths of a core.
"""

from galenahook.messages.codec import MAX_NUMBER as MAX_NUMBER
from galenahook.messages.codec import Amount as Amount
from galenahook.messages.codec import Count as Count
from galenahook.messages.codec import Integer as Integer
from galenahook.messages.codec import Message as Message
from galenahook.messages.codec import decode as decode
from galenahook.messages.codec import encode as encode
from galenahook.messages.entries import ClaimKeys as ClaimKeys
from galenahook.messages.entries import ClaimKeysReply as ClaimKeysReply
from galenahook.messages.entries import EntryConfiguration as EntryConfiguration
from galenahook.messages.entries import EntryUpdate as EntryUpdate
from galenahook.messages.entries import EntryUpdateReply as EntryUpdateReply
from galenahook.messages.entries import ExecutorAddress as ExecutorAddress
from galenahook.messages.entries import KeyClaim as KeyClaim
from galenahook.messages.entries import NotLeader as NotLeader
from galenahook.messages.entries import Refusal as Refusal
from galenahook.messages.entries import ServiceRoute as ServiceRoute
from galenahook.messages.entries import SlotGrant as SlotGrant
from galenahook.messages.entries import SlotUse as SlotUse
from galenahook.messages.upstreams import Announcement as Announcement
from galenahook.messages.upstreams import AnnouncementReply as AnnouncementReply
from galenahook.messages.upstreams import AttemptRef as AttemptRef
from galenahook.messages.upstreams import AttemptReport as AttemptReport
from galenahook.messages.upstreams import AttemptStatus as AttemptStatus
from galenahook.messages.upstreams import CheckpointOrder as CheckpointOrder
from galenahook.messages.upstreams import CheckpointReply as CheckpointReply
from galenahook.messages.upstreams import Completed as Completed
from galenahook.messages.upstreams import (
    ExecutorAnnouncement as ExecutorAnnouncement,
)
from galenahook.messages.upstreams import Failed as Failed
from galenahook.messages.upstreams import Outcome as Outcome
from galenahook.messages.upstreams import ReportReply as ReportReply
from galenahook.messages.upstreams import Resources as Resources
from galenahook.messages.upstreams import StartOrder as StartOrder
from galenahook.messages.upstreams import StartReply as StartReply
from galenahook.messages.upstreams import StopOrder as StopOrder
from galenahook.messages.upstreams import StopReply as StopReply
from galenahook.messages.upstreams import TailSample as TailSample
from galenahook.messages.upstreams import ThrottleOrder as ThrottleOrder
from galenahook.messages.upstreams import ThrottleReply as ThrottleReply
from galenahook.messages.upstreams import (
    WorkerAnnouncement as WorkerAnnouncement,
)
