"""Requests that crash engines."""

from hollycart.observe.decisions import _base


class EngineCrashed(_base.Decision, tag="engine_crashed"):
    """An engine with attempts of this instance refuses connections.

    Attributes:
        endpoint: Id of the engine.
        attempts: Ids of the attempts of this instance there.
        suspects: Traits of each request that may have crashed it: of those
            with a prompt, the ones that were prefilled and had not been in
            decode for long.
    """

    endpoint: str
    attempts: tuple[str, ...]
    suspects: tuple[tuple[str, ...], ...]


class Quarantined(_base.Decision, tag="quarantined"):
    """Requests with a trait are refused from now on, or are admitted again.

    Attributes:
        service: Service whose engines crash.
        trait: The trait that is held responsible: a segment of prompts, or the
            fingerprint of a request.
        traits: Traits that a request has to have, all of them, to be refused.
        released: Whether requests with it are admitted again.
        failed_trials: Number of trials that crashed an engine.
        trial_in_ms: Time until one request is admitted as a trial.
        crash_age_ms: Time since the last crash.
        trial_by: Instance that runs the present trial; empty for none.
        source: Instance that came to know it first.
    """

    service: str
    trait: str
    traits: tuple[str, ...]
    released: bool
    failed_trials: int
    trial_in_ms: float
    crash_age_ms: float
    trial_by: str
    source: str


class QuarantineTrial(_base.Decision, tag="quarantine_trial"):
    """A request with a trait in quarantine is admitted as a trial.

    Attributes:
        request: Id of the request.
        trait: The trait.
        failed_trials: Number of trials before that crashed an engine.
        crash_age_ms: Time since the last crash.
    """

    request: str
    trait: str
    failed_trials: int
    crash_age_ms: float
