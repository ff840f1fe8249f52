"""Formats where a request would be sent."""

from hollycart_core import dry_run


def format_where(answer: dry_run.Answer) -> str:
    """Returns an answer as text, one fact a line."""
    return "\n".join(
        [
            _state_line(answer),
            f"route {answer.route or '-'}, service {answer.service or '-'}, "
            f"team {answer.team or '-'}",
            *_outcome_lines(answer),
            *(f"quarantined: {trait}" for trait in answer.quarantined),
            *(_candidate_line(c) for c in answer.candidates),
            *_omitted_lines(answer.omitted),
            "",
        ]
    )


def _state_line(answer: dry_run.Answer) -> str:
    age = "unconfirmed"
    if answer.state_age_ms is not None:
        age = f"{answer.state_age_ms:.0f} ms old"
    line = (
        f"instance {answer.instance} in zone {answer.zone}, configuration "
        f"{answer.config_version}, state {age}"
    )
    if not answer.is_state_fresh:
        line += ", too old for API keys"
    if answer.is_isolated:
        line += ", isolated: it would query the endpoints' load first"
    return line


def _outcome_lines(answer: dry_run.Answer) -> list[str]:
    lines = []
    refusal, chosen, offer = answer.refusal, answer.chosen, answer.offer
    if refusal is not None:
        lines.append(
            f"refused: {refusal.status} {refusal.code}: {refusal.detail}"
        )
        if refusal.retry_after_ms is not None:
            bound = "at least " if refusal.is_minimum else ""
            lines.append(
                f"  Retry-After: {bound}{refusal.retry_after_ms / 1000.0:.3f} s"
            )
    if chosen is not None:
        lines += _chosen_lines(chosen)
    if offer is not None:
        own = "none" if offer.own_loss is None else f"{offer.own_loss:.3f}"
        lines.append(
            f"offered to other cells ({', '.join(offer.cells) or 'none open'}) "
            f"first: {'yes' if offer.is_made else 'no'}, from a loss of "
            f"{offer.from_loss:.3f}{' if the gain pays' * offer.weighs_gain}"
            f", the own cell has {own}"
        )
    return lines


def _chosen_lines(chosen: dry_run.Chosen) -> list[str]:
    line = f"sent to {chosen.endpoint} in zone {chosen.zone}"
    if chosen.first_event_ms is not None and chosen.loss is not None:
        line += (
            f": first event in {chosen.first_event_ms:.0f} ms, "
            f"loss {chosen.loss:.3f}"
        )
    lines = [line]
    if chosen.helpers:
        lines.append(f"  helpers: {', '.join(chosen.helpers)}")
    if chosen.reservations:
        reserved = (f"{e} {n}" for e, n in chosen.reservations.items())
        lines.append(f"  reserved tokens: {', '.join(reserved)}")
    if chosen.send_delay_ms:
        lines.append(f"  sent after {chosen.send_delay_ms:.0f} ms")
    if chosen.needs_permit:
        lines.append("  needs a permit, which was not asked for")
    if chosen.is_trial:
        lines.append("  as the trial of a quarantine")
    return lines


def _candidate_line(candidate: dry_run.Candidate) -> str:
    line = f"{candidate.endpoint} in zone {candidate.zone}: "
    if candidate.first_event_ms is not None and candidate.loss is not None:
        line += (
            f"alone first event in {candidate.first_event_ms:.0f} ms, "
            f"loss {candidate.loss:.3f}, "
        )
    line += f"running {candidate.running}"
    if candidate.exclusions:
        line += f"; out: {', '.join(candidate.exclusions)}"
    if candidate.wait_ms:
        line += f", for {candidate.wait_ms:.0f} ms"
    return line


def _omitted_lines(omitted: dry_run.Omitted) -> list[str]:
    if not omitted.endpoints:
        return []
    counts = "".join(
        f", {exclusion} {count}"
        for exclusion, count in sorted(omitted.by_exclusion.items())
    )
    return [f"{omitted.endpoints} more: usable {omitted.usable}{counts}"]
