"""Requests that break the connection to each minion that runs them.

Callers send such a request again, and each attempt may crash one more minion. An entry remembers by
their content which requests have lost their connections early, and refuses them for a while.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from foxtailwell.core._crashes import (
    CERTAIN_WEIGHT,
    GIVE_UP_WEIGHT,
    POSSIBLE_WEIGHT,
    PROBATION_S,
    is_given_up,
)

COMMON_CAUSE_S = 1.0
"""Time within which losses of several minions by different requests may have a common cause."""

REFUSAL_S = 30.0
"""Duration of a refusal; after that, one more loss is enough for the next one."""

EVIDENCE_TTL_S = 600.0
"""Time after the last loss for which the evidence against a request is kept."""

MAX_SUSPECTS = 1024
"""Most requests with evidence; the oldest is dropped first."""


@dataclass(slots=True)
class _Evidence:
    minions: set[str] = field(default_factory=set)
    weight: int = 0
    last_s: float = 0.0
    refused_until_s: float = 0.0


@dataclass(frozen=True, slots=True)
class _Loss:
    digest: str
    minion: str
    at_s: float


class SuspectRequests:
    """Evidence of one entry against requests, by the digest of their content.

    All times are readings of the entry's clock in seconds.
    """

    def __init__(self) -> None:
        self._evidence: dict[str, _Evidence] = {}
        self._recent_losses: deque[_Loss] = deque()

    @property
    def is_empty(self) -> bool:
        """Whether there is no evidence, so that no digest has to be computed."""
        return not self._evidence

    def refusal_s(self, digest: str, now_s: float) -> float:
        """Return for how long a request is refused; 0 if it may be sent."""
        evidence = self._evidence.get(digest)
        return max(0.0, evidence.refused_until_s - now_s) if evidence is not None else 0.0

    def drop_expired(self, now_s: float) -> None:
        """Drop the evidence against requests that have lost no connection for a long time."""
        while self._evidence:
            # Every loss moves its request to the end.
            oldest = next(iter(self._evidence))
            if now_s - self._evidence[oldest].last_s <= EVIDENCE_TTL_S:
                return
            del self._evidence[oldest]

    def record_loss(self, digest: str, minion: str, *, ran_s: float, now_s: float) -> None:
        """Record that the connection of a running request was lost.

        Args:
            digest: Digest of the request.
            minion: Minion that ran it; further losses there prove nothing new.
            ran_s: Time from the start of the attempt; a request that ran for longer than
                `PROBATION_S` is not blamed.
            now_s: Time of the loss.
        """
        is_isolated = self._is_isolated(digest, minion, now_s)
        self._recent_losses.append(_Loss(digest, minion, now_s))
        if ran_s >= PROBATION_S:
            return
        evidence = self._evidence.pop(digest, None) or _Evidence()
        self._evidence[digest] = evidence
        if minion not in evidence.minions or evidence.weight >= GIVE_UP_WEIGHT:
            evidence.minions.add(minion)
            evidence.weight += CERTAIN_WEIGHT if is_isolated else POSSIBLE_WEIGHT
        evidence.last_s = now_s
        if is_given_up(evidence.weight):
            evidence.refused_until_s = now_s + REFUSAL_S
        if len(self._evidence) > MAX_SUSPECTS:
            del self._evidence[next(iter(self._evidence))]

    def _is_isolated(self, digest: str, minion: str, now_s: float) -> bool:
        while self._recent_losses and now_s - self._recent_losses[0].at_s > COMMON_CAUSE_S:
            self._recent_losses.popleft()
        return not any(
            loss.digest != digest and loss.minion != minion for loss in self._recent_losses
        )

    def record_success(self, digest: str) -> None:
        """Clear a request that got a response."""
        self._evidence.pop(digest, None)
