"""Relay of the configuration and freshness evidence under delay, loss, reordering and restarts."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from foxtailwell.adapters.documents import encode_document
from foxtailwell.adapters.store import Versioned, WatchResult
from foxtailwell.core import Configuration, InstanceRecord
from foxtailwell.fleet import FleetView
from foxtailwell.fleet._state import (
    FleetState,
    adopt_document,
    make_fleet_state,
    make_reply,
    note_peer_reply,
)
from foxtailwell.fleet._store_watch import take_result

DAEMONS = 2
DAEMON = st.integers(0, DAEMONS - 1)
INDEX = st.integers(0, 1000)
STEPS_S = (1 / 1024, 0.5, 1.0, 2.875, 10.0)
"""Times are binary fractions, so that differences of clocks are exact."""

FORMS = ("plain",) * 6 + ("newer schema", "damaged")


@dataclass
class Daemon:
    """One daemon; its monotonic clock has an offset of its own."""

    offset_s: float
    state: FleetState = field(default_factory=lambda: make_fleet_state(FleetView()))
    incarnation: int = 0
    after_revision: int = 0
    watch_sent_s: float | None = None
    watch_is_answered: bool = False
    highest_revision: int = 0


@dataclass(frozen=True)
class Reply:
    """A message on its way to a daemon."""

    receiver: int
    incarnation: int
    sent_s: float
    content: object


class ConfigurationRelay(RuleBasedStateMachine):
    """Daemons, one store, and messages that arrive late, out of order or not at all."""

    def __init__(self):
        super().__init__()
        self.now_s = 1000.0
        self.revisions = [(0.0, 0)]
        self.store_revision = 1
        self.document = None
        self.daemons = [Daemon(offset_s=8192.0 * i) for i in range(DAEMONS)]
        self.watch_answers = []
        self.questions = []
        self.replies = []
        self.pushes = []

    def clock(self, index):
        """Return the time by the own clock of a daemon."""
        return self.now_s + self.daemons[index].offset_s

    @rule(seconds=st.sampled_from(STEPS_S))
    def let_time_pass(self, seconds):
        """Advance all clocks."""
        self.now_s += seconds

    @rule(form=st.sampled_from(FORMS))
    def change_configuration(self, form):
        """Store the next revision, in a form that daemons may not be able to read."""
        revision = self.revisions[-1][1] + 1
        configuration = Configuration(revision=revision)
        if form == "newer schema":
            configuration = replace(configuration, schema_version=99)
        self.document = "{" if form == "damaged" else encode_document(configuration)
        self.revisions.append((self.now_s, revision))
        self.store_revision += 1

    @rule(index=DAEMON)
    def send_watch(self, index):
        """Send a watch, one at a time for each daemon."""
        daemon = self.daemons[index]
        if daemon.watch_sent_s is None:
            daemon.watch_sent_s = self.clock(index)

    @rule(index=DAEMON)
    def answer_watch(self, index):
        """Let the store answer with what it holds at this moment."""
        daemon = self.daemons[index]
        if daemon.watch_sent_s is None or daemon.watch_is_answered:
            return
        is_changed = self.store_revision > daemon.after_revision and self.document is not None
        changes = (Versioned("config", 1, self.document, ""),) if is_changed else ()
        answer = WatchResult(self.store_revision, changes)
        self.watch_answers.append(Reply(index, daemon.incarnation, daemon.watch_sent_s, answer))
        daemon.watch_is_answered = True

    @precondition(lambda self: self.watch_answers)
    @rule(pick=INDEX, is_lost=st.booleans())
    def deliver_watch_answer(self, pick, is_lost):
        """Deliver or lose an answer, in any order among daemons."""
        reply = self.watch_answers.pop(pick % len(self.watch_answers))
        daemon = self.daemons[reply.receiver]
        if reply.incarnation != daemon.incarnation:
            return
        daemon.watch_sent_s, daemon.watch_is_answered = None, False
        if not is_lost:
            daemon.after_revision = take_result(
                daemon.state,
                reply.content,
                daemon.after_revision,
                reply.sent_s,
                self.clock(reply.receiver),
            )

    @rule(asker=DAEMON, asked=DAEMON)
    def send_heartbeat(self, asker, asked):
        """Send a question to a peer."""
        daemon = self.daemons[asker]
        question = Reply(asker, daemon.incarnation, self.clock(asker), asked)
        self.questions.append(question)

    @precondition(lambda self: self.questions)
    @rule(pick=INDEX)
    def reply_to_heartbeat(self, pick):
        """Let a peer reply with its evidence of this moment."""
        question = self.questions.pop(pick % len(self.questions))
        asked = self.daemons[question.content]
        reply = make_reply(asked.state.view, self.clock(question.content))
        self.replies.append(replace(question, content=reply))

    @precondition(lambda self: self.replies)
    @rule(pick=INDEX)
    def deliver_heartbeat_reply(self, pick):
        """Deliver a reply, however late."""
        reply = self.replies.pop(pick % len(self.replies))
        daemon = self.daemons[reply.receiver]
        if reply.incarnation == daemon.incarnation:
            record = InstanceRecord("peer/entry", "entry", "a", "")
            now_s = self.clock(reply.receiver)
            note_peer_reply(daemon.state, record, reply.content, reply.sent_s, now_s)

    @rule(index=DAEMON, seconds=st.sampled_from(STEPS_S))
    def poll_store_across_a_change(self, index, seconds):
        """Deliver an answer after the store has accepted another change."""
        if self.daemons[index].watch_sent_s is None:
            self.send_watch(index)
            self.answer_watch(index)
            self.change_configuration("plain")
            self.let_time_pass(seconds)
            self.deliver_watch_answer(len(self.watch_answers) - 1, False)

    @rule(index=DAEMON)
    def poll_store(self, index):
        """Send a watch, answer and deliver it without delay."""
        if self.daemons[index].watch_sent_s is None:
            self.send_watch(index)
            self.answer_watch(index)
            self.deliver_watch_answer(len(self.watch_answers) - 1, False)

    @rule(asker=DAEMON, asked=DAEMON)
    def exchange_heartbeat(self, asker, asked):
        """Send a question and deliver its reply without delay."""
        self.send_heartbeat(asker, asked)
        self.reply_to_heartbeat(len(self.questions) - 1)
        self.deliver_heartbeat_reply(len(self.replies) - 1)

    @rule(sender=DAEMON)
    def push_configuration(self, sender):
        """Send the configuration in force."""
        self.pushes.append(self.daemons[sender].state.document)

    @precondition(lambda self: self.pushes)
    @rule(pick=INDEX, receiver=DAEMON)
    def deliver_push(self, pick, receiver):
        """Deliver a configuration to any daemon; copies may arrive again later."""
        document = self.pushes[pick % len(self.pushes)]
        adopt_document(self.daemons[receiver].state, document, "peer")

    @rule(index=DAEMON)
    def restart(self, index):
        """Start a daemon without memory and with another clock."""
        old = self.daemons[index]
        self.daemons[index] = Daemon(old.offset_s + 64.0, incarnation=old.incarnation + 1)

    @invariant()
    def revision_in_force_never_falls(self):
        """Guards against a late answer that puts an older configuration back into force."""
        for daemon in self.daemons:
            revision = daemon.state.view.configuration.revision
            assert revision >= daemon.highest_revision
            daemon.highest_revision = revision

    @invariant()
    def evidence_never_looks_fresher_than_it_is(self):
        """Guards against a start after a zone-out that the store held longer ago than 3 s."""
        for daemon in self.daemons:
            evidence = daemon.state.view.evidence
            if evidence is None:
                continue
            at_s = evidence.at_monotonic_s - daemon.offset_s
            assert at_s <= self.now_s
            held = max(r for since_s, r in self.revisions if since_s < at_s)
            assert held <= evidence.revision <= daemon.state.view.configuration.revision


TestConfigurationRelay = ConfigurationRelay.TestCase
TestConfigurationRelay.settings = settings(max_examples=250, stateful_step_count=50)
