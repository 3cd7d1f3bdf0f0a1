"""Specification of idempotency claims: one key, requests at different entries, one claim.

Request 0 arrives at entry A and its duplicate, request 1, at entry B, with the same body or with
another one. Request 2 is the caller's retry after request 0 ended without a response. The store
holds one claim; a write names the version that was read, so it takes effect only if no other write
came between. Writes and responses may be delayed or lost, and an entry may be killed before any
step; its request then counts as `unknown`. A pause of an entry needs no step of its own, because
any step may come late.

A request is `(phase, is_current, message, late, minion, pending_release)`:

- `phase`: step of the request; `waiting n` and `not_run reported by n` name request n, which owns
  the claim.
- `is_current`: the version that the entry read is still the store's version.
- `message`: write whose response the entry awaits, as `(kind, is_write_current)`, or the response:
  `ok`, `conflict`, or `none` if the write never arrives.
- `late`: kinds of writes in flight whose response is no longer awaited. Writes whose version is
  outdated are left out, because the store refuses them.
- `minion`: `""`, `sent`, `ran`, `ran twice` or `refused`.
- `pending_release`: `""`, `owed` (the entry must still release the claim) or `lost` (it must, and
  a response of the store was lost).

This is the model of `core` and `entry`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from itertools import chain
from typing import Any

from foxtailwell_model._specification import Specification, State, Step, Transitions

__all__ = ["CLAIMS"]

RULES = {
    "claim_comes_before_send": "entry._requests.RequestRunner",
    "claim_is_never_taken_over": "core._claims.apply_claims",
    "write_names_the_version_it_read": "adapters.store.StoreClient.compare_and_swap",
    "own_write_is_read_back": "adapters.store.StoreClient.write_with_readback",
    "lost_claim_is_fenced_by_a_write": "entry._claim_writer.ClaimWriter (_fence)",
    "release_names_its_request": "core._claims.apply_claims",
    "release_comes_before_not_run": "entry._requests.RequestRunner",
    "cut_is_outcome_unknown": "entry._requests.RequestRunner",
    "cut_is_not_sent_again": "core.may_retry",
    "response_must_carry_the_request_id": "adapters.minions",
    "key_is_bound_to_the_digest": "entry._requests.RequestRunner",
    "owner_says_running_until_it_knows": "entry._claim_results.ClaimResults",
    "deadline_of_a_duplicate_is_outcome_unknown": "entry._requests.Request.is_duplicate",
}

FIELDS = ("holder", "same_body", "r0", "r1", "r2")
PARTS = {"phase": 0, "is_current": 1, "message": 2, "late": 3, "minion": 4, "pending_release": 5}
FREE = -1
NEW: State = ("idle", False, None, (), "", "")
INITIAL: State = (FREE, True, NEW, NEW, NEW)
ENDED = frozenset({"answered", "forwarded", "mixed_up", "not_run", "unknown"})
REQUESTS = range(3)


def _make_transitions(removed: frozenset[str]) -> Transitions:
    parts = (_arrive, _claim, _store, _send, _release, _duplicate, _kill)

    def transitions(state: State) -> Iterable[Step]:
        for number in REQUESTS:
            phase, _, message, late, minion, pending_release = state[2 + number]
            if phase in ENDED and not (message or late or pending_release or minion == "sent"):
                continue
            steps = chain.from_iterable(part(state, number, removed) for part in parts)
            for label, after in steps:
                yield f"r{number} {label}", after

    return transitions


def _update(state: State, number: int, **changes: object) -> State:
    request = list(state[2 + number])
    for name, value in changes.items():
        request[PARTS[name]] = value
    after = list(state)
    after[2 + number] = tuple(request)
    return tuple(after)


def _arrive(state: State, number: int, removed: frozenset[str]) -> Iterator[Step]:
    phase = state[2 + number][0]
    if phase != "idle" or (number == 2 and state[2][0] not in ("not_run", "unknown")):
        return
    first_phase = "claimed" if "claim_comes_before_send" in removed else "reading"
    yield "arrives", _update(state, number, phase=first_phase)
    if number == 1:
        yield (
            "arrives with another body",
            (state[0], False, *_update(state, 1, phase=first_phase)[2:]),
        )


def _claim(state: State, number: int, removed: frozenset[str]) -> Iterator[Step]:
    holder = state[0]
    phase, is_current, message, late, _, _ = state[2 + number]
    if phase == "reading":
        if holder in (FREE, number) or "claim_is_never_taken_over" in removed:
            yield "reads", _update(state, number, phase="read", is_current=True)
        else:
            yield "reads a claim", _update(state, number, phase=f"waiting {holder}")
        yield "gives up", _update(state, number, phase="not_run")
    elif phase == "read":
        yield (
            "sends its claim",
            _update(state, number, phase="writing", message=("claim", is_current)),
        )
    elif phase == "writing":
        if message == "ok":
            yield (
                "is claimed",
                _update(state, number, phase="claimed", is_current=False, message=None),
            )
        elif message == "conflict":
            yield "is in conflict", _update(state, number, phase="reading", message=None)
        late = _add_late(message, late, removed)
        yield "loses the response", _update(state, number, phase="lost", message=None, late=late)
    elif phase == "lost":
        if "own_write_is_read_back" in removed:
            yield "takes the claim as written", _update(state, number, phase="claimed")
        elif holder == number:
            yield "reads its own write", _update(state, number, phase="claimed", is_current=False)
        elif not is_current:
            yield "reads another version", _update(state, number, phase="reading")
        # The version is unchanged or the store does not respond: the write may still arrive.
        yield (
            "gives up its claim",
            _update(state, number, phase="not_run", is_current=False, pending_release="lost"),
        )


def _add_late(message: Any, late: tuple[str, ...], removed: frozenset[str]) -> tuple[str, ...]:
    if not isinstance(message, tuple):
        return late
    kind, is_write_current = message
    is_refused = not is_write_current and "write_names_the_version_it_read" not in removed
    return late if is_refused else tuple(sorted({*late, kind}))


def _store(state: State, number: int, removed: frozenset[str]) -> Iterator[Step]:
    _, _, message, late, _, _ = state[2 + number]
    for kind in late:
        remaining = tuple(k for k in late if k != kind)
        yield (
            f"late {kind} takes effect",
            _after_write(_update(state, number, late=remaining), number, kind, removed),
        )
    if not isinstance(message, tuple):
        return
    yield "loses a write on the way", _update(state, number, message="none")
    kind, is_write_current = message
    if is_write_current or "write_names_the_version_it_read" in removed:
        yield (
            f"{kind} takes effect",
            _after_write(_update(state, number, message="ok"), number, kind, removed),
        )
    else:
        yield f"{kind} is refused", _update(state, number, message="conflict")


def _after_write(state: State, number: int, kind: str, removed: frozenset[str]) -> State:
    holder = state[0]
    if kind == "claim":
        holder = number
    elif holder == number or kind == "release of any":
        holder = FREE
    after = (holder, *state[1:])
    for other in REQUESTS:
        _, _, message, late, _, _ = after[2 + other]
        if isinstance(message, tuple):
            message = (message[0], False)
        late = late if "write_names_the_version_it_read" in removed else ()
        after = _update(after, other, is_current=False, message=message, late=late)
    return after


def _send(state: State, number: int, removed: frozenset[str]) -> Iterator[Step]:
    phase, _, _, _, minion, _ = state[2 + number]
    if minion == "sent":
        yield "runs at the minion", _update(state, number, minion="ran")
        yield "is refused by the minion", _update(state, number, minion="refused")
    if phase == "claimed":
        yield "is sent", _update(state, number, phase="sent", minion=_sent_again(minion))
        yield from _begin_release(state, number, "gives up unsent", removed)
    elif phase == "sent":
        if minion in ("ran", "ran twice"):
            yield "gets its response", _update(state, number, phase="answered")
        if minion == "refused":
            yield "may be sent again", _update(state, number, phase="claimed", minion="")
            yield from _begin_release(state, number, "reports the refusal", removed)
        foreign_phase = "mixed_up" if "response_must_carry_the_request_id" in removed else "unknown"
        yield "gets another request's response", _update(state, number, phase=foreign_phase)
        cut_phase = "unknown" if "cut_is_outcome_unknown" not in removed else "not_run"
        yield "is disconnected", _update(state, number, phase=cut_phase)
        if "cut_is_not_sent_again" in removed:
            yield "is disconnected and kept", _update(state, number, phase="claimed")


def _sent_again(minion: str) -> str:
    return "ran twice" if minion == "ran" else "sent"


def _begin_release(
    state: State, number: int, label: str, removed: frozenset[str]
) -> Iterator[Step]:
    if "release_comes_before_not_run" in removed:
        yield label, _update(state, number, phase="not_run", pending_release="owed")
    else:
        yield label, _update(state, number, phase="releasing", pending_release="owed")


def _release(state: State, number: int, removed: frozenset[str]) -> Iterator[Step]:
    """Release before the response, or in the background after it if the store did not respond."""
    holder = state[0]
    phase, _, message, late, _, pending_release = state[2 + number]
    if not pending_release or phase not in ("releasing", "not_run"):
        return
    any_holder = "release_names_its_request" in removed
    kind = "release of any" if any_holder else "release"
    is_written = holder == number or any_holder
    if message in (None, "conflict"):
        if is_written or "lost_claim_is_fenced_by_a_write" not in removed:
            yield "sends its release", _update(state, number, message=(kind, True))
        else:
            yield (
                "finds nothing to release",
                _update(state, number, phase="not_run", pending_release=""),
            )
    elif message == "ok":
        yield (
            "is released",
            _update(state, number, phase="not_run", message=None, pending_release=""),
        )
    if message is not None:
        late = _add_late(message, late, removed)
        yield (
            "loses the response to its release",
            _update(
                state, number, phase="not_run", message=None, late=late, pending_release="lost"
            ),
        )


def _duplicate(state: State, number: int, removed: frozenset[str]) -> Iterator[Step]:
    phase = state[2 + number][0]
    if not phase.startswith("waiting "):
        return
    owner = int(phase.removeprefix("waiting "))
    is_same = state[1] or 1 not in (number, owner)
    if not is_same and "key_is_bound_to_the_digest" not in removed:
        yield "is refused", _update(state, number, phase="not_run")
        return
    owner_phase = state[2 + owner][0]
    if owner_phase in ("answered", "forwarded"):
        phase_after = "forwarded" if is_same else "mixed_up"
        yield "gets the owner's response", _update(state, number, phase=phase_after)
    elif owner_phase not in ENDED and "owner_says_running_until_it_knows" in removed:
        yield (
            "learns that the owner has not run it",
            _update(state, number, phase=f"not_run reported by {owner}"),
        )
    if "deadline_of_a_duplicate_is_outcome_unknown" in removed:
        yield "passes its deadline", _update(state, number, phase=f"not_run reported by {owner}")
    # The owner was killed or does not respond, or the caller's deadline has passed.
    yield "gets no response from the owner", _update(state, number, phase="unknown")


def _kill(state: State, number: int, removed: frozenset[str]) -> Iterator[Step]:
    if state[2 + number][0] not in ENDED | {"idle"}:
        late = _add_late(state[2 + number][2], state[2 + number][3], removed)
        killed = _update(
            state,
            number,
            phase="unknown",
            is_current=False,
            message=None,
            late=late,
            pending_release="",
        )
        yield "is killed", killed


def _requests(values: Mapping[str, Any]) -> tuple[State, ...]:
    return values["r0"], values["r1"], values["r2"]


def _for_each(rule: Callable[[int, State, Mapping[str, Any]], bool]) -> Callable[..., bool]:
    return lambda d: all(rule(i, r, d) for i, r in enumerate(_requests(d)))


def _runs_at_most_once(values: Mapping[str, Any]) -> bool:
    ran = [request[4] for request in _requests(values)]
    return sum(m in ("ran", "sent") for m in ran) + 2 * ran.count("ran twice") <= 1


def _not_run_is_true(number: int, request: State, values: Mapping[str, Any]) -> bool:
    phase = request[0]
    if phase == "not_run":
        return request[4] in ("", "refused")
    if phase.startswith("not_run reported by "):
        owner = _requests(values)[int(phase.removeprefix("not_run reported by "))]
        return owner[4] in ("", "refused")
    return True


CLAIMS = Specification(
    name="claims",
    fields=FIELDS,
    initial=INITIAL,
    make_transitions=_make_transitions,
    invariants={
        "runs_at_most_once": _runs_at_most_once,
        "not_run_is_true": _for_each(_not_run_is_true),
        "no_other_response": _for_each(lambda i, r, d: r[0] != "mixed_up"),
        "not_run_leaves_no_claim": _for_each(
            lambda i, r, d: r[0] != "not_run" or r[5] == "lost" or d["holder"] != i
        ),
    },
    rules=RULES,
)
