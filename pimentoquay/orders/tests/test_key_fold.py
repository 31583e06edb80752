from hypothesis import given
from hypothesis import strategies as st

from pimentoquay.kernel import ResultCode, is_not_run
from pimentoquay.membership.tests.conftest import vm_member
from pimentoquay.messages.cluster import ClusterView
from pimentoquay.messages.orders import KeyBatch, KeyClaimRecord, KeyOutcomeRecord
from pimentoquay.orders import owner_vm_of_key
from pimentoquay.orders.key_fold import KeyFold

KEY = b"k"
CODES = (ResultCode.OK, ResultCode.NO_BACKEND, ResultCode.OUTCOME_UNKNOWN)


def batch(outcomes=(), claims=()):
    return KeyBatch(
        "vm",
        1,
        1,
        tuple(KeyOutcomeRecord(KEY, claim, code) for claim, code in outcomes),
        tuple(KeyClaimRecord(KEY, claim) for claim in claims),
    )


claim_ids = st.sampled_from("abc")
batches = st.lists(
    st.tuples(
        st.lists(st.tuples(claim_ids, st.sampled_from(CODES)), max_size=2),
        st.lists(claim_ids, max_size=2),
    ),
    max_size=12,
)


@given(batches)
def test_a_key_gets_a_new_holder_only_after_a_not_run_outcome(history):
    fold = KeyFold(1e9, 60)
    holder = None
    for outcomes, claims in history:
        fold.apply(batch(outcomes, claims), 0.0)
        for claim, code in outcomes:
            if claim == holder and is_not_run(code):
                holder = None
        for claim in claims:
            holder = holder or claim
        held = fold.holder_of(KEY)
        assert (held.claim_id if held else None) == holder


def test_the_answer_follows_from_the_outcome_of_the_holder():
    fold = KeyFold(100, 60)
    assert fold.code_for(KEY, "b", 0) is None
    fold.apply(batch(claims=("a",)), 0.0)
    assert fold.code_for(KEY, "a", 1) is ResultCode.OK
    assert fold.code_for(KEY, "b", 1) is ResultCode.KEY_IN_USE
    assert fold.code_for(KEY, "b", 61) is ResultCode.OUTCOME_UNKNOWN
    fold.apply(batch(outcomes=(("a", ResultCode.OK),)), 0.0)
    assert fold.code_for(KEY, "b", 61) is ResultCode.KEY_ALREADY_RUN
    fold.expire_old(101)
    assert len(fold) == 0


def view(live, reachable):
    members = [vm_member(f"{dc}{n}", dc) for dc in ("a", "b", "c") for n in (1, 2, 3)]
    return ClusterView(1, tuple(members), tuple(live), tuple(reachable))


def test_owner_is_in_a_reachable_data_centre_and_live():
    live = [f"{dc}{n}" for dc in ("a", "b", "c") for n in (1, 2, 3)]
    everywhere = [owner_vm_of_key(view(live, "abc"), (), "w", f"k{n}") for n in range(200)]
    assert {owner[0] for owner in everywhere} == {"a", "b", "c"}
    cut = [owner_vm_of_key(view(live, "bc"), (), "w", f"k{n}") for n in range(200)]
    for before, after in zip(everywhere, cut, strict=True):
        assert after == before if before[0] != "a" else after[0] in "bc"
    assert owner_vm_of_key(view([], "abc"), (), "w", "k") == ""
