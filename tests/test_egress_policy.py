"""Which addresses a partner may name."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from honeybarrow.addressing.address import Address
from honeybarrow.addressing.egress_policy import EgressPolicy, PartnerNetworks
from honeybarrow.register import ListError, ListUpdate, Partner, PartnerDirectory

OWNED = PartnerNetworks({1: ("10.1.0.0/16", "2001:db8:1::/48"), 2: ("10.2.0.0/16", "10.1.9.0/24"), 3: ()})
RULES = EgressPolicy(("10.0.0.0/8", "2001:db8::/32"), ("10.0.66.0/24",), ("/run/partners",))


@pytest.mark.parametrize(
    ("host", "partner", "why"),
    [
        ("10.1.2.3", 1, ""),
        ("2001:db8:1::5", 1, ""),
        ("10.9.9.9", 3, ""),
        ("10.9.9.9", 1, "outside the partner's own networks"),
        ("10.2.0.1", 1, "outside the partner's own networks"),
        ("10.2.0.1", 3, "in the network of another partner"),
        ("10.1.9.1", 1, ""),
        ("10.1.9.1", 2, ""),
        ("10.0.66.1", 3, "in a denied network"),
        ("::ffff:10.0.66.1", 3, "in a denied network"),
        ("::ffff:127.0.0.1", 3, "not in an allowed network"),
        ("127.0.0.1", 3, "not in an allowed network"),
        ("::1", 3, "not in an allowed network"),
        ("mail.example", 3, "not a literal address"),
    ],
)
def test_a_partner_may_name_its_own_and_no_other_partners(host: str, partner: int, why: str) -> None:
    assert RULES.find_violation(Address(host, 25), partner, OWNED) == why


def test_networks_may_be_shared_by_a_setting() -> None:
    rules = EgressPolicy(("10.0.0.0/8",), allows_shared=True)
    assert rules.find_violation(Address("10.2.0.1", 25), 3, OWNED) == ""


@pytest.mark.parametrize(
    ("path", "may"),
    [
        ("/run/partners/a.sock", True),
        ("/run/partners/../other/a.sock", False),
        ("/run/partners-too/a.sock", False),
        ("/run/partners", False),
    ],
)
def test_a_socket_lies_in_a_directory_that_is_allowed(path: str, may: bool) -> None:
    assert (RULES.find_violation(Address(path=path), 1, OWNED) == "") is may


NETWORK = st.tuples(st.integers(0, 255), st.integers(24, 32)).map(lambda x: f"10.0.0.{x[0]}/{x[1]}")


@given(st.dictionaries(st.integers(0, 5), st.lists(NETWORK, max_size=4)), st.integers(0, 255))
def test_owners_are_all_whose_networks_hold_an_address(owned: dict[int, list[str]], last: int) -> None:
    from netaddr import IPAddress, IPNetwork

    host = f"10.0.0.{last}"
    expected = [n for n, nets in sorted(owned.items()) if any(IPAddress(host) in IPNetwork(t) for t in nets)]
    assert PartnerNetworks(owned).find_owners(host) == expected


def test_a_list_with_networks_that_cannot_be_read_is_refused_whole() -> None:
    directory = PartnerDirectory()
    with pytest.raises(ListError, match="is no network"):
        directory.apply(
            ListUpdate(
                kind="full", version=1, partners=(Partner(number=1, name="a", networks=("10.0.0.0/99",)),)
            )
        )
    assert directory.version == 0 and directory.partners == {}
