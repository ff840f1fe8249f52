"""Datagrams about crashes of engines and traits in quarantine.

As in `_messages`, the order of the fields and the tag are the wire format.
Times are relative to the sending, as the clocks of instances differ.
"""

import msgspec

from hollycart_core import crashes


class Suspect(msgspec.Struct, array_like=True):
    """An attempt that may have crashed an engine, see `SuspectAttempt`."""

    attempt_id: str
    traits: list[str]
    sent_age_ms: float


class Crash(msgspec.Struct, array_like=True):
    """The crash of an engine, see `crashes.EngineCrash`."""

    endpoint: str
    born_ms: int
    service: str
    age_ms: float
    suspects: list[Suspect]


class Success(msgspec.Struct, array_like=True):
    """An engine answered a request with a trait.

    Attributes:
        service: Service of the engine.
        trait: The trait.
        age_ms: Time since the first event of the answer, in ms.
    """

    service: str
    trait: str
    age_ms: float


class Entry(msgspec.Struct, array_like=True):
    """A trait in quarantine, see `crashes.QuarantineEntry`."""

    service: str
    trait: str
    traits: list[str]
    version: int
    released: bool
    trial_in_ms: float
    failed_trials: int
    trial_delay_ms: float
    crash_age_ms: float
    trial_by: str
    was_answered: bool = False


class CrashEvidence(msgspec.Struct, tag="k", array_like=True):
    """Announces what an instance knows of crashes.

    Attributes:
        sender: Name of the instance.
        crashes: Crashes of engines.
        successes: Sound answers.
        entries: Traits in quarantine, and those released from it.
        forward: Whether the receiver passes the message on to its cell.
    """

    sender: str
    crashes: list[Crash] = []
    successes: list[Success] = []
    entries: list[Entry] = []
    forward: bool = False


def pack_crash(crash: crashes.EngineCrash, now_ms: float) -> Crash:
    """Converts a crash for sending."""
    return Crash(
        crash.endpoint,
        crash.born_ms,
        crash.service,
        now_ms - crash.at_ms,
        [
            Suspect(s.attempt_id, list(s.traits), now_ms - s.sent_ms)
            for s in crash.suspects
        ],
    )


def unpack_crash(crash: Crash, now_ms: float) -> crashes.EngineCrash:
    """Converts a received crash to the clock of this instance.

    Example:
        >>> suspect = crashes.SuspectAttempt("a", ("f",), 1.0)
        >>> crash = crashes.EngineCrash("e", 1, "s", 4.0, (suspect,))
        >>> unpack_crash(pack_crash(crash, 9.0), 9.0) == crash
        True
    """
    return crashes.EngineCrash(
        crash.endpoint,
        crash.born_ms,
        crash.service,
        now_ms - crash.age_ms,
        tuple(
            crashes.SuspectAttempt(
                s.attempt_id, tuple(s.traits), now_ms - s.sent_age_ms
            )
            for s in crash.suspects
        ),
    )


def pack_entry(entry: crashes.QuarantineEntry, now_ms: float) -> Entry:
    """Converts an entry for sending."""
    return Entry(
        entry.service,
        entry.trait,
        sorted(entry.traits),
        entry.version,
        entry.released,
        entry.trial_at_ms - now_ms,
        entry.failed_trials,
        entry.trial_delay_ms,
        now_ms - entry.last_crash_ms,
        entry.trial_by,
        entry.was_answered,
    )


def unpack_entry(entry: Entry, now_ms: float) -> crashes.QuarantineEntry:
    """Converts a received entry to the clock of this instance.

    Example:
        >>> entry = crashes.QuarantineEntry(
        ...     "s", "p", frozenset("fp"), 2, False, 9.0, 1, 5.0, 3.0, "me"
        ... )
        >>> unpack_entry(pack_entry(entry, 4.0), 4.0) == entry
        True
    """
    return crashes.QuarantineEntry(
        entry.service,
        entry.trait,
        frozenset(entry.traits),
        entry.version,
        entry.released,
        now_ms + entry.trial_in_ms,
        entry.failed_trials,
        entry.trial_delay_ms,
        now_ms - entry.crash_age_ms,
        entry.trial_by,
        entry.was_answered,
    )
