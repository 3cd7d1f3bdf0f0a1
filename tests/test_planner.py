"""Tests of the planner, guarantees, quarantines, run times and explanations."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from foxtailwell.core import (
    ClientAccount,
    ClusterView,
    Configuration,
    FailJob,
    Gang,
    GangSpec,
    InstanceRecord,
    Job,
    JobState,
    Member,
    QuarantineWorker,
    RunTimes,
    Shape,
    StartGang,
    StopGang,
    WorkClass,
    WorkerFailures,
    WorkerHealth,
    ZoneAllocation,
    ZoneOut,
    check_guarantees,
    explain_job,
    format_explanation,
    is_reclaimable,
    pack_guarantees,
    plan,
)

ZONES = ("a", "b", "c")
CLASSES = {
    "urgent": WorkClass("urgent", "job", 5_000, 0, True),
    "batch": WorkClass("batch", "job", 600_000, 0, True),
}
NOW_MS = 1_000_000


def make_workers(zones=ZONES, per_zone=4, accelerators=8):
    return tuple(
        InstanceRecord(f"{z}{i}", "worker", z, "", rack=f"r{z}", accelerators=accelerators)
        for z in zones
        for i in range(per_zone)
    )


def make_job(job_id, account="lender", work_class="batch", members=1, size=1, **fields):
    fields = {"submitted_unix_ms": NOW_MS, "state": JobState.WAITING, **fields}
    spec = GangSpec(members, size)
    return Job(job_id, account, work_class, spec, 600.0, True, "", **fields)


def make_running(job_id, account, zone, members, started_ms=NOW_MS - 300_000):
    """Return a running job and its gang."""
    size = len(members[0].accelerators)
    job = make_job(job_id, account, members=len(members), size=size, attempt=1)
    job = replace(job, state=JobState.RUNNING, zone=zone, started_unix_ms=started_ms)
    return job, Gang(job_id, 1, account, tuple(members), started_ms)


def make_view(jobs=(), gangs=(), accounts=(), workers=None, **fields):
    """Return a view; `gangs` are pairs of a job and its gang, `accounts` have default classes."""
    allocations = {z: ZoneAllocation(zone=z) for z in ZONES}
    for job, gang in gangs:
        allocations[job.zone].gangs[job.id] = gang
    configuration = fields.pop("configuration", None) or Configuration(
        classes=CLASSES, accounts={a.name: a for a in accounts}
    )
    return ClusterView(
        NOW_MS,
        configuration,
        make_workers() if workers is None else workers,
        (*jobs, *(job for job, _ in gangs)),
        allocations,
        **fields,
    )


def fill_with_borrowers(zones=ZONES):
    """Return gangs of one account that use every accelerator of the zones."""
    return [
        make_running(f"b-{w.id}", "borrower", w.zone, [Member(w.id, tuple(range(8)))])
        for w in make_workers(zones)
    ]


def decisions_of(view, kind):
    return [d for d in plan(view).decisions if isinstance(d, kind)]


def test_guarantees_fit_or_report_the_missing_shape():
    """Guards against accepting guarantees that do not fit, also after the loss of a zone."""
    accounts = {"x": ClientAccount("x", (Shape(32, 2), Shape(8)))}
    configuration = Configuration(accounts=accounts, survive_zone_loss=True)
    assert pack_guarantees(configuration, make_workers()).is_complete
    assert not pack_guarantees(configuration, make_workers(), without_zone="b").is_complete
    packing = check_guarantees(configuration, make_workers())
    assert packing.missing
    assert "account x" in packing.reason


def test_packing_searches_when_the_greedy_order_fails():
    """Guards against refusing a configuration that fits: 4+2+2 and 3+3+2 fill two workers."""
    shapes = (Shape(4), Shape(3, 2), Shape(2, 3))
    configuration = Configuration(accounts={"x": ClientAccount("x", shapes)})
    packing = pack_guarantees(configuration, make_workers(("a",), per_zone=2))
    assert packing.is_complete
    taken = [(m.worker, i) for s in packing.slots for m in s.members for i in m.accelerators]
    assert len(taken) == len(set(taken)) == 16


def test_guarantee_reclaims_the_cheapest_borrowers():
    """Guards against a guaranteed shape that gets no accelerators in a fully used fleet."""
    lender = ClientAccount("lender", (Shape(16),))
    gangs = fill_with_borrowers()
    cheap = {"b-b1", "b-b2"}
    gangs = [
        (replace(j, checkpoint="c", started_unix_ms=NOW_MS - 1000), g) if j.id in cheap else (j, g)
        for j, g in gangs
    ]
    view = make_view([make_job("want", members=2, size=8)], gangs, [lender])
    stops = decisions_of(view, StopGang)
    assert {s.reason for s in stops} == {"reclaim"}
    assert len(stops) == 2
    assert plan(view).waiting["want"].code == "reclaiming"


def test_gang_within_its_guarantee_is_not_stopped_for_others():
    """Guards against urgent work that stops a gang inside the slots of its own account."""
    owner = ClientAccount("borrower", (Shape(8, 12),))
    view = make_view([make_job("u", "other", "urgent")], fill_with_borrowers(), [owner])
    assert not decisions_of(view, StopGang)
    assert plan(view).waiting["u"].code == "no_capacity"


def test_slot_avoids_gangs_within_the_guarantee_of_another_account():
    """Guards against a slot that overlaps a gang within another account's guarantee."""
    accounts = [ClientAccount("x", (Shape(8),)), ClientAccount("y", (Shape(4),))]
    first = [
        make_running("rx", "x", "a", [Member("a0", (0,))], NOW_MS - 900_000),
        make_running("ry", "y", "a", [Member("a0", (4, 5, 6, 7))]),
        make_running("rb", "borrower", "a", [Member("a0", (1, 2, 3))]),
    ]
    gangs = first + [pair for pair in fill_with_borrowers() if pair[0].id != "b-a0"]
    stops = decisions_of(make_view([make_job("wx", "x", size=7)], gangs, accounts), StopGang)
    assert [stop.reason for stop in stops] == ["reclaim"]
    assert stops[0].job_id.startswith("b-")


def test_two_accounts_do_not_stop_each_others_small_jobs():
    """Guards against alternating stops when slots of one account contain jobs of another."""
    accounts = [ClientAccount(name, (Shape(8, 6),)) for name in ("x", "y")]
    gangs = []
    for worker in make_workers():
        for index in range(8):
            member = Member(worker.id, (index,))
            account = "xy"[index % 2]
            job, gang = make_running(f"{worker.id}-{index}", account, worker.zone, [member])
            gangs.append((job, gang))
    waiting = [make_job("wx", "x"), make_job("wy", "y")]
    assert not decisions_of(make_view(waiting, gangs, accounts), StopGang)


def test_job_does_not_return_to_a_worker_on_which_it_failed():
    """Guards against a job that fails again and again on the same worker."""
    view = make_view([make_job("f", failed_workers=("a0", "b1"))], workers=make_workers()[:2])
    assert [d.members[0].worker for d in decisions_of(view, StartGang)] == ["a1"]


def test_urgent_work_waits_two_seconds_for_checkpoints():
    """Guards against urgent jobs that wait for a long checkpoint."""
    jobs = [make_job("u", "other", "urgent")]
    stops = decisions_of(make_view(jobs, fill_with_borrowers()), StopGang)
    assert [s.checkpoint_wait_s for s in stops] == [2.0]


def test_reserved_gang_is_backfilled_without_delay():
    """Guards against small jobs that starve a large gang, and against idle reserved capacity."""
    gangs = [
        make_running(f"r{w.id}", "other", w.zone, [Member(w.id, tuple(range(8)))], NOW_MS)
        for w in make_workers()
        if w.id not in ("a0", "a1")
    ]
    # Due in 300 s; free accelerators are reserved once the gang has waited ten times as long.
    large = make_job("large", "x", members=3, size=8, submitted_unix_ms=NOW_MS - 3_100_000)
    small = make_job("small", "x", size=2, submitted_unix_ms=NOW_MS)
    times = {job.id: 300.0 for job, _ in gangs}
    late = make_view([large, small], gangs, run_time_s={**times, "small": 400.0})
    assert plan(late).waiting["large"].code == "reserved"
    assert plan(late).waiting["small"].code == "reserved_for_larger"
    early = make_view([large, small], gangs, run_time_s={**times, "small": 200.0})
    assert [d.job_id for d in decisions_of(early, StartGang)] == ["small"]
    recent = replace(large, submitted_unix_ms=NOW_MS - 2_900_000)
    unheld = make_view([recent, small], gangs, run_time_s={**times, "small": 400.0})
    assert [d.job_id for d in decisions_of(unheld, StartGang)] == ["small"]


def test_small_gangs_are_moved_for_a_large_one():
    """Guards against a large gang that waits for one small job on each worker."""
    gangs = [
        make_running(f"r{w.id}", "other", w.zone, [Member(w.id, (3,))]) for w in make_workers()
    ]
    large = make_job("large", "x", members=2, size=8, submitted_unix_ms=NOW_MS - 60_000)
    stops = decisions_of(make_view([large], gangs), StopGang)
    assert [s.reason for s in stops] == ["move", "move"]


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"cancel_requested": True}, "cancel"),
        ({}, "zone_out"),
        ({}, "worker_leaving"),
    ],
)
def test_gang_stops_on_cancel_zone_out_or_leaving_worker(change, reason):
    """Guards against gangs that keep running after a cancel, a zone out or a leaving worker."""
    job, gang = make_running("r", "x", "a", [Member("a0", (0,))])
    out = {"a": ZoneOut("a", 0, "o", "r")} if reason == "zone_out" else {}
    workers = make_workers()
    if reason == "worker_leaving":
        workers = (replace(workers[0], state="leaving"), *workers[1:])
    configuration = Configuration(classes=CLASSES, zones_out=out)
    view = make_view(
        gangs=[(replace(job, **change), gang)], workers=workers, configuration=configuration
    )
    assert [s.reason for s in decisions_of(view, StopGang)] == [reason]


def test_cancelled_job_never_starts():
    """Guards against a start after a confirmed cancel while accelerators are free."""
    view = make_view([make_job("c", cancel_requested=True)])
    assert not plan(view).decisions
    assert plan(view).waiting["c"].code == "cancelled"


def test_starts_per_zone_and_second_are_bounded():
    """Guards against too many starts at once in a zone that returned to service."""
    jobs = [make_job(f"j{i:02}") for i in range(40)]
    view = make_view(jobs)
    zones = [d.zone for d in decisions_of(view, StartGang)]
    assert {z: zones.count(z) for z in ZONES} == dict.fromkeys(ZONES, 8)
    assert plan(view).waiting["j39"].code == "start_rate"


def test_job_that_never_fits_fails_with_what_would_fit():
    """Guards against a job that waits forever, and one that fails during the loss of a zone."""
    jobs = [make_job("wide", size=9), make_job("many", members=5, size=8)]
    reasons = {d.job_id: d.reason for d in decisions_of(make_view(jobs), FailJob)}
    assert "largest worker has 8" in reasons["wide"]
    assert "at most 4" in reasons["many"]
    assert not decisions_of(make_view(jobs, workers=make_workers(("a", "b"))), FailJob)


@pytest.mark.parametrize(("cores", "due_text"), [(16, "in 600 s"), (64, "")])
def test_gang_that_waits_for_cores_is_backfilled_until_they_are_free(cores, due_text):
    """Guards against accelerators that stay idle for a gang that lacks cores."""
    workers = tuple(replace(w, cores=32) for w in make_workers(("a",), 2))
    gangs = [make_running(f"r{w.id}", "x", "a", [Member(w.id, (0,))], NOW_MS) for w in workers]
    spec = GangSpec(1, 1, cores_per_member=24)
    gangs = [(replace(job, spec=spec), gang) for job, gang in gangs]
    large = make_job("large", "x", submitted_unix_ms=NOW_MS - 9_000_000, attempt=1)
    large = replace(large, spec=GangSpec(2, 4, cores_per_member=cores))
    small = make_job("small", "x", size=4)
    times = {"ra0": 600.0, "ra1": 600.0, "small": 400.0}
    view = make_view([large, small], gangs, workers=workers, run_time_s=times)
    assert [d.job_id for d in decisions_of(view, StartGang)] == ["small"]
    assert due_text in plan(view).waiting["large"].detail


def test_failing_worker_is_quarantined_and_failing_job_ends():
    """Guards against a worker that fails every job and a job that fails on every worker."""
    health = WorkerHealth()
    for _ in range(3):
        health.record_failure("a0", "same", NOW_MS)
        assert len(health.failures()["a0"].job_ids) == 1
    for index in range(3):
        health.record_failure("a0", f"j{index}", NOW_MS)
    failing = make_job("h", failed_workers=("b0", "b1", "b2"))
    view = make_view([failing], failing_workers=health.failures())
    assert decisions_of(view, QuarantineWorker) == [QuarantineWorker("a", "a0", NOW_MS + 60_000)]
    assert [d.job_id for d in decisions_of(view, FailJob)] == ["h"]


def test_worker_is_probed_with_one_job_after_its_quarantine():
    """Guards against a full load on a worker that may still fail everything."""
    failing = {"a0": WorkerFailures(("x", "y", "z"), NOW_MS - 70_000)}
    view = make_view([make_job("p"), make_job("q")], failing_workers=failing)
    view.allocations["a"].quarantined["a0"] = NOW_MS - 10
    assert not decisions_of(view, QuarantineWorker)
    on_worker = [d for d in decisions_of(view, StartGang) if d.members[0].worker == "a0"]
    assert len(on_worker) == 1


def test_quarantine_that_was_lifted_without_a_probe_does_not_return():
    """Guards against a worker that stays empty for ever because no job is fit to probe it."""
    failing = {"a0": WorkerFailures(("x", "y", "z"), NOW_MS - 400_000)}
    assert not decisions_of(make_view(failing_workers=failing), QuarantineWorker)
    failing_again = {"a0": WorkerFailures(("x", "y", "z"), NOW_MS - 100)}
    assert decisions_of(make_view(failing_workers=failing_again), QuarantineWorker)


def test_run_times_are_learned_and_bounded():
    """Guards against trusting declared run times and against state that grows with jobs."""
    times = RunTimes()
    job = make_job("j")
    assert times.predict([job], NOW_MS) == {"j": 600.0}
    for index in range(5000):
        times.observe(f"account-{index}", "batch", 20.0)
    for run_s in range(1, 101):
        times.observe("lender", "batch", float(run_s))
    assert times.predict([job], NOW_MS)["j"] == 94.0
    assert times.quantile_s("lender", "batch", 0.5, longer_than_s=98.0) == 100.0
    assert len(times._samples) <= 2048


def test_explanation_names_needs_and_blocking_jobs():
    """Guards against an explanation without the needed resources or the jobs that use them."""
    view = make_view([make_job("want", size=8)], fill_with_borrowers())
    explanation = explain_job(view, plan(view), "want")
    text = format_explanation(explanation)
    assert explanation.code == "no_capacity"
    assert "1 x 8 adjacent accelerators" in text
    assert "held by: job b-" in text
    assert explain_job(view, plan(view), "absent") is None


class PlannerMachine(RuleBasedStateMachine):
    """Executes each plan at once, under submissions, ends, cancels, failures and zone changes."""

    accounts = (
        ClientAccount("a1", (Shape(16), Shape(4, 2)), 40),
        ClientAccount("a2", (Shape(8, 2),), 0),
        ClientAccount("a3", (), 96),
    )

    @initialize()
    def start(self):
        """Start with a fleet without jobs."""
        self.now_ms = NOW_MS
        self.configuration = Configuration(
            survive_zone_loss=True, classes=CLASSES, accounts={a.name: a for a in self.accounts}
        )
        self.workers = {w.id: w for w in make_workers()}
        self.jobs = {}
        self.gangs = {z: {} for z in ZONES}
        self.quarantined = {z: {} for z in ZONES}
        self.failing = {}
        self.number = 0
        assert check_guarantees(self.configuration, self.workers.values()).is_complete

    def view(self):
        """Return the current input of the planner."""
        allocations = {
            z: ZoneAllocation(zone=z, gangs=dict(self.gangs[z]), quarantined=self.quarantined[z])
            for z in ZONES
        }
        jobs = tuple(self.jobs.values())
        return ClusterView(
            self.now_ms,
            self.configuration,
            tuple(self.workers.values()),
            jobs,
            allocations,
            {},
            dict(self.failing),
        )

    def submit(self, account, work_class, members, size):
        """Add a waiting job."""
        self.number += 1
        job = make_job(f"j{self.number:03}", account, work_class, members, size)
        self.jobs[job.id] = replace(job, submitted_unix_ms=self.now_ms)
        return job.id

    def step(self, seconds=2):
        """Advance the time, compute a plan, check it and execute it."""
        self.now_ms += seconds * 1000
        view = self.view()
        result = plan(view)
        self.check(view, result)
        for decision in result.decisions:
            if isinstance(decision, StartGang):
                self.run(decision)
            elif isinstance(decision, StopGang):
                self.stop(decision.job_id)
                if decision.reason == "cancel":
                    del self.jobs[decision.job_id]
            elif isinstance(decision, FailJob):
                del self.jobs[decision.job_id]
            else:
                self.quarantined[decision.zone][decision.worker] = decision.until_unix_ms
                self.failing.pop(decision.worker)
        return result

    def run(self, decision):
        """Execute the start of a gang."""
        job = self.jobs[decision.job_id]
        self.gangs[decision.zone][job.id] = Gang(
            job.id, job.attempt + 1, job.account, decision.members, self.now_ms
        )
        self.jobs[job.id] = replace(
            job,
            state=JobState.RUNNING,
            zone=decision.zone,
            attempt=job.attempt + 1,
            started_unix_ms=self.now_ms,
        )

    def stop(self, job_id):
        """Stop a gang with a checkpoint and return its job to the queue."""
        job = self.jobs[job_id]
        del self.gangs[job.zone][job_id]
        self.jobs[job_id] = replace(job, state=JobState.WAITING, zone="", checkpoint="c")

    def check(self, view, result):
        """Check the invariants of one plan."""
        starts = [d for d in result.decisions if isinstance(d, StartGang)]
        taken = set()
        used = dict.fromkeys(self.configuration.accounts, 0)
        for gangs in self.gangs.values():
            for gang in gangs.values():
                for member in gang.members:
                    taken |= {(member.worker, i) for i in member.accelerators}
                    used[gang.account] += len(member.accelerators)
        quarantined = {
            w for z in self.quarantined.values() for w, until in z.items() if until > self.now_ms
        }
        per_zone = dict.fromkeys(ZONES, 0)
        for start in starts:
            job = self.jobs[start.job_id]
            per_zone[start.zone] += 1
            assert job.state is JobState.WAITING
            assert not job.cancel_requested
            assert start.zone not in self.configuration.zones_out
            assert [len(m.accelerators) for m in start.members] == [
                job.spec.accelerators_per_member
            ] * job.spec.members
            for member in start.members:
                worker = self.workers[member.worker]
                assert worker.zone == start.zone
                assert worker.state == "live"
                assert member.worker not in quarantined
                assert member.worker not in job.failed_workers
                assert set(member.accelerators) <= set(range(worker.accelerators))
                placed = {(member.worker, i) for i in member.accelerators}
                assert not placed & taken
                taken |= placed
            used[job.account] += job.spec.accelerators
            quota = self.configuration.accounts[job.account].quota_accelerators
            assert not quota or used[job.account] <= quota
        assert max(per_zone.values()) <= 8
        waiting = {j.id for j in view.jobs if j.state is JobState.WAITING}
        decided = {s.job_id for s in starts}
        decided |= {d.job_id for d in result.decisions if isinstance(d, FailJob)}
        assert waiting - decided == set(result.waiting)
        assert all(reason.code and reason.detail for reason in result.waiting.values())

    @rule(
        account=st.sampled_from(["a1", "a2", "a3"]),
        work_class=st.sampled_from(["urgent", "batch"]),
        members=st.sampled_from([1, 1, 1, 2, 4, 5]),
        size=st.sampled_from([1, 2, 3, 4, 8, 8, 9]),
        count=st.integers(1, 6),
    )
    def arrive(self, account, work_class, members, size, count):
        """Submit several equal jobs at once."""
        for _ in range(count):
            self.submit(account, work_class, members, size)
        self.step()

    @rule(size=st.sampled_from([1, 2, 4, 8]))
    def fill_every_rack(self, size):
        """Let an account without a guarantee borrow all free accelerators."""
        for _ in range(96 // size):
            self.submit("a3", "batch", 1, size)
        for _ in range(6):
            self.step()

    @precondition(lambda self: self.running())
    @rule(index=st.integers(0, 1000), count=st.integers(1, 5))
    def end(self, index, count):
        """Complete some running jobs."""
        for _ in range(count):
            running = self.running()
            if running:
                job_id = running[index % len(running)]
                del self.gangs[self.jobs[job_id].zone][job_id]
                del self.jobs[job_id]
        self.step()

    def running(self):
        """Return the ids of the running jobs."""
        return [j.id for j in self.jobs.values() if j.state is JobState.RUNNING]

    @precondition(lambda self: self.jobs)
    @rule(index=st.integers(0, 1000))
    def cancel(self, index):
        """Cancel a waiting or running job."""
        job = list(self.jobs.values())[index % len(self.jobs)]
        self.jobs[job.id] = replace(job, cancel_requested=True)
        self.step()

    @rule(zone=st.sampled_from(ZONES))
    def zone_out_or_back(self, zone):
        """Take a zone out of service, or return the one that is out."""
        out = dict(self.configuration.zones_out)
        if not out:
            out[zone] = ZoneOut(zone, self.now_ms, "operator", "test")
        else:
            out.clear()
        self.configuration = replace(self.configuration, zones_out=out)
        self.step()
        assert not any(self.gangs[z] for z in out)

    @rule(worker=st.sampled_from(["a0", "b1", "c2"]), seconds=st.sampled_from([2, 70]))
    def fail_worker(self, worker, seconds):
        """Fail all tasks of a worker; after 70 s it may be probed."""
        zone = self.workers[worker].zone
        for job_id, gang in list(self.gangs[zone].items()):
            if any(m.worker == worker for m in gang.members):
                self.stop(job_id)
                failed = (*self.jobs[job_id].failed_workers, worker)
                self.jobs[job_id] = replace(self.jobs[job_id], failed_workers=failed)
        self.failing[worker] = WorkerFailures(("x", "y", "z"), self.now_ms)
        self.step()
        self.step(seconds)

    @rule(worker=st.sampled_from(["a3", "b3"]))
    def leave_or_return(self, worker):
        """Set a worker to leaving, or back to live."""
        record = self.workers[worker]
        state = "live" if record.state == "leaving" else "leaving"
        self.workers[worker] = replace(record, state=state)
        self.step()

    @rule()
    def clear_quarantine(self):
        """Lift all quarantines, as successful probes do."""
        self.quarantined = {z: {} for z in ZONES}
        self.step()

    @precondition(lambda self: self.has_full_capacity())
    @rule(account=st.sampled_from(["a1", "a2"]))
    def claim_guarantee(self, account):
        """An account that runs nothing gets its largest shape within a few plans."""
        for job in list(self.jobs.values()):
            if job.account == account:
                if job.state is JobState.RUNNING:
                    del self.gangs[job.zone][job.id]
                del self.jobs[job.id]
        shape = self.configuration.accounts[account].guarantees[0].accelerators
        job_id = self.submit(account, "batch", shape // 8, 8)
        for _ in range(4):
            self.step()
        assert self.jobs[job_id].state is JobState.RUNNING

    def has_full_capacity(self):
        """Whether all workers are live and none is quarantined; a zone may be out."""
        return all(w.state == "live" for w in self.workers.values()) and not any(
            self.quarantined.values()
        )

    @invariant()
    def guarantees_are_reclaimable(self):
        """Check that the guaranteed shapes fit on free accelerators and borrowers."""
        if self.has_full_capacity():
            assert is_reclaimable(self.view())


PlannerMachine.TestCase.settings = settings(stateful_step_count=20)
TestPlannerMachine = PlannerMachine.TestCase
