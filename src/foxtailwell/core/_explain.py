"""Explains the state of a job: why it waits or is stopped, and which jobs block it."""

from __future__ import annotations

from dataclasses import dataclass

from foxtailwell.core._jobs import Job, JobState
from foxtailwell.core._plan import ClusterView, FailJob, Plan, StartGang, StopGang, WaitReason


@dataclass(frozen=True, slots=True)
class BlockingJob:
    """A job whose resources another one waits for; `ends_in_s` is predicted, None if unknown."""

    job_id: str
    account: str
    work_class: str
    accelerators: int
    zone: str
    ends_in_s: float | None


@dataclass(frozen=True, slots=True)
class Explanation:
    """Why a job is in its state.

    Attributes:
        job_id: Job that is explained.
        state: State of the job.
        code: Stable code of the reason.
        detail: Message with the relevant values.
        needs: What would let the job start; empty when it does not wait.
        waited_s: Time since the submission.
        held_by: Jobs that use or have reserved what it needs.
        history: Earlier transitions with their reasons, oldest first.
    """

    job_id: str
    state: str
    code: str
    detail: str
    needs: str
    waited_s: float
    held_by: tuple[BlockingJob, ...]
    history: tuple[str, ...]


def explain_job(view: ClusterView, plan: Plan, job_id: str) -> Explanation | None:
    """Explain one job.

    Args:
        view: View that the plan was computed from.
        plan: Latest plan.
        job_id: Job to explain.

    Returns:
        The explanation, or None when the view has no such job.
    """
    jobs = {job.id: job for job in view.jobs}
    job = jobs.get(job_id)
    if job is None:
        return None
    reason = _reason(view, plan, job)
    return Explanation(
        job_id=job.id,
        state=job.state.value,
        code=reason.code,
        detail=reason.detail,
        needs=reason.needs,
        waited_s=max(0.0, (view.now_unix_ms - job.submitted_unix_ms) / 1000),
        held_by=tuple(
            _blocking_job(view, jobs[other]) for other in reason.held_by if other in jobs
        ),
        history=tuple(_event(view, t.state, t.at_unix_ms, t.reason) for t in job.history),
    )


def _reason(view: ClusterView, plan: Plan, job: Job) -> WaitReason:
    for decision in plan.decisions:
        if isinstance(decision, StartGang) and decision.job_id == job.id:
            return WaitReason("starting", f"the job is about to start in zone {decision.zone}")
        if isinstance(decision, StopGang) and decision.job_id == job.id:
            detail = f"the job is being stopped in zone {decision.zone}: {_stop_text(decision)}"
            return WaitReason(f"stop_{decision.reason}", detail)
        if isinstance(decision, FailJob) and decision.job_id == job.id:
            return WaitReason("cannot_run", decision.reason)
    if job.id in plan.waiting:
        return plan.waiting[job.id]
    last = job.history[-1].reason if job.history else ""
    if job.state is JobState.RUNNING:
        return WaitReason("running", f"the job runs in zone {job.zone}, attempt {job.attempt}")
    return WaitReason(job.state.value, last or f"the job is {job.state.value}")


def _stop_text(stop: StopGang) -> str:
    texts = {
        "reclaim": "another account reclaims accelerators that the job borrowed",
        "zone_out": "operators took the zone out",
        "move": "it is moved to make room for a larger job",
        "cancel": "a caller cancelled it",
        "worker_leaving": "a worker of the gang is leaving",
    }
    return f"{texts[stop.reason]}; it has {stop.checkpoint_wait_s:g} s for a checkpoint"


def _blocking_job(view: ClusterView, job: Job) -> BlockingJob:
    ends_in_s = None
    if job.state is JobState.RUNNING and job.id in view.run_time_s:
        elapsed_s = (view.now_unix_ms - job.started_unix_ms) / 1000
        ends_in_s = max(0.0, view.run_time_s[job.id] - elapsed_s)
    return BlockingJob(
        job.id, job.account, job.work_class, job.spec.accelerators, job.zone, ends_in_s
    )


def _event(view: ClusterView, state: JobState, at_unix_ms: int, reason: str) -> str:
    age_s = max(0.0, (view.now_unix_ms - at_unix_ms) / 1000)
    return f"{age_s:.0f} s ago: {state.value}: {reason}"


def format_explanation(explanation: Explanation) -> str:
    """Format an explanation as plain text for an operator, one fact per line."""
    lines = [
        f"job {explanation.job_id} is {explanation.state} "
        f"({explanation.code}), submitted {explanation.waited_s:.0f} s ago",
        f"why: {explanation.detail}",
    ]
    if explanation.needs:
        lines.append(f"needs: {explanation.needs}")
    for other in explanation.held_by:
        ends = "" if other.ends_in_s is None else f", predicted to end in {other.ends_in_s:.0f} s"
        place = f" in zone {other.zone}" if other.zone else ""
        lines.append(
            f"held by: job {other.job_id} of account {other.account}, "
            f"{other.accelerators} accelerators{place}{ends}"
        )
    lines += [f"earlier: {event}" for event in explanation.history]
    return "\n".join(lines)
