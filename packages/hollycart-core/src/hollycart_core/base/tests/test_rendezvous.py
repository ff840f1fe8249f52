from hypothesis import given
from hypothesis import strategies as st

from hollycart_core import base

_MEMBERS = st.sets(st.text(min_size=1, max_size=5), min_size=2, max_size=12)


@given(key=st.text(max_size=8), members=_MEMBERS)
def test_removing_a_member_moves_only_its_keys(key, members):
    order = base.rendezvous_rank(key, members)
    for removed in members:
        remaining = base.rendezvous_rank(key, members - {removed})
        assert remaining == [m for m in order if m != removed]


def test_keys_spread_over_members():
    members = [f"i{n}" for n in range(6)]
    owners = [base.rendezvous_rank(f"key{n}", members)[0] for n in range(600)]
    assert min(owners.count(m) for m in members) > 60
