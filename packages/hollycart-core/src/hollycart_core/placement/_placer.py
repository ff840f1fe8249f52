"""Chooses endpoints for prompts by predicted latencies."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

import xxhash

from hollycart_core.placement import _endpoint_state
from hollycart_core.placement import _engine_model
from hollycart_core.placement import _health
from hollycart_core.placement import _load_view
from hollycart_core.placement import _losses
from hollycart_core.placement import _search
from hollycart_core.placement import _types

# Slowness that is assumed of a cold endpoint until a larger one is observed.
# None is published; the value is an assumption.
_COLD_SLOWNESS = 2.0


class Placer:
    """Places prompts one at a time, each with the smallest predicted loss.

    The loss counts all prompts that a placement affects. Short answers are
    packed on few endpoints, since decodes in one batch slow each other little.
    Long prompts are split over the other endpoints, so that the prefill of each
    part fits into the gaps that the decodes there accept. No endpoint is
    dedicated to either kind: the division is decided anew for each prompt and
    thus follows the load.

    Args:
        view: Assignments at the endpoints.
        health: Health of the endpoints.
        instance: Name of the instance. It decides among endpoints with equal
            losses, so that instances that do not know each other's load, as
            after a restart of all of them, choose different endpoints.

    Attributes:
        cold_ids: Returns the ids of those of some endpoints that are cold at an
            instant. They are slower, and get no parts of prompts.
    """

    def __init__(
        self,
        view: _load_view.LoadView,
        health: _health.EndpointHealth,
        instance: str = "",
    ) -> None:
        self.view = view
        self.health = health
        self.instance = instance
        self.cold_ids: Callable[
            [Sequence[_types.Endpoint], float], frozenset[str]
        ] = lambda endpoints, now_ms: frozenset()

    def choose(
        self,
        prompt: _types.Prompt,
        model: _engine_model.EngineModel,
        endpoints: Iterable[_types.Endpoint],
        now_ms: float,
        primary_only: frozenset[str] = frozenset(),
    ) -> _types.Placement | None:
        """Returns the placement with the smallest loss.

        Args:
            prompt: The prompt.
            model: Step model of the service.
            endpoints: Endpoints to choose from.
            now_ms: Current instant.
            primary_only: Ids of endpoints that get no parts of prompts and no
                reservations.

        Returns:
            The placement; None if the endpoints lack the memory, or the slots
            to share it, for the prompt.
        """
        listed = sorted(endpoints, key=self._tie_break)
        cold = self.cold_ids(listed, now_ms)
        if cold:
            # Of equal losses, the first one is chosen.
            listed.sort(key=lambda e: e.id in cold)
        states = [
            _endpoint_state.predict_state(
                e,
                self.view,
                self.health,
                model,
                now_ms,
                _COLD_SLOWNESS if e.id in cold else 1.0,
            )
            for e in listed
        ]
        usable_tokens = (
            model.parameters.memory_tokens * _search.USABLE_MEMORY_SHARE
        )
        needed_tokens = prompt.tokens + prompt.output_tokens
        search = _search.Search(
            prompt,
            model,
            now_ms,
            states,
            [
                s
                for s in states
                if s.memory_tokens + needed_tokens <= usable_tokens
            ],
            [
                s
                for s in states
                if s.helper_slots_used < s.endpoint.slots
                and s.endpoint.id not in primary_only
                and s.endpoint.id not in cold
            ],
            _losses.interactive_demand(prompt, model, states),
            _losses.concurrent_placements(model, states),
            cold,
        )
        return search.run()

    def _tie_break(self, endpoint: _types.Endpoint) -> int:
        name = f"{self.instance}/{endpoint.id}"
        return xxhash.xxh32_intdigest(name.encode())

    def count_open(
        self, endpoints: Iterable[_types.Endpoint], now_ms: float
    ) -> int:
        """Returns the number of usable endpoints with room for a prompt.

        They have a free slot and no prefill.
        """
        count = 0
        for endpoint in endpoints:
            if not self.health.usable(endpoint.id, now_ms):
                continue
            assigned = self.view.on_endpoint(endpoint.id)
            decodes = sum(a.decoding and a.primary for a in assigned)
            if decodes < endpoint.slots and all(a.decoding for a in assigned):
                count += 1
        return count

    def count_slots(
        self, endpoints: Iterable[_types.Endpoint]
    ) -> tuple[int, int]:
        """Returns the free slots of endpoints, and all of their slots.

        Endpoints with a prefill count as well: most prefills end sooner than a
        summary of the slots is renewed.
        """
        free = total = 0
        for endpoint in endpoints:
            total += endpoint.slots
            assigned = self.view.on_endpoint(endpoint.id)
            used = sum(a.primary for a in assigned)
            free += max(0, endpoint.slots - used)
        return free, total

    def expected_decode_step_ms(
        self, endpoint: str, model: _engine_model.EngineModel
    ) -> float | None:
        """Returns the published time of the next batch step, in ms.

        Args:
            endpoint: Id of the endpoint.
            model: Step model of its service.

        Returns:
            The time; None if nothing is decoded, and during prefill, since the
            time of such a step is uncertain.
        """
        decode_count = total_context_tokens = 0
        for assignment in self.view.on_endpoint(endpoint):
            if not assignment.decoding:
                return None
            decode_count += 1
            total_context_tokens += assignment.context_tokens
        return (
            model.decode_step_ms(decode_count, total_context_tokens)
            if decode_count
            else None
        )
