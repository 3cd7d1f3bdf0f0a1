"""`foxtailwell`: submit, follow and cancel jobs, and send requests."""

from __future__ import annotations

import sys
import uuid
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import urlencode

import cappa
import json5
import msgspec

from foxtailwell.cli import _exit_codes
from foxtailwell.cli._client import call, decode_reply, exit_unless_ok, print_json, print_table

__all__ = ["main"]

Url = Annotated[
    str,
    cappa.Arg(
        long="--url",
        default=cappa.Env("FOXTAILWELL_URL", default="http://127.0.0.1:8080"),
        help="Base URL of the callers' interface of an entry daemon.",
    ),
]
AsJson = Annotated[bool, cappa.Arg(long="--json", help="Print JSON for use in scripts.")]

MAX_CALL_WAIT_S = 30
"""Longest wait of one call; a longer wait repeats the call, perhaps at another entry daemon."""


@cappa.command(
    name="submit",
    help="Submit one job from flags, or jobs from a file.",
    description=(
        "Examples:\n\n"
        "foxtailwell submit --account geo --class convergence --members 4 --accelerators 8\n\n"
        "foxtailwell submit --file jobs.jsonc --json"
    ),
)
@dataclass(frozen=True)
class Submit:
    """Submit one job from flags, or jobs from a file."""

    url: Url
    account: Annotated[str, cappa.Arg(long=True, help="Client account.")] = ""
    work_class: Annotated[str, cappa.Arg(long="--class", help="Class of work.")] = ""
    members: Annotated[int, cappa.Arg(long=True, help="Members of the gang.")] = 1
    accelerators: Annotated[int, cappa.Arg(long=True, help="Accelerators of each member.")] = 1
    run_s: Annotated[float, cappa.Arg(long=True, help="Expected run time in seconds.")] = 0.0
    payload: Annotated[str, cappa.Arg(long=True, help="Arguments for the tasks.")] = ""
    key: Annotated[str, cappa.Arg(long=True, help="Idempotency key.")] = ""
    file: Annotated[Path | None, cappa.Arg(long=True, help="JSON file, comments allowed.")] = None
    json: AsJson = False

    def __call__(self) -> int:
        """Send the jobs and print the outcome of each."""
        body = msgspec.json.encode(self._jobs())
        reply = call(self.url, "POST", "/v1/jobs", body=body, timeout_s=30)
        return _print_outcomes("Submitted jobs", reply.status, decode_reply(reply), self.json)

    def _jobs(self) -> Any:
        if self.file is not None:
            return _read_jobs(self.file)
        return {
            "account": self.account,
            "work_class": self.work_class,
            "members": self.members,
            "accelerators_per_member": self.accelerators,
            "declared_run_s": self.run_s,
            "payload": self.payload,
            "idempotency_key": self.key or uuid.uuid4().hex,
        }


@cappa.command(
    name="status",
    help="Show one job with its history.",
    description="Example: foxtailwell status j-0123456789abcdef01234567",
)
@dataclass(frozen=True)
class Status:
    """Show the state and the history of a job."""

    id: Annotated[str, cappa.Arg(help="Identifier of the job.")]
    url: Url
    json: AsJson = False

    def __call__(self) -> int:
        job = exit_unless_ok(call(self.url, "GET", f"/v1/jobs/{self.id}"))
        _print_job(job, self.json)
        return _exit_codes.OK


@cappa.command(
    name="wait",
    help="Wait until a job has ended; exit code 1 unless it is done.",
    description="Example: foxtailwell wait j-0123456789abcdef01234567 --timeout-s 600",
)
@dataclass(frozen=True)
class Wait:
    """Wait until a job has ended, and show it."""

    id: Annotated[str, cappa.Arg(help="Identifier of the job.")]
    url: Url
    timeout_s: Annotated[float, cappa.Arg(long=True, help="Longest wait in seconds.")] = 3600.0
    json: AsJson = False

    def __call__(self) -> int:
        """Repeat waiting calls until the job has ended or the time is up, and print the job."""
        remaining_s = self.timeout_s
        while True:
            call_wait_s = min(MAX_CALL_WAIT_S, max(remaining_s, 0))
            path = f"/v1/jobs/{self.id}?wait_s={call_wait_s}"
            job = exit_unless_ok(call(self.url, "GET", path, timeout_s=call_wait_s + 10))
            remaining_s -= call_wait_s
            if job["state"] in ("done", "failed", "cancelled") or remaining_s <= 0:
                _print_job(job, self.json)
                return _exit_codes.OK if job["state"] == "done" else _exit_codes.FAILED


@cappa.command(
    name="cancel",
    help="Cancel jobs by identifier, or all jobs of an account.",
    description=(
        "Examples:\n\n"
        "foxtailwell cancel j-0123456789abcdef01234567 j-89abcdef0123456701234567\n\n"
        "foxtailwell cancel --account geo"
    ),
)
@dataclass(frozen=True)
class Cancel:
    """Cancel jobs by identifier or by account."""

    url: Url
    ids: Annotated[list[str], cappa.Arg(help="Identifiers of the jobs.")] = field(
        default_factory=list
    )
    account: Annotated[str, cappa.Arg(long=True, help="Cancel all jobs of this account.")] = ""
    json: AsJson = False

    def __call__(self) -> int:
        """Request the cancellation and print the outcome for each job."""
        if bool(self.ids) == bool(self.account):
            raise cappa.Exit("give either job identifiers or --account", code=_exit_codes.USAGE)
        body = msgspec.json.encode({"ids": self.ids, "account": self.account})
        reply = call(self.url, "POST", "/v1/jobs/cancel", body=body, timeout_s=30)
        return _print_outcomes("Cancelled jobs", reply.status, decode_reply(reply), self.json)


@cappa.command(
    name="list",
    help="List jobs.",
    description="Example: foxtailwell list --account geo --state waiting",
)
@dataclass(frozen=True)
class List:
    """List jobs, optionally of one account or in one state."""

    url: Url
    account: Annotated[str, cappa.Arg(long=True, help="Only jobs of this account.")] = ""
    state: Annotated[str, cappa.Arg(long=True, help="Only jobs in this state.")] = ""
    json: AsJson = False

    def __call__(self) -> int:
        query = {k: v for k, v in (("account", self.account), ("state", self.state)) if v}
        value = exit_unless_ok(call(self.url, "GET", f"/v1/jobs?{urlencode(query)}"))
        if self.json:
            print_json(value)
            return _exit_codes.OK
        columns = ("id", "account", "work_class", "state", "zone", "attempt", "reason")
        rows = [[job[column] for column in columns] for job in value["jobs"]]
        print_table(f"{value['total']} jobs", columns, rows)
        return _exit_codes.OK


@cappa.command(
    name="call",
    help="Send one request and write the response body to standard output.",
    description=(
        "Exit code 0: success, 1: error response, 2: invalid request, "
        "4: not run (safe to retry), 5: outcome unknown.\n\n"
        "Example: foxtailwell call brine-check --account depot --key check-17 --body '{}'"
    ),
)
@dataclass(frozen=True)
class Call:
    """Send one request and print its response."""

    work_class: Annotated[str, cappa.Arg(help="Class of work.")]
    url: Url
    account: Annotated[str, cappa.Arg(long=True, help="Client account.")] = ""
    key: Annotated[str, cappa.Arg(long=True, help="Idempotency key.")] = ""
    deadline_ms: Annotated[
        int, cappa.Arg(long=True, help="Deadline for the response in milliseconds.")
    ] = 10_000
    body: Annotated[str, cappa.Arg(long=True, help="Body, or - for standard input.")] = ""

    def __call__(self) -> int:
        """Write a response to standard output; errors and the outcome go to standard error."""
        headers = {
            "Foxtailwell-Account": self.account,
            "Foxtailwell-Deadline-Ms": str(self.deadline_ms),
        }
        if self.key:
            headers["Idempotency-Key"] = self.key
        body = sys.stdin.buffer.read() if self.body == "-" else self.body.encode()
        reply = call(
            self.url,
            "POST",
            f"/v1/requests/{self.work_class}",
            body=body,
            headers=headers,
            timeout_s=self.deadline_ms / 1000 + 5,
        )
        outcome = reply.headers.get("foxtailwell-outcome", "")
        stream = sys.stdout if outcome == "answer" else sys.stderr
        stream.buffer.write(reply.body + b"\n")
        sys.stderr.write(f"outcome: {outcome or reply.status}\n")
        return _exit_code_of_outcome(outcome, reply.status)


@cappa.command(name="foxtailwell", help="Submit, follow and cancel jobs, and send requests.")
@dataclass(frozen=True)
class Caller:
    """The command `foxtailwell` for callers."""

    command: cappa.Subcommands[Submit | Status | Wait | Cancel | List | Call]


def _read_jobs(path: Path) -> Any:
    try:
        return json5.loads(path.read_text(encoding="utf-8"), allow_duplicate_keys=False)
    except (OSError, ValueError) as error:
        raise cappa.Exit(f"{path}: {error}", code=_exit_codes.USAGE) from error


def _print_outcomes(title: str, status: int, value: Any, as_json: bool) -> int:
    if as_json or "jobs" not in value:
        print_json(value)
    else:
        columns = ("id", "outcome", "state", "message")
        print_table(title, columns, [[job[c] for c in columns] for job in value["jobs"]])
    outcomes = {job["outcome"] for job in value.get("jobs", [])}
    if "outcome_unknown" in outcomes:
        return _exit_codes.OUTCOME_UNKNOWN
    return _exit_codes.exit_code_of_status(status)


def _print_job(job: Any, as_json: bool) -> None:
    if as_json:
        print_json(job)
        return
    title = f"{job['id']}: {job['state']}, attempt {job['attempt']}, zone {job['zone'] or '-'}"
    columns = ("at_unix_ms", "state", "reason")
    print_table(title, columns, [[step[c] for c in columns] for step in job["history"]])


def _exit_code_of_outcome(outcome: str, status: int) -> int:
    if outcome == "answer":
        return _exit_codes.OK if status < 400 else _exit_codes.FAILED
    if outcome == "not_run":
        return _exit_codes.USAGE if status in (400, 404, 422) else _exit_codes.UNAVAILABLE
    return _exit_codes.OUTCOME_UNKNOWN


def main() -> None:
    """Run `foxtailwell` with the arguments of the process; exits with a code of `_exit_codes`."""
    sys.exit(cappa.invoke(Caller))
