"""Runs one request: queue, claim, attempts at minions, and the response to the caller."""

from __future__ import annotations

import secrets
import time
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from itertools import count

import anyio

from foxtailwell.adapters.minions import (
    MinionCall,
    MinionCallError,
    MinionRefusedError,
    MinionResponse,
)
from foxtailwell.adapters.peers import ClaimQuery, ClaimReply
from foxtailwell.core import (
    Claim,
    ClaimRequest,
    RetryBudget,
    Ticket,
    WorkClass,
    claim_key,
    deposit_for_request,
    may_retry,
    request_digest,
    withdraw_for_retry,
)
from foxtailwell.core.errors import (
    FoxtailwellError,
    KeyReusedError,
    NotRunError,
    OutcomeUnknownError,
)
from foxtailwell.entry._claim_results import ANSWER_BYTES_LIMIT, ClaimResults
from foxtailwell.entry._claim_writer import ClaimWriter
from foxtailwell.entry._dispatch import Dispatcher, RefusedError
from foxtailwell.entry._minion_pool import Minion, MinionPool
from foxtailwell.fleet import FleetView

__all__ = ["Request", "RequestRunner", "Respond", "make_request_ids"]

DUPLICATE_POLL_FIRST_S = 0.01
DUPLICATE_POLL_LONGEST_S = 0.5
SERVER_ERROR = 500

Respond = Callable[[MinionResponse], Awaitable[None]]


@dataclass(slots=True)
class Request:
    """One request of a caller.

    Attributes:
        id: Identifier, unique over all entries.
        number: Identifier within this entry.
        account: Client account.
        work_class: Class of the request.
        idempotency_key: Key by which the caller repeats the request.
        headers: Headers for the minion.
        body: Body.
        arrived_s: Time of arrival.
        deadline_s: Time after which the response is of no use.
        scope: Cancelled when the caller disconnects or the deadline passes.
        may_have_run: Whether an attempt may have run.
        waits_for_copy: Whether it waits for the response of another request with its key, which
            may run.
        is_sending: Whether an attempt is on its way.
        has_response_begun: Whether the caller has got the first byte.
    """

    id: str
    number: int
    account: str
    work_class: WorkClass
    idempotency_key: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    arrived_s: float
    deadline_s: float
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    may_have_run: bool = False
    waits_for_copy: bool = False
    is_sending: bool = False
    has_response_begun: bool = False

    def may_cancel(self) -> bool:
        """Return whether the request may be given up when its caller has gone.

        A claimed request that was sent runs to its end, so that a repetition finds the response.
        """
        return self.work_class.idempotent or not (self.is_sending or self.may_have_run)


class RequestRunner:
    """Runs requests with the entry's queue, minions and claims."""

    def __init__(
        self,
        view: FleetView,
        own: str,
        dispatcher: Dispatcher,
        pool: MinionPool,
        claims: ClaimWriter,
        results: ClaimResults,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._own = own
        self._dispatcher = dispatcher
        self._pool = pool
        self._claims = claims
        self._results = results
        self._clock = clock
        self._budget = RetryBudget()

    async def run(self, request: Request, respond: Respond) -> None:
        """Run a request and respond to its caller.

        Args:
            request: The request.
            respond: Sends the response; called once at most.

        Raises:
            NotRunError: Nothing ran.
            KeyReusedError: The key is bound to another request; nothing ran.
            OutcomeUnknownError: The request may have run.
        """
        self._budget = deposit_for_request(self._budget)
        ticket = self._ticket(request)
        if request.work_class.idempotent:
            answer = await self._run_in_slot(request, ticket, respond)
        else:
            answer = await self._run_claimed(request, ticket, respond)
        if answer is not None:
            await respond(answer)

    def _ticket(self, request: Request) -> Ticket:
        work_class = request.work_class
        patience_ms = work_class.patience_ms or max(work_class.target_ms, 1)
        return Ticket(
            id=request.number,
            account=request.account,
            work_class=work_class.name,
            arrived_s=request.arrived_s,
            due_s=request.arrived_s + work_class.target_ms / 1000,
            start_deadline_s=min(request.deadline_s, request.arrived_s + patience_ms / 1000),
        )

    # Attempts

    async def _run_in_slot(
        self, request: Request, ticket: Ticket, respond: Respond
    ) -> MinionResponse | None:
        await self._dispatcher.acquire(ticket)
        started_s = self._clock()
        run_s: float | None = None
        try:
            answer = await self._attempt_all(request, respond)
            run_s = self._clock() - started_s
        finally:
            self._dispatcher.release(ticket, run_s)
        return answer

    async def _attempt_all(self, request: Request, respond: Respond) -> MinionResponse | None:
        """Send a request to minions until one answers; a streamed answer returns None."""
        avoid: frozenset[str] = frozenset()
        avoid_zone = ""
        for attempts in count(1):
            minion = self._pick(request, avoid, avoid_zone)
            try:
                answer = await self._attempt(request, minion, attempts, respond)
            except (MinionRefusedError, MinionCallError) as error:
                failure: MinionRefusedError | MinionCallError = error
                answer = None
            else:
                if answer is None or answer.status < SERVER_ERROR:
                    return answer
                failure = MinionCallError(f"status {answer.status}", may_have_run=True)
            has_run = isinstance(failure, MinionCallError) and failure.may_have_run
            request.may_have_run = request.may_have_run or has_run
            if request.has_response_begun or not self._may_retry(request, attempts, has_run):
                if answer is not None:
                    return answer
                raise _to_error(request, failure)
            self._budget = withdraw_for_retry(self._budget)
            avoid |= {minion.record.id}
            avoid_zone = minion.record.zone if has_run else ""
        raise AssertionError("unreachable")

    def _may_retry(self, request: Request, attempts: int, has_run: bool) -> bool:
        return may_retry(
            self._budget,
            is_idempotent=request.work_class.idempotent,
            may_have_run=has_run,
            attempts=attempts,
            remaining_s=request.deadline_s - self._clock(),
            expected_run_s=self._dispatcher.service_times.mean_s(request.work_class.name),
        )

    def _pick(self, request: Request, avoid: frozenset[str], avoid_zone: str) -> Minion:
        is_idempotent = request.work_class.idempotent
        minion = self._pool.pick(is_idempotent=is_idempotent, avoid=avoid, avoid_zone=avoid_zone)
        if minion is not None:
            return minion
        if request.may_have_run:
            raise OutcomeUnknownError(
                "the request failed and no other minion takes work",
                "repeat the request if running it twice does no harm",
            )
        raise RefusedError("no_slots")

    async def _attempt(
        self, request: Request, minion: Minion, attempt: int, respond: Respond
    ) -> MinionResponse | None:
        call = MinionCall(
            path=f"/v1/run/{request.work_class.name}",
            request_id=request.id if attempt == 1 else f"{request.id}.{attempt}",
            headers=request.headers,
            body=request.body,
            timeout_s=max(0.001, request.deadline_s - self._clock()),
        )
        exchange = minion.client.call(call)
        request.is_sending = True
        started_s = self._clock()
        try:
            async with exchange as answer:
                if answer.body is None:
                    # A streamed response outlives the deadline once it has begun.
                    request.scope.deadline = float("inf")
                    request.has_response_begun = True
                    await respond(answer)
        except MinionRefusedError as refusal:
            self._pool.refused(minion, refusal.reason, refusal.reported_load)
            raise
        except MinionCallError:
            self._pool.failed(minion)
            raise
        except BaseException:
            request.may_have_run = request.may_have_run or exchange.has_sent
            self._end_cancelled(request, minion, started_s)
            raise
        finally:
            request.is_sending = False
        if answer.status >= SERVER_ERROR:
            self._pool.failed(minion)
        else:
            self._pool.succeeded(minion, answer.reported_load)
        return None if answer.body is None else answer

    def _end_cancelled(self, request: Request, minion: Minion, started_s: float) -> None:
        """Count a late response against the minion only if the class's target was exceeded."""
        if self._clock() - started_s > request.work_class.target_ms / 1000:
            self._pool.failed(minion)
        else:
            self._pool.abandoned(minion)

    # Claims

    async def _run_claimed(
        self, request: Request, ticket: Ticket, respond: Respond
    ) -> MinionResponse | None:
        key = claim_key(request.account, request.idempotency_key)
        digest = request_digest(request.work_class.name, request.body)
        while True:
            if not self._results.begin(key, request.id, digest):
                found = await self._wait_for_own(request, key, digest)
            else:
                holder = await self._claim(request, ticket, key, digest)
                if holder is None:
                    return await self._run_holding(request, ticket, key, respond)
                found = await self._wait_for_holder(request, holder, key, digest)
            if found.state != "not_run":
                return _from_claim_answer(found)

    async def _claim(self, request: Request, ticket: Ticket, key: str, digest: str) -> Claim | None:
        """Claim the key, and return the claim of another request if there is one."""
        claim = Claim(request.id, self._own, digest, time.time_ns() // 1_000_000)
        try:
            self._dispatcher.check(ticket)
            with anyio.fail_after(max(0.0, ticket.start_deadline_s - self._clock())):
                outcome = await self._claims.claim(ClaimRequest(key, claim))
        except BaseException as error:
            self._results.finish(key, request.id, ClaimReply("not_run"))
            if isinstance(error, TimeoutError):
                raise NotRunError(
                    "the claim of the request was not stored in time", "send it again later"
                ) from error
            raise
        if outcome.kind == "claimed":
            return None
        self._results.finish(key, request.id, ClaimReply("not_run"))
        if outcome.holder is None:
            raise NotRunError(
                "the claim store has no room for this key", "send the request again in an hour"
            )
        return outcome.holder

    async def _run_holding(
        self, request: Request, ticket: Ticket, key: str, respond: Respond
    ) -> MinionResponse | None:
        """Run a claimed request, and keep its result or release its claim."""
        answer: MinionResponse | None = None
        result = ClaimReply("unknown")

        async def respond_and_keep(streamed: MinionResponse) -> None:
            nonlocal result
            if streamed.length_bytes <= ANSWER_BYTES_LIMIT:
                streamed.record_body()
            await respond(streamed)
            body = streamed.recorded_body()
            if body is not None:
                result = _to_claim_answer(streamed, body)

        try:
            answer = await self._run_in_slot(request, ticket, respond_and_keep)
            if answer is not None:
                result = _to_claim_answer(answer, answer.body or b"")
        except BaseException:
            if not request.may_have_run:
                with anyio.CancelScope(shield=True):
                    await self._claims.release(key, request.id)
                result = ClaimReply("not_run")
            raise
        finally:
            self._results.finish(key, request.id, result)
        return answer

    async def _wait_for_own(self, request: Request, key: str, digest: str) -> ClaimReply:
        if self._results.digest_of(key) != digest:
            raise _key_reused()

        async def look() -> ClaimReply:
            return self._results.find(key, digest)

        return await self._poll(request, look)

    async def _wait_for_holder(
        self, request: Request, holder: Claim, key: str, digest: str
    ) -> ClaimReply:
        if holder.digest != digest:
            raise _key_reused()
        ask = self._view.query_claim

        async def look() -> ClaimReply:
            if holder.owner == self._own or ask is None:
                return self._results.find(key, digest)
            return await ask(holder.owner, ClaimQuery(key, digest)) or ClaimReply("unknown")

        return await self._poll(request, look)

    async def _poll(
        self, request: Request, look: Callable[[], Awaitable[ClaimReply]]
    ) -> ClaimReply:
        """Ask for the result of another copy until it has ended."""
        request.waits_for_copy = True
        pause_s = DUPLICATE_POLL_FIRST_S
        while True:
            answer = await look()
            if answer.state != "running" or self._clock() >= request.deadline_s:
                return answer
            await anyio.sleep(pause_s)
            pause_s = min(DUPLICATE_POLL_LONGEST_S, pause_s * 2)


def make_request_ids(own: str) -> Iterator[tuple[int, str]]:
    """Return numbers and identifiers of requests, unique over restarts and entries."""
    prefix = f"{own}-{secrets.token_hex(6)}"
    for number in count(1):
        yield number, f"{prefix}-{number:x}"


def _to_error(request: Request, failure: MinionRefusedError | MinionCallError) -> FoxtailwellError:
    if request.may_have_run:
        return OutcomeUnknownError(
            f"the minion gave no usable response: {failure}",
            "repeat the request if running it twice does no harm",
        )
    return NotRunError(f"no minion ran the request: {failure}", "send the request again")


def _key_reused() -> KeyReusedError:
    return KeyReusedError(
        "the idempotency key belongs to another request", "use a new key for a new request"
    )


def _to_claim_answer(answer: MinionResponse, body: bytes) -> ClaimReply:
    headers = tuple((n.decode("latin-1"), v.decode("latin-1")) for n, v in answer.headers)
    return ClaimReply("answer", answer.status, headers, body)


def _from_claim_answer(found: ClaimReply) -> MinionResponse:
    if found.state != "answer":
        raise OutcomeUnknownError(
            "another copy of the request was sent and its response is not known",
            "look up the effect of the request before sending it under a new key",
        )
    headers = tuple((n.encode("latin-1"), v.encode("latin-1")) for n, v in found.headers)
    answer = MinionResponse(found.status, headers, len(found.body), None)
    answer.body = found.body
    return answer
