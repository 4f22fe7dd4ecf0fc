"""Tests of the egress policy for partners' addresses."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from honeybarrow.addressing.address import Address
from honeybarrow.addressing.egress_policy import EgressPolicy, PartnerNetworks
from honeybarrow.register import ListError, ListUpdate, Partner, PartnerDirectory

NETWORKS = PartnerNetworks({1: ("10.1.0.0/16", "2001:db8:1::/48"), 2: ("10.2.0.0/16", "10.1.9.0/24"), 3: ()})
POLICY = EgressPolicy(("10.0.0.0/8", "2001:db8::/32"), ("10.0.66.0/24",), ("/run/partners",))


@pytest.mark.parametrize(
    ("host", "partner", "violation"),
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
def test_address_must_be_in_allowed_networks_of_its_partner(host: str, partner: int, violation: str) -> None:
    assert POLICY.find_violation(Address(host, 25), partner, NETWORKS) == violation


def test_allows_shared_permits_networks_of_other_partners() -> None:
    policy = EgressPolicy(("10.0.0.0/8",), allows_shared=True)
    assert policy.find_violation(Address("10.2.0.1", 25), 3, NETWORKS) == ""


@pytest.mark.parametrize(
    ("path", "is_allowed"),
    [
        ("/run/partners/a.sock", True),
        ("/run/partners/../other/a.sock", False),
        ("/run/partners-too/a.sock", False),
        ("/run/partners", False),
    ],
)
def test_socket_must_be_inside_an_allowed_directory(path: str, is_allowed: bool) -> None:
    assert (POLICY.find_violation(Address(path=path), 1, NETWORKS) == "") is is_allowed


NETWORK_TEXTS = st.tuples(st.integers(0, 255), st.integers(24, 32)).map(lambda x: f"10.0.0.{x[0]}/{x[1]}")


@given(st.dictionaries(st.integers(0, 5), st.lists(NETWORK_TEXTS, max_size=4)), st.integers(0, 255))
def test_owners_are_all_partners_whose_networks_contain_an_address(
    networks: dict[int, list[str]], last_byte: int
) -> None:
    from netaddr import IPAddress, IPNetwork

    host = f"10.0.0.{last_byte}"
    expected = [
        partner
        for partner, texts in sorted(networks.items())
        if any(IPAddress(host) in IPNetwork(text) for text in texts)
    ]
    assert PartnerNetworks(networks).find_owners(host) == expected


def test_list_with_an_invalid_network_is_rejected_as_a_whole() -> None:
    directory = PartnerDirectory()
    with pytest.raises(ListError, match="is no network"):
        directory.apply(
            ListUpdate(
                kind="full", version=1, partners=(Partner(number=1, name="a", networks=("10.0.0.0/99",)),)
            )
        )
    assert directory.version == 0 and directory.partners == {}
