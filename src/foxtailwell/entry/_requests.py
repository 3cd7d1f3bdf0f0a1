"""Runs requests: waits for a slot, sends each request to minions with retries, and responds.

A request that is not idempotent is sent only after its key is claimed in the store. A duplicate of
a claimed request is not sent but gets the response of the request that has the claim.
"""

from __future__ import annotations

import secrets
import time
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from itertools import count

import anyio

from foxtailwell.adapters.events import REQUEST_REFUSED_AS_SUSPECT, RESPONSE_BROKEN
from foxtailwell.adapters.logs import log_event
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
from foxtailwell.entry._claim_results import MAX_STORED_RESPONSE_BYTES, ClaimResults
from foxtailwell.entry._claim_writer import ClaimWriter
from foxtailwell.entry._dispatch import Dispatcher, RefusedError
from foxtailwell.entry._minion_pool import Minion, MinionPool
from foxtailwell.fleet import FleetView

__all__ = ["Request", "RequestRunner", "Respond", "make_request_ids"]

DUPLICATE_POLL_MIN_S = 0.01
DUPLICATE_POLL_MAX_S = 0.5
MIN_SERVER_ERROR_STATUS = 500

Respond = Callable[[MinionResponse], Awaitable[None]]


@dataclass(slots=True)
class Request:
    """One request of a caller. All times are readings of the entry's clock.

    Attributes:
        id: Identifier, unique across entries and restarts.
        number: Number of the request, unique within this process.
        account: Client account.
        work_class: Class of the request.
        idempotency_key: Key that the caller repeats when it sends the request again.
        headers: Headers for the minion.
        body: Request body.
        arrived_s: Time of arrival.
        deadline_s: Time at which the request is cancelled unless the response has begun.
        cancel_scope: Cancelled when the caller disconnects or the deadline passes.
        may_have_run: Whether an attempt may have run.
        is_duplicate: Whether it has waited for the response of another request with its key, which
            may have run.
        is_sending: Whether an attempt is in flight.
        has_response_begun: Whether the response to the caller has begun.
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
    cancel_scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    may_have_run: bool = False
    is_duplicate: bool = False
    is_sending: bool = False
    has_response_begun: bool = False

    def may_cancel(self) -> bool:
        """Return whether the request may be cancelled after its caller disconnected.

        A request that is not idempotent runs to its end once it was sent, so that a retry by the
        caller gets the response.
        """
        return self.work_class.idempotent or not (self.is_sending or self.may_have_run)


class RequestRunner:
    """Runs requests with the queue, the minions and the claims of this entry.

    Args:
        view: Fleet view, for claim queries to other entries and the evidence against requests.
        own_id: Identifier of this entry, stored as the owner of its claims.
        dispatcher: Assigns slots.
        pool: Chooses minions.
        claims: Claims and releases idempotency keys.
        results: Results of the requests that this entry claimed.
        clock: Monotonic clock in seconds.
    """

    def __init__(
        self,
        view: FleetView,
        own_id: str,
        dispatcher: Dispatcher,
        pool: MinionPool,
        claims: ClaimWriter,
        results: ClaimResults,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._own_id = own_id
        self._dispatcher = dispatcher
        self._pool = pool
        self._claims = claims
        self._results = results
        self._clock = clock
        self._retry_budget = RetryBudget()
        self._suspects = view.suspects

    async def run(self, request: Request, respond: Respond) -> None:
        """Run a request and respond to its caller.

        Args:
            request: The request.
            respond: Sends the response to the caller; called at most once.

        Raises:
            NotRunError: The request did not run, or it is refused because minions that run it break
                their connections.
            KeyReusedError: The key belongs to a request with other content; nothing ran.
            OutcomeUnknownError: The request may have run, or a streamed response broke off.
            UnavailableError: The claim could not be stored; the request did not run.
        """
        self._retry_budget = deposit_for_request(self._retry_budget)
        ticket = self._make_ticket(request)
        if request.work_class.idempotent:
            response = await self._run_in_slot(request, ticket, respond)
        else:
            response = await self._run_once(request, ticket, respond)
        if response is not None:
            await respond(response)

    def _check_suspects(self, request: Request) -> None:
        refusal_s = self._refusal_s(request)
        if refusal_s > 0:
            raise NotRunError(
                "several minions broke the connection soon after they got this request",
                f"send it again after {refusal_s:.0f} s, or with other content",
                retry_after_s=refusal_s,
            )

    def _refusal_s(self, request: Request) -> float:
        now_s = self._clock()
        self._suspects.drop_expired(now_s)
        if self._suspects.is_empty:
            return 0.0
        return self._suspects.refusal_s(_digest(request), now_s)

    def _make_ticket(self, request: Request) -> Ticket:
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
        self._check_suspects(request)
        await self._dispatcher.acquire(ticket)
        started_s = self._clock()
        run_s: float | None = None
        try:
            response = await self._attempt_until_done(request, respond)
            run_s = self._clock() - started_s
        finally:
            self._dispatcher.release(ticket, run_s)
        return response

    async def _attempt_until_done(
        self, request: Request, respond: Respond
    ) -> MinionResponse | None:
        """Send a request to minions until one responds or no retry is allowed.

        Returns:
            The response, or None if it was streamed to the caller.
        """
        avoid: frozenset[str] = frozenset()
        avoid_zone = ""
        for attempts in count(1):
            minion = self._pick(request, avoid, avoid_zone)
            started_s = self._clock()
            try:
                response = await self._attempt(request, minion, attempts, respond)
            except (MinionRefusedError, MinionCallError) as error:
                failure: MinionRefusedError | MinionCallError = error
                response = None
            else:
                if not self._suspects.is_empty:
                    self._suspects.record_success(_digest(request), self._clock())
                if response is None or response.status < MIN_SERVER_ERROR_STATUS:
                    return response
                failure = MinionCallError(f"status {response.status}", may_have_run=True)
            may_have_run = isinstance(failure, MinionCallError) and failure.may_have_run
            if isinstance(failure, MinionCallError) and failure.is_connection_lost:
                self._record_loss(request, minion, started_s)
            request.may_have_run = request.may_have_run or may_have_run
            if request.has_response_begun:
                log_event(
                    RESPONSE_BROKEN,
                    request=request.id,
                    work_class=request.work_class.name,
                    minion=minion.record.id,
                    cause=str(failure),
                )
                raise _to_error(request, failure)
            if not self._may_retry(request, attempts, may_have_run):
                if response is not None:
                    return response
                raise _to_error(request, failure)
            self._retry_budget = withdraw_for_retry(self._retry_budget)
            avoid |= {minion.record.id}
            avoid_zone = minion.record.zone if may_have_run else ""
        raise AssertionError("unreachable")

    def _record_loss(self, request: Request, minion: Minion, started_s: float) -> None:
        now_s = self._clock()
        digest = _digest(request)
        self._suspects.record_loss(digest, minion.record.id, ran_s=now_s - started_s, now_s=now_s)
        if self._suspects.refusal_s(digest, now_s) > 0:
            log_event(
                REQUEST_REFUSED_AS_SUSPECT,
                request=request.id,
                account=request.account,
                work_class=request.work_class.name,
                minion=minion.record.id,
            )

    def _may_retry(self, request: Request, attempts: int, may_have_run: bool) -> bool:
        if self._refusal_s(request) > 0:
            return False
        return may_retry(
            self._retry_budget,
            is_idempotent=request.work_class.idempotent,
            may_have_run=may_have_run,
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
            async with exchange as response:
                if response.body is None:
                    # The deadline does not apply to a streamed response that has begun.
                    request.cancel_scope.deadline = float("inf")
                    request.has_response_begun = True
                    await respond(response)
        except MinionRefusedError as refusal:
            self._pool.on_refusal(minion, refusal.reason, refusal.reported_load)
            raise
        except MinionCallError:
            self._pool.on_failure(minion)
            raise
        except BaseException:
            request.may_have_run = request.may_have_run or exchange.has_sent
            self._on_attempt_cancelled(request, minion, started_s)
            raise
        finally:
            request.is_sending = False
        if response.status >= MIN_SERVER_ERROR_STATUS:
            self._pool.on_failure(minion)
        else:
            self._pool.on_success(minion, response.reported_load)
        return None if response.body is None else response

    def _on_attempt_cancelled(self, request: Request, minion: Minion, started_s: float) -> None:
        """Record a cancelled attempt at its minion.

        It counts as a failure of the minion only if it took longer than the target of the class;
        otherwise the caller disconnected or set a short deadline.
        """
        if self._clock() - started_s > request.work_class.target_ms / 1000:
            self._pool.on_failure(minion)
        else:
            self._pool.on_cancellation(minion)

    # Claims

    async def _run_once(
        self, request: Request, ticket: Ticket, respond: Respond
    ) -> MinionResponse | None:
        key = claim_key(request.account, request.idempotency_key)
        digest = _digest(request)
        while True:
            if not self._results.begin(key, request.id, digest):
                reply = await self._wait_for_local_request(request, key, digest)
            else:
                holder = await self._claim(request, ticket, key, digest)
                if holder is None:
                    return await self._run_with_claim(request, ticket, key, respond)
                reply = await self._wait_for_claim_holder(request, holder, key, digest)
            if reply.state != "not_run":
                return _from_claim_reply(reply)

    async def _claim(self, request: Request, ticket: Ticket, key: str, digest: str) -> Claim | None:
        """Claim the key, and return None; or return the claim if another request has the key."""
        claim = Claim(request.id, self._own_id, digest, time.time_ns() // 1_000_000)
        try:
            self._dispatcher.check_admission(ticket)
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

    async def _run_with_claim(
        self, request: Request, ticket: Ticket, key: str, respond: Respond
    ) -> MinionResponse | None:
        """Run a claimed request, then record its result, or release its claim if it did not run."""
        response: MinionResponse | None = None
        result = ClaimReply("unknown")

        async def respond_and_record(streamed: MinionResponse) -> None:
            nonlocal result
            if streamed.length_bytes <= MAX_STORED_RESPONSE_BYTES:
                streamed.record_body()
            await respond(streamed)
            body = streamed.recorded_body()
            if body is not None:
                result = _to_claim_reply(streamed, body)

        try:
            response = await self._run_in_slot(request, ticket, respond_and_record)
            if response is not None:
                result = _to_claim_reply(response, response.body or b"")
        except BaseException:
            if not request.may_have_run:
                with anyio.CancelScope(shield=True):
                    await self._claims.release(key, request.id)
                result = ClaimReply("not_run")
            raise
        finally:
            self._results.finish(key, request.id, result)
        return response

    async def _wait_for_local_request(self, request: Request, key: str, digest: str) -> ClaimReply:
        if self._results.digest_of(key) != digest:
            raise _key_reused_error()

        async def query_result() -> ClaimReply:
            return self._results.find(key, digest)

        return await self._poll_result(request, query_result)

    async def _wait_for_claim_holder(
        self, request: Request, holder: Claim, key: str, digest: str
    ) -> ClaimReply:
        if holder.digest != digest:
            raise _key_reused_error()
        query_claim = self._view.query_claim

        async def query_result() -> ClaimReply:
            if holder.owner == self._own_id or query_claim is None:
                return self._results.find(key, digest)
            return await query_claim(holder.owner, ClaimQuery(key, digest)) or ClaimReply("unknown")

        return await self._poll_result(request, query_result)

    async def _poll_result(
        self, request: Request, query_result: Callable[[], Awaitable[ClaimReply]]
    ) -> ClaimReply:
        """Poll the request that has the key until it ends or the deadline passes."""
        request.is_duplicate = True
        interval_s = DUPLICATE_POLL_MIN_S
        while True:
            reply = await query_result()
            if reply.state != "running" or self._clock() >= request.deadline_s:
                return reply
            await anyio.sleep(interval_s)
            interval_s = min(DUPLICATE_POLL_MAX_S, interval_s * 2)


def make_request_ids(instance: str) -> Iterator[tuple[int, str]]:
    """Generate a number and an identifier for each request.

    The identifiers contain a random part and are unique across entries and restarts. The numbers
    are unique within the process.
    """
    prefix = f"{instance}-{secrets.token_hex(6)}"
    for number in count(1):
        yield number, f"{prefix}-{number:x}"


def _digest(request: Request) -> str:
    return request_digest(request.work_class.name, request.body)


def _to_error(request: Request, failure: MinionRefusedError | MinionCallError) -> FoxtailwellError:
    if request.may_have_run:
        return OutcomeUnknownError(
            f"the minion gave no usable response: {failure}",
            "repeat the request if running it twice does no harm",
        )
    return NotRunError(f"no minion ran the request: {failure}", "send the request again")


def _key_reused_error() -> KeyReusedError:
    return KeyReusedError(
        "the idempotency key belongs to another request", "use a new key for a new request"
    )


def _to_claim_reply(response: MinionResponse, body: bytes) -> ClaimReply:
    headers = tuple((n.decode("latin-1"), v.decode("latin-1")) for n, v in response.headers)
    return ClaimReply("answer", response.status, headers, body)


def _from_claim_reply(reply: ClaimReply) -> MinionResponse:
    if reply.state != "answer":
        raise OutcomeUnknownError(
            "another copy of the request was sent and its response is not known",
            "look up the effect of the request before sending it under a new key",
        )
    headers = tuple((n.encode("latin-1"), v.encode("latin-1")) for n, v in reply.headers)
    response = MinionResponse(reply.status, headers, len(reply.body), None)
    response.body = reply.body
    return response
