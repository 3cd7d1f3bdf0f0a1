"""Requests that break the connection to each minion that runs them.

Callers send such a request again, also to other entries, and each attempt may crash one more
minion. An entry remembers by their content which requests have lost their connections early, and
refuses them for a while. Entries exchange this evidence, so that all of them refuse the request,
also one that has just started.

Minions also fail together, by a network or power failure. The loss of a minion that had got no new
request shows such a cause, and speaks against no request that was lost at the same moment.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice

from foxtailwell.core._crashes import (
    CERTAIN_WEIGHT,
    NO_WEIGHT,
    POSSIBLE_WEIGHT,
    PROBATION_S,
    is_given_up,
)

COMMON_CAUSE_S = 1.0
"""Time within which losses by different requests may have a common cause."""

MAX_RECENT_LOSSES = 256
"""Most losses that are compared, to bound the computing time when many minions fail."""

REFUSAL_S = 30.0
"""Duration of a refusal; after that, one more loss is enough for the next one."""

EVIDENCE_TTL_S = 600.0
"""Time after the last loss for which the evidence against a request is kept."""

MAX_SUSPECTS = 1024
"""Most requests with evidence; the oldest is dropped first."""

MAX_SHARED_SUSPECTS = 8
"""Most requests whose evidence is sent to another entry, to bound the size of the message."""

MAX_SHARED_LOSSES = 4
"""Most losses by one request that are sent; so many losses are enough to refuse it."""


@dataclass(frozen=True, slots=True)
class RequestLoss:
    """A loss of the connection to a minion that ran a request, as another entry reports it.

    Attributes:
        digest: Digest of the request.
        minion: Minion that ran it.
        weight: Weight of the evidence.
        age_s: Time since the loss.
    """

    digest: str
    minion: str
    weight: int
    age_s: float


@dataclass(frozen=True, slots=True)
class _Loss:
    weight: int
    at_s: float


@dataclass(frozen=True, slots=True)
class _RecentLoss:
    digest: str
    minion: str
    started_s: float
    at_s: float
    is_copy: bool
    former: _Loss | None

    @property
    def had_just_started(self) -> bool:
        return self.at_s - self.started_s < PROBATION_S

    def weighed(self, weight: int) -> _Loss:
        """Return the evidence with a weight; an earlier loss on the same minion limits it."""
        if self.former is None or not self.former.weight:
            return _Loss(weight, self.at_s)
        return _Loss(min(weight, self.former.weight), self.at_s) if weight else self.former


@dataclass(slots=True)
class _Evidence:
    losses: dict[str, _Loss] = field(default_factory=dict)

    @property
    def is_given_up(self) -> bool:
        return is_given_up(sum(loss.weight for loss in self.losses.values()))

    @property
    def last_s(self) -> float:
        return max(loss.at_s for loss in self.losses.values())

    @property
    def blamed_s(self) -> float:
        return max(loss.at_s for loss in self.losses.values() if loss.weight)


class SuspectRequests:
    """Evidence of one entry against requests, by the digest of their content.

    All times are readings of the entry's clock in seconds.
    """

    def __init__(self) -> None:
        self._evidence: dict[str, _Evidence] = {}
        self._cleared_s: dict[str, float] = {}
        self._recent_losses: deque[_RecentLoss] = deque(maxlen=MAX_RECENT_LOSSES)

    @property
    def is_empty(self) -> bool:
        """Whether there is no evidence, so that no digest has to be computed."""
        return not self._evidence

    def refusal_s(self, digest: str, now_s: float) -> float:
        """Return for how long a request is refused; 0 if it may be sent."""
        evidence = self._evidence.get(digest)
        if evidence is None or not evidence.is_given_up:
            return 0.0
        return max(0.0, evidence.blamed_s + REFUSAL_S - now_s)

    def drop_expired(self, now_s: float) -> None:
        """Drop the evidence against requests that have lost no connection for a long time."""
        while self._evidence:
            # Every loss moves its request to the end.
            oldest = next(iter(self._evidence))
            if now_s - self._evidence[oldest].last_s <= EVIDENCE_TTL_S:
                break
            del self._evidence[oldest]
        while self._cleared_s:
            oldest = next(iter(self._cleared_s))
            if now_s - self._cleared_s[oldest] <= EVIDENCE_TTL_S:
                break
            del self._cleared_s[oldest]

    def record_loss(self, digest: str, minion: str, *, ran_s: float, now_s: float) -> None:
        """Record that the connection of a running request was lost.

        A minion that crashes loses all its requests, so that each of those that had just started
        may be the cause. Losses of several minions may be due to the network. Copies of a request
        that were running at the same time count once if other requests were lost with them, because
        one event may have ended them all.

        Args:
            digest: Digest of the request.
            minion: Minion that ran it; further losses there prove nothing new.
            ran_s: Time from the start of the attempt; a request that ran for longer than
                `PROBATION_S` is not blamed.
            now_s: Time of the loss.
        """
        while self._recent_losses and now_s - self._recent_losses[0].at_s > COMMON_CAUSE_S:
            self._recent_losses.popleft()
        started_s = now_s - ran_s
        # Only losses that count are compared, so that overlapping copies form no endless chain.
        is_copy = any(
            other.digest == digest
            and other.minion != minion
            and other.had_just_started
            and not other.is_copy
            and started_s < other.at_s
            for other in self._recent_losses
        )
        former = self._find(digest, minion)
        loss = _RecentLoss(digest, minion, started_s, now_s, is_copy, former)
        self._recent_losses.append(loss)
        if loss.had_just_started:
            self._add(digest, minion, loss.weighed(CERTAIN_WEIGHT))
        self._reweigh_recent()

    def _add(self, digest: str, minion: str, loss: _Loss) -> None:
        evidence = self._evidence.pop(digest, None) or _Evidence()
        self._evidence[digest] = evidence
        evidence.losses[minion] = loss
        if len(self._evidence) > MAX_SUSPECTS:
            del self._evidence[next(iter(self._evidence))]

    def _find(self, digest: str, minion: str) -> _Loss | None:
        evidence = self._evidence.get(digest)
        return evidence.losses.get(minion) if evidence is not None else None

    def _reweigh_recent(self) -> None:
        """Weigh the recent losses anew, with what is known of the other minions by now."""
        requests = {(loss.digest, loss.minion) for loss in self._recent_losses}
        new = {(o.digest, o.minion) for o in self._recent_losses if o.had_just_started}
        has_others = len({digest for digest, _ in requests}) > 1
        unexplained = {minion for _, minion in requests} - {minion for _, minion in new}
        for loss in self._recent_losses:
            known = self._find(loss.digest, loss.minion)
            is_newest = known is not None and (known.at_s == loss.at_s or known is loss.former)
            if not (loss.had_just_started and is_newest):
                continue
            is_isolated = not has_others or not any(
                digest != loss.digest and (minion != loss.minion or (digest, minion) in new)
                for digest, minion in requests
            )
            if unexplained or (loss.is_copy and not is_isolated):
                weight = NO_WEIGHT
            else:
                weight = CERTAIN_WEIGHT if is_isolated else POSSIBLE_WEIGHT
            self._evidence[loss.digest].losses[loss.minion] = loss.weighed(weight)

    def record_success(self, digest: str, now_s: float) -> None:
        """Clear a request that got a response; earlier losses at other entries do not count."""
        if self._evidence.pop(digest, None) is not None:
            self._cleared_s.pop(digest, None)
            self._cleared_s[digest] = now_s

    def shared_losses(self, now_s: float) -> tuple[RequestLoss, ...]:
        """Return the newest evidence that has not expired, for other entries."""
        self.drop_expired(now_s)
        blamed = (
            (digest, [(m, loss) for m, loss in reversed(evidence.losses.items()) if loss.weight])
            for digest, evidence in reversed(self._evidence.items())
        )
        return tuple(
            RequestLoss(digest, minion, loss.weight, max(0.0, now_s - loss.at_s))
            for digest, losses in islice((b for b in blamed if b[1]), MAX_SHARED_SUSPECTS)
            for minion, loss in losses[:MAX_SHARED_LOSSES]
        )

    def merge(self, losses: Iterable[RequestLoss], now_s: float) -> None:
        """Add the evidence of another entry.

        A loss that is known already is not renewed: entries also return what they have learnt, and
        each exchange makes it look younger by its latency.
        """
        for loss in losses:
            evidence = self._evidence.get(loss.digest)
            at_s = now_s - loss.age_s
            is_known = evidence is not None and loss.minion in evidence.losses
            is_expired = loss.age_s > EVIDENCE_TTL_S
            is_cleared = at_s <= self._cleared_s.get(loss.digest, float("-inf"))
            if not (is_known or is_expired or is_cleared):
                weight = min(loss.weight, CERTAIN_WEIGHT)
                self._add(loss.digest, loss.minion, _Loss(weight, at_s))
