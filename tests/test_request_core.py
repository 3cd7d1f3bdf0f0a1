"""Decisions about requests: admission, choice of a minion, retries and claims."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailwell.core import (
    AdmissionQueue,
    Candidate,
    Claim,
    ClaimRelease,
    ClaimRequest,
    ClaimShard,
    MinionHealth,
    RequestLoss,
    RetryBudget,
    ServiceTimes,
    SlotLimits,
    SuspectRequests,
    Ticket,
    apply_claims,
    choose_minion,
    deposit_for_request,
    is_ejected,
    may_probe,
    may_retry,
    record_failure,
    record_success,
    slot_share,
    withdraw_for_retry,
)


def make_queue(capacity: int = 100) -> AdmissionQueue:
    """Return a queue for the ordinary class `check` and the long class `model`."""
    times = ServiceTimes()
    times.configure({"check": 0.5, "model": 100.0})
    return AdmissionQueue(capacity, times)


def ticket(number: int, account="a", work_class="check", now_s=0.0, patience_s=2.0) -> Ticket:
    """Return a ticket that is due at the target of its class."""
    target_s = 0.5 if work_class == "check" else 100.0
    return Ticket(number, account, work_class, now_s, now_s + target_s, now_s + patience_s)


@given(
    slots=st.integers(0, 64),
    count=st.integers(1, 25),
    minion=st.text(min_size=1, max_size=8),
)
def test_slot_shares_add_up(slots, count, minion):
    """Guards against entries that together use more or fewer slots than a minion has."""
    entries = [f"e{n}" for n in range(count)]
    shares = [slot_share(slots, minion, entries, own) for own in entries]
    assert sum(shares) == slots
    assert max(shares) - min(shares) <= 1


def test_queue_takes_the_least_slack_first():
    """Guards against a long request that starts before an urgent one."""
    queue, limits = make_queue(), SlotLimits(4)
    queue.offer(ticket(1, work_class="model", patience_s=600), limits, 0.0)
    queue.offer(ticket(2), limits, 0.0)
    assert [queue.take(limits, 0.0).id, queue.take(limits, 0.0).id] == [2, 1]


def test_late_ticket_does_not_precede_one_that_meets_its_target():
    """Guards against an overload in which every request misses its target."""
    queue, limits = make_queue(), SlotLimits(1)
    queue.offer(ticket(1, now_s=0.0), limits, 0.0)
    queue.offer(ticket(2, now_s=1.0, patience_s=2), limits, 1.0)
    assert queue.take(limits, 1.0).id == 2


def test_accounts_share_slots_fairly():
    """Guards against an account that gets all slots because its requests arrived first."""
    queue, limits = make_queue(), SlotLimits(4)
    for number in range(10):
        queue.offer(ticket(number, "a"), limits, 0.0)
    for number in range(10, 14):
        queue.offer(ticket(number, "b"), limits, 0.0)
    taken = [queue.take(limits, 0.0).account for _ in range(4)]
    assert sorted(taken) == ["a", "a", "b", "b"]


def test_guaranteed_account_is_neither_refused_nor_shed():
    """Guards against a guaranteed request that is shed because another account fills the queue."""
    queue, limits = make_queue(capacity=5), SlotLimits(1, {"b": 2})
    for number in range(50):
        queue.offer(ticket(number, "a"), limits, 0.0)
    cause, shed = queue.offer(ticket(100, "b"), limits, 0.0)
    assert cause is None
    assert shed is None or shed.account == "a"
    assert queue.take(limits, 0.0).id == 100


@given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans(), st.booleans()), max_size=80))
def test_queue_counts_stay_within_slots_and_capacity(steps):
    """Guards against slots that are lost or used twice in any order of operations."""
    queue, limits, running, now_s = make_queue(6), SlotLimits(4, {"c": 1}), [], 0.0
    for number, (account, is_long, may_finish) in enumerate(steps):
        now_s += 0.05
        work_class = "model" if is_long else "check"
        offered = ticket(number, account, work_class, now_s, patience_s=300)
        if queue.try_start(offered, limits):
            running.append(offered)
        else:
            queue.offer(offered, limits, now_s)
        if may_finish and running:
            queue.finish(running.pop(0))
        while (taken := queue.take(limits, now_s)) is not None:
            running.append(taken)
        assert queue.running == len(running) <= limits.slots
        assert queue.long_running <= 3
        assert queue.waiting == sum(queue.lengths().values()) <= 6


def test_predicted_wait_refuses_early():
    """Guards against requests that wait although their refusal is already certain."""
    queue, limits = make_queue(1000), SlotLimits(1)
    causes = [queue.offer(ticket(n, patience_s=0.5), limits, 0.0)[0] for n in range(20)]
    assert causes[0] is None
    assert causes[-1] == "predicted_wait"


def test_at_most_half_of_the_minions_are_ejected():
    """Guards against ejecting every minion when the cause is not in the minions."""
    healths = [MinionHealth() for _ in range(5)]
    for _ in range(20):
        for index, health in enumerate(healths):
            others = sum(is_ejected(h) for h in healths if h is not health)
            healths[index] = record_failure(health, 0.0, others, len(healths))
    assert sum(map(is_ejected, healths)) == 2


def test_ejected_minion_returns_after_a_successful_probe():
    """Guards against a minion that stays ejected for ever, or gets requests before a probe."""
    health = MinionHealth()
    for _ in range(3):
        health = record_failure(health, 10.0, 0, 4)
    assert is_ejected(health)
    assert not may_probe(health, 10.5)
    assert may_probe(health, 11.0)
    again = record_failure(health, 11.0, 0, 4)
    assert not may_probe(again, 12.5)
    assert not is_ejected(record_success(again))


def test_choice_prefers_local_zone_less_load_and_other_minions():
    """Guards against remote, loaded or failed minions while a better one has a free slot."""
    near = Candidate("near", "z1", 8, 8, 7, 0)
    far = Candidate("far", "z2", 8, 8, 0, 0)
    idle = Candidate("idle", "z1", 8, 8, 0, 0)
    full = Candidate("full", "z1", 8, 2, 2, 0)
    assert choose_minion([near, far], "z1", (0.9, 0.9)).id == "near"
    assert choose_minion([near, idle], "z1", (0.0, 0.0)).id == "idle"
    assert choose_minion([full, far], "z1", (0.0, 0.0)).id == "far"
    assert choose_minion([near, far], "z1", (0.0, 0.0), avoid=frozenset({"near"})).id == "far"
    assert choose_minion([near, far], "z1", (0.0, 0.0), avoid_zone="z1").id == "far"
    assert choose_minion([full], "z1", (0.0, 0.0)) is None


@given(st.lists(st.booleans(), max_size=300))
def test_retries_stay_within_their_budget(failures):
    """Guards against retries that multiply the load during an outage."""
    budget, retries = RetryBudget(), 0
    for has_failed in failures:
        budget = deposit_for_request(budget)
        if has_failed and _may_retry(budget):
            budget, retries = withdraw_for_retry(budget), retries + 1
    assert retries <= 10 + 0.1 * len(failures) + 1e-6


def _may_retry(budget: RetryBudget, **changes) -> bool:
    values = {
        "is_idempotent": True,
        "may_have_run": True,
        "attempts": 1,
        "remaining_s": 1.0,
        "expected_run_s": 0.1,
    }
    return may_retry(budget, **{**values, **changes})


def test_retry_is_refused_where_it_could_run_twice_or_too_late():
    """Guards against a second run of a request that is not idempotent."""
    assert _may_retry(RetryBudget())
    assert not _may_retry(RetryBudget(), is_idempotent=False)
    assert _may_retry(RetryBudget(), is_idempotent=False, may_have_run=False)
    assert not _may_retry(RetryBudget(), remaining_s=0.05)
    assert not _may_retry(RetryBudget(), attempts=3)


def claim(request_id: str, at_unix_ms: int = 0) -> Claim:
    """Return a claim that a request made at a time."""
    return Claim(request_id, "e1", "d", at_unix_ms)


def test_claim_has_one_holder_and_is_never_taken_over():
    """Guards against two requests that hold the same key."""
    first, outcomes = apply_claims(
        ClaimShard(), [ClaimRequest("k", claim("r1")), ClaimRequest("k", claim("r2"))], 0
    )
    assert [o.kind for o in outcomes] == ["claimed", "held"]
    unchanged, later = apply_claims(first, [ClaimRequest("k", claim("r3"))], 1)
    assert unchanged is first
    assert later[0].holder == claim("r1")
    _, again = apply_claims(first, [ClaimRequest("k", claim("r1"))], 1)
    assert again[0].kind == "claimed"


def test_release_frees_only_the_own_claim():
    """Guards against a release that removes the claim of a running request."""
    shard, _ = apply_claims(ClaimShard(), [ClaimRequest("k", claim("r1"))], 0)
    kept, _ = apply_claims(shard, [ClaimRelease("k", "r2")], 1)
    assert kept is shard
    freed, _ = apply_claims(shard, [ClaimRelease("k", "r1")], 1)
    assert not freed.claims


@pytest.mark.parametrize(("age_ms", "kind"), [(3_599_999, "held"), (3_600_000, "claimed")])
def test_claim_expires_after_an_hour(age_ms, kind):
    """Guards against claims that expire early, and documents that grow without limit."""
    shard, _ = apply_claims(ClaimShard(), [ClaimRequest("k", claim("r1"))], 0)
    _, outcomes = apply_claims(shard, [ClaimRequest("k", claim("r2", age_ms))], age_ms)
    assert outcomes[0].kind == kind


def test_request_is_refused_after_two_isolated_losses_until_it_succeeds():
    """Guards against a request that crashes minions without a limit, or is refused for ever."""
    suspects = SuspectRequests()
    suspects.record_loss("d", "m1", ran_s=0.1, now_s=1.0)
    assert not suspects.refusal_s("d", 1.0)
    suspects.record_loss("d", "m2", ran_s=0.1, now_s=5.0)
    assert suspects.refusal_s("d", 5.0) == 30.0
    assert not suspects.refusal_s("d", 35.0)
    suspects.record_loss("d", "m2", ran_s=0.1, now_s=36.0)
    assert suspects.refusal_s("d", 36.0)
    suspects.record_success("d", 37.0)
    assert suspects.is_empty


def test_request_is_not_blamed_for_a_common_cause_or_a_late_loss():
    """Guards against requests that are refused after a network failure or restarts of minions."""
    suspects = SuspectRequests()
    for number in range(3):
        suspects.record_loss("other", f"n{number}", ran_s=9.0, now_s=10.0 * number)
        suspects.record_loss("d", f"m{number}", ran_s=0.1, now_s=10.0 * number + 0.5)
        suspects.record_loss("late", f"m{number}", ran_s=5.0, now_s=10.0 * number + 4.0)
        suspects.record_loss("same", "m0", ran_s=0.1, now_s=10.0 * number + 6.0)
    assert not any(suspects.refusal_s(digest, 21.0) for digest in ("d", "late", "same"))


def test_requests_that_a_minion_has_lost_together_share_the_blame():
    """Guards against a refusal of a request that was beside the cause of two crashes."""
    suspects = SuspectRequests()
    for number, others in enumerate((("b", "c"), ("c",))):
        for digest in ("a", *others):
            suspects.record_loss(digest, f"m{number}", ran_s=0.1, now_s=5.0 * number)
    assert not any(suspects.refusal_s(digest, 5.0) for digest in ("a", "b", "c"))
    suspects.record_loss("late", "m2", ran_s=9.0, now_s=9.9)
    suspects.record_loss("a", "m2", ran_s=0.1, now_s=10.0)
    assert [suspects.refusal_s(digest, 10.0) > 0 for digest in ("a", "b", "c")] == [
        True,
        False,
        False,
    ]


def test_evidence_of_other_entries_counts():
    """Guards against a request that crashes as many minions at each entry."""
    first, second, third = (SuspectRequests() for _ in range(3))
    first.record_loss("d", "m1", ran_s=0.1, now_s=1.0)
    second.merge(first.shared_losses(2.0), 102.0)
    assert not second.refusal_s("d", 102.0)
    second.record_loss("d", "m1", ran_s=0.1, now_s=103.0)
    assert not second.refusal_s("d", 103.0)
    second.record_loss("d", "m2", ran_s=0.1, now_s=104.0)
    third.merge(second.shared_losses(105.0), 205.0)
    assert [s.refusal_s("d", t) for s, t in ((second, 105.0), (third, 205.0))] == [29.0, 29.0]


def test_evidence_that_entries_return_to_each_other_expires():
    """Guards against a refusal that never ends because each exchange takes some time."""
    first, second = SuspectRequests(), SuspectRequests()
    for minion in ("m1", "m2"):
        first.record_loss("d", minion, ran_s=0.1, now_s=0.0)
    for second_s in range(1, 40):
        sent = first.shared_losses(float(second_s))
        second.merge(sent, second_s + 0.4)
        first.merge(second.shared_losses(second_s + 0.4), second_s + 0.8)
    assert not first.refusal_s("d", 30.0)
    assert not second.refusal_s("d", 31.0)


def test_response_outweighs_earlier_losses_at_other_entries():
    """Guards against refusals of a request that other entries have seen succeed."""
    first, second = SuspectRequests(), SuspectRequests()
    first.record_loss("d", "m1", ran_s=0.1, now_s=0.0)
    second.merge(first.shared_losses(1.0), 1.0)
    second.record_success("d", 2.0)
    second.merge(first.shared_losses(3.0), 3.0)
    assert second.is_empty
    first.record_loss("d", "m2", ran_s=0.1, now_s=4.0)
    second.merge(first.shared_losses(5.0), 5.0)
    assert first.refusal_s("d", 5.0)
    assert not second.refusal_s("d", 5.0)


def test_evidence_that_is_sent_to_other_entries_is_bounded():
    """Guards against heartbeats that grow with the number of suspects."""
    suspects = SuspectRequests()
    for number in range(400):
        suspects.record_loss(f"d{number % 20}", f"m{number}", ran_s=0.1, now_s=2.0 * number)
    shared = suspects.shared_losses(800.0)
    assert len(shared) <= 32
    assert shared[0] == RequestLoss("d19", "m399", 2, 2.0)
    assert not suspects.shared_losses(5e6)


def test_evidence_against_requests_is_bounded():
    """Guards against memory that grows with the number of different requests."""
    suspects = SuspectRequests()
    for number in range(5000):
        suspects.record_loss(f"d{number}", "m1", ran_s=0.1, now_s=float(number))
    assert len(suspects._evidence) <= 1024


def test_evidence_against_requests_expires():
    """Guards against digests that are computed for ever after one lost connection."""
    suspects = SuspectRequests()
    suspects.record_loss("d1", "m1", ran_s=0.1, now_s=0.0)
    suspects.record_loss("d2", "m1", ran_s=0.1, now_s=500.0)
    suspects.record_loss("d1", "m2", ran_s=0.1, now_s=550.0)
    suspects.drop_expired(1120.0)
    assert list(suspects._evidence) == ["d1"]
    suspects.drop_expired(1151.0)
    assert suspects.is_empty


def test_one_common_loss_counts_once_against_a_request():
    """Guards against a refusal after one network failure, because many copies were running."""
    suspects = SuspectRequests()
    for number in range(6):
        suspects.record_loss("d", f"m{number}", ran_s=0.2, now_s=1.0 + 0.001 * number)
    suspects.record_loss("e", "m6", ran_s=0.2, now_s=1.01)
    assert not suspects.refusal_s("d", 1.1)
    for number in range(3):
        now_s = 3.0 + 0.1 * number
        suspects.record_loss("e", f"m{number}", ran_s=0.05, now_s=now_s)
        suspects.record_loss("d", f"m{number + 7}", ran_s=0.05, now_s=now_s)
    assert suspects.refusal_s("d", 3.2)


def test_overlapping_copies_of_a_fatal_request_are_refused():
    """Guards against a stream of copies that all pass for one event."""
    suspects = SuspectRequests()
    for number in range(8):
        suspects.record_loss("d", f"m{number}", ran_s=0.05, now_s=1.0 + 0.02 * number)
    assert suspects.refusal_s("d", 1.2)


@pytest.mark.parametrize("is_bystander_first", [True, False])
def test_losses_with_a_minion_that_crashed_without_a_new_request_are_no_evidence(
    is_bystander_first,
):
    """Guards against requests that are refused because waves of failures follow their starts."""
    suspects = SuspectRequests()
    for number in range(8):
        losses = [("lasting", "n", 9.0), ("d", f"m{number}", 0.1), ("e", f"m{number}", 0.1)]
        for digest, minion, ran_s in losses if is_bystander_first else reversed(losses):
            suspects.record_loss(digest, minion, ran_s=ran_s, now_s=10.0 * number)
    assert not any(suspects.refusal_s(digest, 70.0) for digest in ("d", "e", "lasting"))
    assert not suspects.shared_losses(70.0)


def test_lasting_requests_beside_a_fatal_one_do_not_excuse_it():
    """Guards against a fatal request that crashes minions without a limit beside lasting ones."""
    suspects = SuspectRequests()
    for number in range(4):
        now_s = 0.1 * number
        suspects.record_loss(f"lasting{number}", f"m{number}", ran_s=9.0, now_s=now_s)
        suspects.record_loss("fatal", f"m{number}", ran_s=0.05, now_s=now_s + 0.001)
    assert suspects.refusal_s("fatal", 0.5)


def test_common_cause_neither_renews_a_refusal_nor_clears_a_request():
    """Guards against losses without weight that count as new evidence, or replace older one."""
    suspects = SuspectRequests()
    for now_s in (0.0, 5.0):
        suspects.record_loss("d", f"m{now_s}", ran_s=0.1, now_s=now_s)
    for minion in ("m5.0", "m2"):
        suspects.record_loss("d", minion, ran_s=0.1, now_s=40.0)
    suspects.record_loss("lasting", "n", ran_s=9.0, now_s=40.1)
    assert not suspects.refusal_s("d", 40.2)
    suspects.record_loss("d", "m3", ran_s=0.1, now_s=50.0)
    assert suspects.refusal_s("d", 50.0) == 30.0
