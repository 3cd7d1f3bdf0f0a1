"""Checks of the smaller specifications, and of the core along random paths of specifications.

`make model` checks every specification with every mutant.
"""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from foxtailwell.core import (
    EVIDENCE_LIMIT_S,
    Claim,
    ClaimRelease,
    ClaimRequest,
    ClaimShard,
    CommandRefused,
    EndAttempt,
    Evidence,
    Gang,
    GangPhase,
    GangSpec,
    Job,
    JobState,
    Member,
    Operation,
    RunCommitted,
    StartPermission,
    StopRequested,
    TaskReported,
    TaskState,
    TimePassed,
    ZoneAllocation,
    advance,
    allocate,
    allocated_accelerators,
    apply_claims,
    begin_gang,
    evidence_from_peer,
    evidence_from_store,
    may_start,
    newer_evidence,
    release,
)
from foxtailwell.core.errors import AcceleratorsTakenError
from foxtailwell_model import SPECIFICATIONS, check
from foxtailwell_model._claims import CLAIMS
from foxtailwell_model._crashes import CRASHES
from foxtailwell_model._freshness import FRESHNESS, STALE
from foxtailwell_model._gangs import GANG_OF_TWO, gang_steps
from foxtailwell_model._run import is_proved

SMALL_NAMES = {
    "failover",
    "task_lease",
    "gang_of_two",
    "workflow_commands",
    "worker_reports",
    "namesakes",
}
SMALL_SPECIFICATIONS = [spec for spec in SPECIFICATIONS if spec.name in SMALL_NAMES]
QUICK_MUTANTS = [
    (CLAIMS, "claim_comes_before_send"),
    (CLAIMS, "lost_claim_is_fenced_by_a_write"),
    (FRESHNESS, "old_evidence_expires"),
    (FRESHNESS, "lower_revision_is_not_applied"),
    (CRASHES, "start_under_way_is_no_evidence"),
    (CRASHES, "crash_waits_for_the_other_workers"),
    (CRASHES, "common_crash_has_no_weight"),
    (CRASHES, "event_counts_once_per_task"),
]


@pytest.mark.parametrize("spec", SMALL_SPECIFICATIONS, ids=lambda spec: spec.name)
def test_specification_holds_and_needs_each_rule(spec):
    """Guards against a specification that is violated, or has a rule that it does not need."""
    mutants = {rule: check(spec, [rule]) for rule in spec.rules}
    assert is_proved(check(spec), mutants.values()), {r: m.steps for r, m in mutants.items()}


@pytest.mark.parametrize(
    ("spec", "rule"), QUICK_MUTANTS, ids=lambda part: getattr(part, "name", part)
)
def test_mutant_of_a_large_specification_is_refuted(spec, rule):
    """Guards against a large specification whose invariants cannot fail."""
    assert check(spec, [rule]).is_refuted


def test_partial_search_proves_nothing():
    """Guards against a search that stopped at its limit but counts as a proof."""
    partial = check(replace(CLAIMS, max_states=500))
    assert not partial.is_exhaustive
    assert not is_proved(partial, [])
    whole = check(replace(SMALL_SPECIFICATIONS[0], max_states=200_000))
    assert is_proved(whole, [])
    assert not is_proved(whole, [whole]), "a mutant that holds must fail the run"


RARE_LABELS = ("tick", "zone out", "lose", "killed", "gives up")


def _random_path(spec, rng, steps):
    """Yield the steps of one random path as (state before, label, state after).

    Steps that abort an operation get a lower weight, so that paths reach later states.
    """
    transitions = spec.make_transitions(frozenset())
    state = spec.initial
    for _ in range(steps):
        options = list(transitions(state))
        if not options:
            return
        weights = [1 if any(r in o[0] for r in RARE_LABELS) else 4 for o in options]
        label, after = rng.choices(options, weights)[0]
        yield state, label, after
        state = after


# Freshness


class _Instance:
    """Evidence and revision of one instance, updated by the functions of the core."""

    def __init__(self):
        self.evidence = None
        self.revision = 0
        self.sent_at_s = 0.0

    def age(self, now_s):
        if self.evidence is None:
            return STALE
        return min(STALE, int(now_s - self.evidence.at_monotonic_s))

    def take(self, kind, reply):
        offered, reply_age = reply
        if kind == "store":
            self.revision = max(self.revision, offered)
            evidence = evidence_from_store(offered, self.sent_at_s)
        else:
            evidence = evidence_from_peer(offered, float(reply_age), self.sent_at_s)
        self.evidence = newer_evidence(self.evidence, evidence, self.revision)


@pytest.mark.parametrize("seed", range(8))
def test_freshness_of_the_core_follows_the_specification(seed):
    """Guards against evidence of the core that is fresher than that of the specification."""
    rng = random.Random(seed)
    checks = 0
    for _ in range(300):
        checks += _compare_freshness(rng)
    assert checks > 10, "the paths must reach the check before a start"


def _compare_freshness(rng):
    names = {"s": (_Instance(), 1), "p": (_Instance(), 4)}
    now_s, checks = 100.0, 0
    for before, label, after in _random_path(FRESHNESS, rng, 60):
        if before[8]:
            break
        name = label.split()[0]
        if label == "tick":
            now_s += 1.0
        elif name in names:
            instance, index = names[name]
            if "asks" in label:
                instance.sent_at_s = now_s
            elif "takes the reply" in label:
                instance.take(before[index + 2][0], before[index + 2][2])
            elif "document" in label:
                instance.revision = max(instance.revision, before[index + 2][2][0])
        elif label == "S checks and sends start":
            checks += 1
        scheduler = names["s"][0]
        is_permitted = may_start(scheduler.evidence, now_s, is_zone_out=scheduler.revision == 1)
        if label == "S checks and sends start":
            assert is_permitted
            continue
        assert is_permitted == (after[1] == 0 and after[2] <= EVIDENCE_LIMIT_S), label
        for instance, index in names.values():
            assert (instance.revision, instance.age(now_s)) == (after[index], after[index + 1])
    return checks


# Claims


@pytest.mark.parametrize("seed", range(8))
def test_claims_of_the_core_follow_the_specification(seed):
    """Guards against a claim that the core takes over, or releases for another request."""
    rng = random.Random(seed)
    writes = sum(_compare_claims(rng) for _ in range(120))
    assert writes > 100, "the paths must reach writes"


def _compare_claims(rng):
    shard, writes = ClaimShard(), 0
    for before, label, after in _random_path(CLAIMS, rng, 60):
        number = int(label[1])
        if "takes effect" in label:
            release = "release" in label
            shard, outcome = _apply(shard, number, release)
            # The store refuses a write with an outdated version, so only a new claim or the
            # request's own claim takes effect.
            assert outcome.kind == ("released" if release else "claimed")
            writes += 1
        elif label.endswith("reads"):
            assert _apply(shard, number, False)[1].kind == "claimed"
        elif label.endswith("reads a claim"):
            outcome = _apply(shard, number, False)[1]
            assert outcome.kind == "held"
            assert outcome.holder.request_id == str(before[0])
        stored = shard.claims.get("key")
        assert (int(stored.request_id) if stored else -1) == after[0], label
    return writes


def _apply(shard, number, is_release):
    claim = Claim(str(number), "entry", "digest", 0)
    release = ClaimRelease("key", str(number))
    operation = release if is_release else ClaimRequest("key", claim)
    changed, outcomes = apply_claims(shard, [operation], 0)
    return changed, outcomes[0]


# Allocations


@pytest.mark.parametrize("seed", range(4))
def test_no_accelerator_is_taken_twice(seed):
    """Guards against two gangs on one accelerator, and a release that frees a newer attempt."""
    rng = random.Random(seed)
    allocation, taken_by, refusals = ZoneAllocation(), {}, 0
    for _ in range(400):
        job, attempt = f"j{rng.randrange(4)}", rng.randrange(3)
        if rng.random() < 0.4:
            allocation = release(allocation, job, attempt)
            taken_by = {k: v for k, v in taken_by.items() if v != (job, attempt)}
        else:
            wanted = rng.sample([(f"w{i % 2}", i // 2) for i in range(8)], 3)
            members = tuple(Member(worker, (index,)) for worker, index in wanted)
            if allocation.gangs.get(job) == Gang(job, attempt, "account", members):
                assert allocate(allocation, allocation.gangs[job]) is allocation
                continue
            # A newer attempt replaces an older one of the same job; an older attempt is refused.
            own = {number for holder, number in taken_by.values() if holder == job}
            other = {k: v for k, v in taken_by.items() if v[0] != job or attempt <= v[1]}
            is_free = not any(k in other for k in wanted) and all(n < attempt for n in own)
            try:
                allocation = allocate(allocation, Gang(job, attempt, "account", members))
            except AcceleratorsTakenError:
                refusals += 1
                assert not is_free
                continue
            assert is_free
            taken_by = other | dict.fromkeys(wanted, (job, attempt))
        taken = {
            (w, i) for w, indexes in allocated_accelerators(allocation).items() for i in indexes
        }
        assert taken == set(taken_by)
    assert refusals > 50, "the sequence must reach conflicts"


# Gangs

PHASES = {
    "preparing": GangPhase.PREPARING,
    "starting": GangPhase.STARTING,
    "committing": GangPhase.COMMITTING,
    "running": GangPhase.OPENING,
    "stopping": GangPhase.STOPPING,
    "out": GangPhase.ENDED,
}
SENT_OPERATIONS = [Operation.PREPARE, Operation.START, Operation.RUN]
IMMEDIATE_STEPS = ("S1 sends start", "S1 writes running", "S1 sends run", "S1 ends the attempt")
FRESH_PERMISSION = StartPermission(10.0, Evidence(1, 10.0), is_zone_out=False)


@pytest.mark.parametrize("seed", range(8))
def test_gangs_of_the_core_follow_the_specification(seed):
    """Guards against a command or an end of an attempt that the specification does not allow."""
    rng = random.Random(seed)
    ends = [_compare_gang(rng) for _ in range(250)]
    assert {JobState.WAITING, JobState.FAILED} <= set(ends), "the paths must reach both ends"


def _new_run():
    job = Job(
        "job", "account", "class", GangSpec(2, 1), 1.0, False, "", 0, JobState.PREPARING, attempt=1
    )
    members = (Member("w0", (0,)), Member("w1", (0,)))
    return begin_gang(job, Gang("job", 1, "account", members), 10.0)


def _compare_gang(rng):
    """Compare along one path; return the job state at the end of the attempt, or None."""
    step, sent, state = _new_run(), 0, GANG_OF_TWO.initial
    for _ in range(80):
        label, after = _next_gang_step(state, rng)
        for event in _gang_events(label, state):
            step = advance(step.run, event, FRESH_PERMISSION)
            sent = max([sent, *(_rank(c.operation) for c in step.commands)])
            for effect in step.effects:
                if isinstance(effect, EndAttempt):
                    return _check_end(effect, after)
        state = after
        if state[0] == "out":
            return None
        if not any(o[0] in IMMEDIATE_STEPS for o in gang_steps(state)) and not _must_stop(state):
            assert step.run.phase is PHASES[state[0]], label
            assert sent == state[1], "the core sent a command that the specification has not sent"
    return None


def _next_gang_step(state, rng):
    """Choose a step other than of S2: one that the core takes at once, otherwise a random one."""
    options = [o for o in gang_steps(state) if not o[0].startswith("S2")]
    for wanted in ("S1 stops the gang",) if _must_stop(state) else IMMEDIATE_STEPS:
        for option in options:
            if option[0] == wanted:
                return option
    useful = [o for o in options if "expire" not in o[0] and o[0] != "the caller cancels"]
    weights = [1 if "stop" in o[0] or o[0] == "tick" else 8 for o in useful]
    return rng.choices(useful, weights)[0]


def _must_stop(state):
    return "ended" in state[2] and state[0] not in ("stopping", "out")


def _gang_events(label, state):
    if label.startswith("S1 receives"):
        index = int(label.split()[-1])
        _, task, _, _, has_run = state[9][index]
        task_seen = TaskState.STOPPED if task == "ended" else TaskState(task)
        return [TaskReported(index, task_seen, has_run=has_run)]
    if label == "running is written":
        return [RunCommitted(True)]
    if label == "S1 stops the gang" and not _must_stop(state):
        if state[0] == "running":
            # While `run` is in flight the core stops the gang for a failure, but not for a move.
            return [CommandRefused(0, Operation.RUN, "late")]
        return [StopRequested("move", 0.0)]
    return [TimePassed()]


def _rank(operation):
    return SENT_OPERATIONS.index(operation) if operation in SENT_OPERATIONS else 0


def _check_end(effect, after):
    after = dict(gang_steps(after)).get("S1 ends the attempt")
    assert after is not None, "the core ended an attempt whose tasks may still run"
    has_run = any(m[4] for m in after[9])
    assert not any(m[1] == "running" for m in after[9])
    if effect.state is JobState.WAITING:
        assert not has_run, "a job that must not run twice ran and returns to the queue"
    if after[10] == "clean":
        assert effect.state is JobState.WAITING
    return effect.state
