"""Changes of the configuration and the audit trail."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from foxtailwell.adapters.documents import decode_document, encode_document
from foxtailwell.core import (
    Change,
    ChangeRecord,
    ClientAccount,
    Configuration,
    DeleteAccount,
    DeleteClass,
    KnownFleet,
    MarkInstanceLeaving,
    ReturnInstance,
    ReturnZone,
    SetAccount,
    SetClass,
    SetGuarantees,
    SetSurviveZoneLoss,
    Shape,
    TakeZoneOut,
    WorkClass,
    apply_change,
    audit_document_number,
    split_changes,
    validate_configuration,
)
from foxtailwell.core.errors import ConflictError, ValidationError

FLEET = KnownFleet(frozenset({"a", "b"}), frozenset({"i-1", "i-2/entry"}), slots=100)
NAMES = st.sampled_from(["a", "b", "i-1", "", "x y", "é"])
COUNTS = st.integers(-1, 60)
SHAPES = st.lists(st.builds(Shape, COUNTS, COUNTS), max_size=3).map(tuple)
OPERATIONS = st.one_of(
    st.builds(
        SetClass,
        st.builds(
            WorkClass, NAMES, st.sampled_from(["request", "job"]), COUNTS, COUNTS, st.booleans()
        ),
    ),
    st.builds(SetAccount, st.builds(ClientAccount, NAMES, SHAPES, COUNTS, COUNTS)),
    st.builds(SetGuarantees, NAMES, SHAPES),
    *(
        st.builds(kind, NAMES)
        for kind in (DeleteClass, DeleteAccount, ReturnZone, ReturnInstance, MarkInstanceLeaving)
    ),
    st.builds(TakeZoneOut, NAMES, st.text(max_size=300)),
    st.builds(SetSurviveZoneLoss, st.booleans()),
)


def change(configuration, operation, *, fits=True, actor="ann", expected=None, fleet=FLEET):
    revision = configuration.revision if expected is None else expected
    return apply_change(
        configuration,
        Change(revision, actor, operation),
        now_unix_ms=5,
        fleet=fleet,
        check_guarantees=lambda _: () if fits else ("2 shapes of 8 do not fit",),
    )


@given(st.lists(OPERATIONS, max_size=20))
def test_each_accepted_change_is_valid_recorded_and_readable(operations):
    """Guards against a change that makes the document invalid or is missing in the audit trail."""
    configuration = Configuration()
    for operation in operations:
        try:
            after = change(configuration, operation)
        except ValidationError:
            continue
        assert after.revision == configuration.revision + 1
        assert validate_configuration(after) == ()
        assert after.changes[:-1] == configuration.changes
        assert after.changes[-1].revision == after.revision
        assert decode_document(encode_document(after), Configuration) == after
        configuration = after


def test_change_on_another_revision_names_the_one_to_read():
    """Guards against an operator who overwrites a concurrent change without noticing."""
    with pytest.raises(ConflictError) as caught:
        change(Configuration(revision=7), SetSurviveZoneLoss(True), expected=6)
    assert caught.value.current_revision == 7
    assert "7" in caught.value.remedy


def test_misspelt_zone_is_refused_and_a_lost_zone_can_be_named():
    """Guards against a misspelt zone that is accepted while work still starts in the real one."""
    with pytest.raises(ValidationError, match="not in the instance list"):
        change(Configuration(), TakeZoneOut("A"))
    after = change(Configuration(), TakeZoneOut("c", "flood", allow_unlisted=True))
    assert after.zones_out["c"].reason == "flood"
    with pytest.raises(ValidationError, match="already"):
        change(after, TakeZoneOut("c", allow_unlisted=True))
    assert change(after, ReturnZone("c")).zones_out == {}


def test_guarantees_that_cannot_be_packed_are_refused_but_can_be_lowered():
    """Guards against a guarantee that does not fit, and one that cannot be lowered any more."""
    account = ClientAccount("acme", (Shape(8, 3),))
    with pytest.raises(ValidationError, match="do not fit"):
        change(Configuration(), SetAccount(account), fits=False)
    accepted = change(Configuration(), SetAccount(account))
    lowered = change(accepted, SetGuarantees("acme", (Shape(8, 2),)), fits=False)
    assert lowered.accounts["acme"].guarantees == (Shape(8, 2),)
    for operation in (SetGuarantees("acme", (Shape(4, 6),)), SetSurviveZoneLoss(True)):
        with pytest.raises(ValidationError, match="do not fit"):
            change(accepted, operation, fits=False)
    assert change(accepted, TakeZoneOut("a"), fits=False).zones_out


@pytest.mark.parametrize(
    ("account", "path"),
    [
        (ClientAccount("x", (Shape(8, 2),), quota_accelerators=15), "$.accounts.x.guarantees"),
        (ClientAccount("x", (Shape(0),)), "$.accounts.x.guarantees[0].accelerators"),
        (ClientAccount("x", guaranteed_slots=101), "$.value.guaranteed_slots"),
        (ClientAccount("x/y"), "$.subject"),
    ],
)
def test_account_with_contradictory_numbers_is_refused(account, path):
    """Guards against numbers of an account that contradict each other or the fleet."""
    with pytest.raises(ValidationError) as caught:
        change(Configuration(), SetAccount(account))
    assert path in [issue.path for issue in caught.value.issues]


def test_zone_can_be_taken_out_when_minions_were_removed():
    """Guards against a limit on slots that blocks taking a zone out during a loss of capacity."""
    accepted = change(Configuration(), SetAccount(ClientAccount("x", guaranteed_slots=100)))
    assert change(accepted, TakeZoneOut("a"), fleet=replace(FLEET, slots=8)).zones_out


@given(st.integers(0, 700))
def test_no_change_is_lost_when_old_ones_move_to_audit_documents(count):
    """Guards against a gap in the audit trail, and a configuration that grows without limit."""
    configuration, audit = Configuration(), {}
    for revision in range(1, count + 1):
        record = ChangeRecord(revision, 0, "ann", "zone.out", "a", "", "")
        grown = replace(configuration, revision=revision, changes=(*configuration.changes, record))
        document, configuration = split_changes(grown)
        if document is not None:
            assert document.first_revision == document.changes[0].revision
            audit[audit_document_number(document.first_revision)] = document
        assert len(configuration.changes) <= 200
    audited = [c.revision for slot in sorted(audit) for c in audit[slot].changes]
    assert audited + [c.revision for c in configuration.changes] == list(range(1, count + 1))


def test_audit_documents_are_reused_in_turn():
    """Guards against a new key for each block of changes, which the store could never delete."""
    slots = [audit_document_number(first) for first in range(1, 100 * 130, 100)]
    assert set(slots) == set(range(64))
    assert slots[:64] == list(range(64))


def test_largest_configuration_fits_into_the_store():
    """Guards against limits that allow a configuration too large for the store."""
    shapes = tuple(Shape(1000 + i, 1) for i in range(8))
    names = [f"{i:03}".ljust(63, "n") for i in range(500)]
    configuration = Configuration(
        classes={n: WorkClass(n, "request", 10**9, 10**9, False) for n in names[:200]},
        accounts={n: ClientAccount(n, shapes, 10_000, 10_000) for n in names},
        leaving_instances=tuple(f"{i:03}".ljust(127, "n") for i in range(500)),
    )
    accepted = change(configuration, SetAccount(ClientAccount(names[0], shapes)), actor="é" * 200)
    full = replace(accepted, changes=accepted.changes * 200)
    assert len(encode_document(full).encode()) < 1_000_000
