"""Failure tests with processes: SIGKILL, SIGSTOP, slow links, store outages, lost responses."""

from __future__ import annotations

import signal
import time

import pytest

from foxtailwell_bench.deployment import LocalDeployment, check_worker_log

ZONE_OUT_BOUND_S = 5.0
TAKEOVER_BOUND_S = 5.0
CONFIGURATION_BOUND_S = 7.0
LEAVING_BOUND_S = 5.0
JOB_COUNT = 60


@pytest.fixture
def deployment(tmp_path):
    """Return an empty deployment; its processes are ended after the test."""
    deployment = LocalDeployment(tmp_path)
    try:
        yield deployment
    finally:
        deployment.close()


@pytest.fixture
def two(deployment):
    """Return a deployment of two configured instances in one zone, for one test."""
    return _start_two(deployment)


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    """Return two configured instances, shared by the tests that end no process."""
    deployment = LocalDeployment(tmp_path_factory.mktemp("shared"))
    try:
        yield _start_two(deployment)
    finally:
        deployment.close()


@pytest.fixture
def healed(shared):
    """Return the shared deployment, and remove its minion and store failures after the test."""
    try:
        yield shared
    finally:
        shared.configure_minions(mode="", count=-1, run_ms=0)
        shared.configure_store(outage=False, lose_responses=0)


def _start_two(deployment):
    deployment.start_platform()
    deployment.start_instance(1)
    deployment.start_instance(2)
    deployment.configure()
    return deployment


# Requests


def test_request_of_a_killed_entry_runs_once(two):
    """Guards against a duplicate that runs again after the entry of the first was killed (I6)."""
    two.configure_minions(run_ms=1000)
    first = two.request_in_background(1, "once", b"a", key="k")
    two.wait_until(lambda: two.execution_count("k") == 1, "the request runs")
    two.kill("entry-1")
    duplicate = two.request(2, "once", b"a", key="k")
    assert duplicate.outcome == "outcome_unknown"
    assert first.result().status == 0
    assert two.execution_count("k") == 1


def test_request_of_a_paused_entry_runs_once_and_gets_its_response(two):
    """Guards against takeover of a paused entry's claim, and loss of a late response (I4, I6)."""
    two.configure_minions(run_ms=500)
    first = two.request_in_background(1, "once", b"a", key="k")
    two.wait_until(lambda: two.execution_count("k") == 1, "the request runs")
    two.send_signal("entry-1", signal.SIGSTOP)
    duplicate = two.request(2, "once", b"a", key="k", deadline_ms=2500)
    assert duplicate.outcome == "outcome_unknown"
    two.send_signal("entry-1", signal.SIGCONT)
    assert (first.result().status, first.result().body) == (200, b"a")
    two.wait_until(
        lambda: two.request(2, "once", b"a", key="k").body == b"a", "the owner gives the response"
    )
    assert two.request(2, "once", b"other", key="k").outcome == "not_run"
    assert two.execution_count("k") == 1


def test_lost_store_responses_run_no_request_twice(healed):
    """Guards against a claim that is written again because its response was lost (I6)."""
    healed.configure_store(lose_responses=6)
    copies = [
        healed.request_in_background(n, "once", b"a", key=f"k{i}") for i in range(6) for n in (1, 2)
    ]
    replies = [copy.result() for copy in copies]
    for i in range(6):
        ran = healed.execution_count(f"k{i}")
        outcomes = {r.outcome for r in replies[2 * i : 2 * i + 2]}
        assert ran <= 1
        assert ran == 1 or "answer" not in outcomes
        assert ran == 0 or outcomes != {"not_run"}
    assert healed.request(1, "once", b"a", key="after").status == 200


def test_store_outage_refuses_claims_as_not_run_and_affects_nothing_else(healed):
    """Guards against a wrong `not_run`, and ordinary requests that depend on the store (I5)."""
    healed.configure_store(outage=True)
    refused = healed.request(1, "once", b"a", key="k", deadline_ms=2000)
    assert refused.outcome == "not_run"
    assert healed.request(2, "ask", b"b").body == b"b"
    assert healed.execution_count("k") == 0
    healed.configure_store(outage=False)
    healed.wait_until(
        lambda: healed.request(1, "once", b"a", key="k").outcome == "answer", "the claim is written"
    )
    assert healed.execution_count("k") == 1


@pytest.mark.parametrize("mode", ["crossed", "short", "cut_during", "extra"])
def test_invalid_responses_reach_no_caller(healed, mode):
    """Guards against delivery of a response that is truncated or of another request (I4)."""
    healed.configure_minions(mode=mode, count=4, run_ms=20)
    calls = [
        (b"%d" % i, healed.request_in_background(1 + i % 2, "ask", b"%d" % i)) for i in range(40)
    ]
    for body, call in calls:
        reply = call.result()
        assert reply.status != 200 or reply.body == body
    healed.configure_minions(mode=mode, count=1)
    for i in range(4):
        key = f"{mode}-{i}"
        reply = healed.request(1, "once", b"x%d" % i, key=key)
        assert reply.outcome in ("answer", "outcome_unknown")
        assert reply.outcome != "answer" or reply.body == b"x%d" % i
        assert healed.execution_count(key) == 1


def test_planned_stop_interrupts_no_request(two):
    """Guards against a planned stop that interrupts requests in progress (I8)."""
    two.configure_minions(run_ms=1500)
    calls = [two.request_in_background(1, "ask", b"%d" % i) for i in range(6)]
    minion_load = lambda: sum(  # noqa: E731 - read in one condition only
        two.call("GET", m, "/control").json["in_flight"] for m in two.minion_addresses
    )
    two.wait_until(lambda: minion_load() == 6, "all requests run")
    two.send_signal("entry-1", signal.SIGTERM)
    assert [c.result().body for c in calls] == [b"%d" % i for i in range(6)]
    two.wait_until(lambda: two.processes["entry-1"].poll() == 0, "the entry ends with exit code 0")


def test_leaving_minion_gets_no_new_work(healed):
    """Guards against new requests to a backend server that is about to be removed (I7)."""
    healed.configure_minions(run_ms=50)

    def load():
        calls = [healed.request_in_background(n, "ask", b"x") for n in (1, 2) * 5]
        return [call.result().status for call in calls]

    healed.wait_until(lambda: load() and _ran(healed, 0) > 0, "the load reaches minion 1")
    healed.call(
        "PATCH", healed.instance_list_address, "/v1/instances/minion-1", {"state": "leaving"}
    )
    left_s = time.monotonic()
    healed.wait_until(lambda: time.monotonic() - left_s > LEAVING_BOUND_S, "the bound has passed")
    before = _ran(healed, 0)
    for _ in range(4):
        assert load() == [200] * 10
    assert _ran(healed, 0) == before
    healed.call("PATCH", healed.instance_list_address, "/v1/instances/minion-1", {"state": "live"})
    healed.wait_until(lambda: load() and _ran(healed, 0) > before, "minion 1 gets work again")


def _ran(deployment, index):
    minion = deployment.minion_addresses[index]
    return len(deployment.call("GET", minion, "/control").json["executed"])


# Configuration


def test_accepted_change_survives_its_entry_and_a_store_outage(two):
    """Guards against an accepted configuration change that is lost or reverted (I9)."""
    reply = two.change_configuration(1, "class.delete", "survey")
    assert reply.status == 200
    accepted_s = time.monotonic()
    two.kill("entry-1")
    two.wait_until(lambda: set(two.revisions().values()) == {6}, "all daemons run the change")
    assert time.monotonic() - accepted_s <= CONFIGURATION_BOUND_S
    two.configure_store(outage=True)
    two.start_instance(3, roles="entry")
    seen = set()

    def new_entry_runs_it():
        seen.add(two.revisions()["entry-3"])
        return 6 in seen

    two.wait_until(new_entry_runs_it, "a new entry takes the configuration from its peers")
    assert seen <= {-1, 0, 6}
    assert set(two.revisions().values()) == {6}


# Jobs


def test_gang_survives_its_scheduler_and_all_instances(two):
    """Guards against a gang that ends or restarts with the processes that started it (I10)."""
    job = two.submit(1, "j", run_s=12.0)
    two.wait_until_working(job)
    holder = two.holder()
    killed_s = time.monotonic()
    two.kill(f"scheduler-{holder}")
    two.wait_until(lambda: two.holder() not in (0, holder), "the other scheduler holds the zone")
    assert time.monotonic() - killed_s <= TAKEOVER_BOUND_S
    for name in ("entry-1", "entry-2", f"scheduler-{3 - holder}"):
        two.kill(name)
    two.start_instance(3)
    two.start_instance(4)
    two.wait_until(lambda: two.holder() in (3, 4), "a new scheduler holds the zone")
    assert two.job_document(job)["state"] == "running"
    two.wait_for_state(job, "done")
    assert two.job_document(job)["attempt"] == 1
    _check_ran_once(two, job)


def test_scheduler_paused_beyond_its_lease_changes_nothing_when_resumed(two):
    """Guards against a former lease holder that starts, stops or restarts a gang (I2, I10)."""
    job = two.submit(1, "j", run_s=7.0)
    two.wait_until_working(job)
    old = two.holder()
    two.send_signal(f"scheduler-{old}", signal.SIGSTOP)
    later = [two.submit(1, f"l{i}", members=1, run_s=0.5) for i in range(4)]
    two.wait_until(lambda: two.holder() not in (0, old), "the other scheduler holds the zone")
    new, term = two.holder(), two.allocation()["term"]
    two.send_signal(f"scheduler-{old}", signal.SIGCONT)
    for each in [*later, job]:
        two.wait_for_state(each, "done")
        _check_ran_once(two, each)
    # A resumed holder may assign a waiting job before it learns the new term, so only the job that
    # ran all the time must be at its first attempt.
    assert two.job_document(job)["attempt"] == 1
    assert (two.holder(), two.allocation()["term"]) == (new, term)


def test_lost_worker_responses_start_no_gang_twice(healed):
    """Guards against a command that is repeated as a new one after a lost response (I2)."""
    for worker in ("a-w0", "a-w1"):
        values = {"worker": worker, "lose_responses": 2}
        assert healed.call("POST", healed.workers_address, "/control", values).status == 200
    jobs = [healed.submit(1, f"j{i}", members=4, run_s=0.3) for i in range(3)]
    for job in jobs:
        healed.wait_for_state(job, "done")
    check_worker_log(healed.worker_log())


def _check_ran_once(deployment, job):
    check_worker_log(deployment.worker_log())
    worked = [r for r in deployment.worker_log(job) if r["first_work_s"]]
    members = [r["member"] for r in worked]
    assert len(members) == len(set(members))
    assert {r["state"] for r in worked} == {"done"}


@pytest.mark.parametrize("failure", ["paused", "slow store link"])
def test_no_start_in_a_zone_out_of_service_after_the_bound(deployment, failure):
    """Guards against starts in a zone out of service by a holder that learns it late (I3)."""
    deployment.start_platform(zones="a,b")
    relay, control = deployment.start_relay("relay", deployment.store_address)
    deployment.start_instance(1, "a", store_address=relay)
    deployment.configure()
    deployment.wait_until(lambda: deployment.holder("a") == 1, "instance 1 holds zone a")
    deployment.start_instance(2, "b")
    deployment.wait_until(
        lambda: set(deployment.revisions().values()) == {5}, "instance 2 is ready"
    )
    for i in range(JOB_COUNT):
        deployment.submit(2, f"j{i}", members=2, run_s=1.0)
    deployment.wait_until(lambda: _starts(deployment, "a"), "zone a starts work")
    if failure == "paused":
        deployment.send_signal("scheduler-1", signal.SIGSTOP)
    else:
        deployment.call("POST", control, "/control", {"delay_ms": 300, "jitter_ms": 200})
    assert deployment.change_configuration(2, "zone.out", "a", {"reason": "test"}).status == 200
    out_s, revision = time.monotonic(), deployment.revisions()["entry-2"]
    deployment.wait_until(
        lambda: time.monotonic() - out_s > ZONE_OUT_BOUND_S, "the bound has passed"
    )
    deployment.send_signal("scheduler-1", signal.SIGCONT)
    deployment.wait_until(
        lambda: max(_starts(deployment, "b")) > out_s + ZONE_OUT_BOUND_S,
        "waiting work starts in the other zone after the bound",
    )
    deployment.wait_until(
        lambda: deployment.revisions()["scheduler-1"] == revision, "the old holder knows"
    )
    check_worker_log(deployment.worker_log())
    assert max(_starts(deployment, "a")) <= out_s + ZONE_OUT_BOUND_S


def _starts(deployment, zone):
    records = [r for r in deployment.worker_log() if r["zone"] == zone]
    return [max(r["started_s"], r["first_work_s"]) for r in records if r["started_s"]]
