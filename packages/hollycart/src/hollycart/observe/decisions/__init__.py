"""Lines of the decision log: one type for each event.

The names of the events and fields are part of the log format. Times are in ms.
`request` is the id that the caller sent and `attempt` the id of one placement.
`endpoint` is the id of one incarnation of an endpoint. `age_ms` is the time
since the state was last confirmed to be the newest.
"""

from hollycart.observe.decisions._base import Decision
from hollycart.observe.decisions._buffers import ResponseShed
from hollycart.observe.decisions._cold import EndpointCold
from hollycart.observe.decisions._crashes import EngineCrashed
from hollycart.observe.decisions._crashes import Quarantined
from hollycart.observe.decisions._crashes import QuarantineTrial
from hollycart.observe.decisions._endpoints import EndpointLeaving
from hollycart.observe.decisions._endpoints import EndpointLimited
from hollycart.observe.decisions._endpoints import EndpointPaused
from hollycart.observe.decisions._endpoints import EndpointReachable
from hollycart.observe.decisions._endpoints import EndpointReplaced
from hollycart.observe.decisions._endpoints import EndpointUnreachable
from hollycart.observe.decisions._endpoints import LoadSurveyed
from hollycart.observe.decisions._endpoints import PermitRefused
from hollycart.observe.decisions._evacuations import ZoneEvacuated
from hollycart.observe.decisions._evacuations import ZoneEvacuationMissing
from hollycart.observe.decisions._evacuations import ZoneReopened
from hollycart.observe.decisions._isolation import InstancesMissing
from hollycart.observe.decisions._isolation import Isolated
from hollycart.observe.decisions._isolation import Rejoined
from hollycart.observe.decisions._lifecycle import Draining
from hollycart.observe.decisions._lifecycle import LoopDelayed
from hollycart.observe.decisions._lifecycle import Message
from hollycart.observe.decisions._lifecycle import Reloaded
from hollycart.observe.decisions._lifecycle import Started
from hollycart.observe.decisions._lifecycle import Stopped
from hollycart.observe.decisions._lifecycle import Suppressed
from hollycart.observe.decisions._requests import Answered
from hollycart.observe.decisions._requests import CallerLeft
from hollycart.observe.decisions._requests import Failed
from hollycart.observe.decisions._requests import FirstEvent
from hollycart.observe.decisions._requests import ForeignAnswer
from hollycart.observe.decisions._requests import Offered
from hollycart.observe.decisions._requests import Placed
from hollycart.observe.decisions._requests import PlacedAgain
from hollycart.observe.decisions._requests import Repeated
from hollycart.observe.decisions._spill import SpillTerms
from hollycart.observe.decisions._state import CellChanged
from hollycart.observe.decisions._state import FreshnessLost
from hollycart.observe.decisions._state import FreshnessRegained
from hollycart.observe.decisions._state import PeerFound
from hollycart.observe.decisions._state import PeerLost
from hollycart.observe.decisions._state import StateLearned
from hollycart.observe.decisions._state import StoreLost
from hollycart.observe.decisions._state import StoreRegained
from hollycart.observe.decisions._state import StoreRestored

# All types, for readers of the log.
DECISIONS: tuple[type[Decision], ...] = (
    Placed,
    FirstEvent,
    Repeated,
    Answered,
    Failed,
    CallerLeft,
    ForeignAnswer,
    ResponseShed,
    StateLearned,
    EndpointUnreachable,
    EngineCrashed,
    QuarantineTrial,
    Quarantined,
    EndpointReachable,
    EndpointLeaving,
    EndpointReplaced,
    EndpointLimited,
    EndpointCold,
    EndpointPaused,
    PermitRefused,
    ZoneEvacuated,
    ZoneEvacuationMissing,
    ZoneReopened,
    PeerFound,
    PeerLost,
    CellChanged,
    Offered,
    PlacedAgain,
    LoadSurveyed,
    Isolated,
    Rejoined,
    InstancesMissing,
    StoreLost,
    StoreRegained,
    StoreRestored,
    FreshnessLost,
    FreshnessRegained,
    LoopDelayed,
    Started,
    Draining,
    Stopped,
    Reloaded,
    Suppressed,
    Message,
)

__all__ = [
    "DECISIONS",
    "Answered",
    "CallerLeft",
    "CellChanged",
    "Decision",
    "Draining",
    "EndpointCold",
    "EndpointLeaving",
    "EndpointLimited",
    "EndpointPaused",
    "EndpointReachable",
    "EndpointReplaced",
    "EndpointUnreachable",
    "EngineCrashed",
    "Failed",
    "FirstEvent",
    "ForeignAnswer",
    "FreshnessLost",
    "FreshnessRegained",
    "InstancesMissing",
    "Isolated",
    "LoadSurveyed",
    "LoopDelayed",
    "Message",
    "Offered",
    "PeerFound",
    "PeerLost",
    "PermitRefused",
    "Placed",
    "PlacedAgain",
    "QuarantineTrial",
    "Quarantined",
    "Rejoined",
    "Reloaded",
    "Repeated",
    "SpillTerms",
    "ResponseShed",
    "Started",
    "StateLearned",
    "Stopped",
    "StoreLost",
    "StoreRegained",
    "StoreRestored",
    "Suppressed",
    "ZoneEvacuated",
    "ZoneEvacuationMissing",
    "ZoneReopened",
]
