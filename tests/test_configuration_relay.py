"""Property test of the relay of configurations and freshness evidence between daemons.

Messages are delayed, lost, reordered and repeated, daemons restart, and every daemon has a clock of
its own. No schedule may revert a configuration or make evidence look fresher than it is.
"""

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
    handle_peer_reply,
    make_fleet_state,
    make_reply,
)
from foxtailwell.fleet._store_watch import handle_watch_result

DAEMONS = 2
DAEMON = st.integers(0, DAEMONS - 1)
INDEX = st.integers(0, 1000)
TIME_STEPS_S = (1 / 1024, 0.5, 1.0, 2.875, 10.0)
"""Binary fractions, so that differences of clock readings are exact."""

DOCUMENT_FORMS = ("plain",) * 6 + ("newer schema", "damaged")


@dataclass
class Daemon:
    """One daemon, whose monotonic clock has its own offset."""

    clock_offset_s: float
    state: FleetState = field(default_factory=lambda: make_fleet_state(FleetView()))
    incarnation: int = 0
    after_revision: int = 0
    watch_sent_s: float | None = None
    has_watch_result: bool = False
    highest_revision: int = 0


@dataclass(frozen=True)
class Message:
    """A request of a daemon in transit, or the response to it.

    Attributes:
        receiver: Daemon that sent the request and receives the response.
        incarnation: Incarnation of that daemon; a later one ignores the response.
        sent_s: When the request was sent, by that daemon's clock.
        content: Target daemon of the request, or the response.
    """

    receiver: int
    incarnation: int
    sent_s: float
    content: object


class ConfigurationRelay(RuleBasedStateMachine):
    """Daemons, one store, and messages that arrive late, out of order or never."""

    def __init__(self):
        super().__init__()
        self.now_s = 1000.0
        self.revisions = [(0.0, 0)]
        self.store_revision = 1
        self.document = None
        self.daemons = [Daemon(clock_offset_s=8192.0 * i) for i in range(DAEMONS)]
        self.watch_results = []
        self.heartbeats = []
        self.replies = []
        self.pushes = []

    def clock(self, index):
        """Return the current time by a daemon's clock."""
        return self.now_s + self.daemons[index].clock_offset_s

    @rule(seconds=st.sampled_from(TIME_STEPS_S))
    def advance_time(self, seconds):
        """Advance all clocks."""
        self.now_s += seconds

    @rule(form=st.sampled_from(DOCUMENT_FORMS))
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
        """Send a watch unless the daemon already has one open."""
        daemon = self.daemons[index]
        if daemon.watch_sent_s is None:
            daemon.watch_sent_s = self.clock(index)

    @rule(index=DAEMON)
    def complete_watch(self, index):
        """Complete an open watch with the current content of the store."""
        daemon = self.daemons[index]
        if daemon.watch_sent_s is None or daemon.has_watch_result:
            return
        is_changed = self.store_revision > daemon.after_revision and self.document is not None
        changes = (Versioned("config", 1, self.document, ""),) if is_changed else ()
        result = WatchResult(self.store_revision, changes)
        self.watch_results.append(Message(index, daemon.incarnation, daemon.watch_sent_s, result))
        daemon.has_watch_result = True

    @precondition(lambda self: self.watch_results)
    @rule(pick=INDEX, is_lost=st.booleans())
    def deliver_watch_result(self, pick, is_lost):
        """Deliver or lose a watch result, in any order among daemons."""
        message = self.watch_results.pop(pick % len(self.watch_results))
        daemon = self.daemons[message.receiver]
        if message.incarnation != daemon.incarnation:
            return
        daemon.watch_sent_s, daemon.has_watch_result = None, False
        if not is_lost:
            daemon.after_revision = handle_watch_result(
                daemon.state,
                message.content,
                daemon.after_revision,
                message.sent_s,
                self.clock(message.receiver),
            )

    @rule(sender=DAEMON, peer=DAEMON)
    def send_heartbeat(self, sender, peer):
        """Send a heartbeat to a peer."""
        daemon = self.daemons[sender]
        heartbeat = Message(sender, daemon.incarnation, self.clock(sender), peer)
        self.heartbeats.append(heartbeat)

    @precondition(lambda self: self.heartbeats)
    @rule(pick=INDEX)
    def reply_to_heartbeat(self, pick):
        """Reply to a heartbeat with the peer's current evidence."""
        heartbeat = self.heartbeats.pop(pick % len(self.heartbeats))
        peer = self.daemons[heartbeat.content]
        reply = make_reply(peer.state.view, self.clock(heartbeat.content))
        self.replies.append(replace(heartbeat, content=reply))

    @precondition(lambda self: self.replies)
    @rule(pick=INDEX)
    def deliver_heartbeat_reply(self, pick):
        """Deliver a heartbeat reply, however late."""
        reply = self.replies.pop(pick % len(self.replies))
        daemon = self.daemons[reply.receiver]
        if reply.incarnation == daemon.incarnation:
            record = InstanceRecord("peer/entry", "entry", "a", "")
            now_s = self.clock(reply.receiver)
            handle_peer_reply(daemon.state, record, reply.content, reply.sent_s, now_s)

    @rule(index=DAEMON, seconds=st.sampled_from(TIME_STEPS_S))
    def poll_store_across_a_change(self, index, seconds):
        """Deliver a watch result after the store has accepted another change."""
        if self.daemons[index].watch_sent_s is None:
            self.send_watch(index)
            self.complete_watch(index)
            self.change_configuration("plain")
            self.advance_time(seconds)
            self.deliver_watch_result(len(self.watch_results) - 1, False)

    @rule(index=DAEMON)
    def poll_store(self, index):
        """Send a watch, complete it and deliver the result without delay."""
        if self.daemons[index].watch_sent_s is None:
            self.send_watch(index)
            self.complete_watch(index)
            self.deliver_watch_result(len(self.watch_results) - 1, False)

    @rule(sender=DAEMON, peer=DAEMON)
    def exchange_heartbeat(self, sender, peer):
        """Send a heartbeat and deliver its reply without delay."""
        self.send_heartbeat(sender, peer)
        self.reply_to_heartbeat(len(self.heartbeats) - 1)
        self.deliver_heartbeat_reply(len(self.replies) - 1)

    @rule(sender=DAEMON)
    def push_configuration(self, sender):
        """Push the configuration in force."""
        self.pushes.append(self.daemons[sender].state.document)

    @precondition(lambda self: self.pushes)
    @rule(pick=INDEX, receiver=DAEMON)
    def deliver_push(self, pick, receiver):
        """Deliver a configuration to any daemon; copies may arrive again later."""
        document = self.pushes[pick % len(self.pushes)]
        adopt_document(self.daemons[receiver].state, document, "peer")

    @rule(index=DAEMON)
    def restart(self, index):
        """Restart a daemon: its state is lost and its clock changes."""
        old = self.daemons[index]
        self.daemons[index] = Daemon(old.clock_offset_s + 64.0, incarnation=old.incarnation + 1)

    @invariant()
    def revision_in_force_never_decreases(self):
        """Guards against a late message that reverts the configuration to an older one."""
        for daemon in self.daemons:
            revision = daemon.state.view.configuration.revision
            assert revision >= daemon.highest_revision
            daemon.highest_revision = revision

    @invariant()
    def evidence_never_looks_fresher_than_it_is(self):
        """Guards against a start more than 3 s after the store accepted a zone-out."""
        for daemon in self.daemons:
            evidence = daemon.state.view.evidence
            if evidence is None:
                continue
            at_s = evidence.at_monotonic_s - daemon.clock_offset_s
            assert at_s <= self.now_s
            stored = max(r for since_s, r in self.revisions if since_s < at_s)
            assert stored <= evidence.revision <= daemon.state.view.configuration.revision


TestConfigurationRelay = ConfigurationRelay.TestCase
TestConfigurationRelay.settings = settings(max_examples=250, stateful_step_count=50)
