"""The egress policy: restricts the addresses that the endpoint list may contain.

An IP address is allowed if it is in a network that the settings allow and in none that they deny, in one of
its partner's own networks if the list defines any, and not in a network of another partner. A Unix socket is
allowed if it is inside one of the configured directories.
"""

from __future__ import annotations

import bisect
import posixpath
from collections.abc import Mapping, Sequence

from netaddr import AddrFormatError, IPAddress

from honeybarrow.addressing.address import Address
from honeybarrow.admission.identity import parse_networks

ABOVE_ANY_ADDRESS = 1 << 130  # greater than every IPv6 address


class PartnerNetworks:
    """The networks of all partners, by partner number. Raises ``ValueError`` for an invalid network."""

    def __init__(self, partners: Mapping[int, Sequence[str]]) -> None:
        ranges: list[tuple[int, int, int, int]] = []  # IP version, first, last, partner number
        self._partners_with_networks: dict[int, None] = {}
        for number, texts in partners.items():
            if not texts:
                continue
            self._partners_with_networks[number] = None
            ip_ranges = parse_networks(texts).iter_ipranges()
            ranges.extend((each.version, each.first, each.last, number) for each in ip_ranges)
        self._ranges = sorted(ranges)
        # The running maximum of the range ends, which tells a lookup when no earlier range can match.
        self._max_ends: list[tuple[int, int]] = []
        for version, _, last, _ in self._ranges:
            end = (version, last)
            self._max_ends.append(max(end, self._max_ends[-1]) if self._max_ends else end)

    def find_owners(self, host: str) -> list[int]:
        """Return the numbers of the partners whose networks contain an address."""
        address = IPAddress(host)
        key = (address.version, int(address))
        owners = []
        index = bisect.bisect_right(self._ranges, (*key, ABOVE_ANY_ADDRESS, 0)) - 1
        while index >= 0 and self._max_ends[index] >= key:
            version, first, last, number = self._ranges[index]
            if version == key[0] and first <= key[1] <= last:
                owners.append(number)
            index -= 1
        return sorted(owners)

    def has_networks(self, number: int) -> bool:
        """Return whether the list defines networks for a partner."""
        return number in self._partners_with_networks


class EgressPolicy:
    """The networks and socket directories that the settings allow.

    With ``allows_shared`` a partner may have addresses in the networks of other partners. Raises
    ``ValueError`` for an invalid network.
    """

    def __init__(
        self,
        allowed: Sequence[str],
        denied: Sequence[str] = (),
        socket_directories: Sequence[str] = (),
        allows_shared: bool = False,
    ) -> None:
        self._allowed, self._denied = parse_networks(allowed), parse_networks(denied)
        self._socket_directories, self._allows_shared = tuple(socket_directories), allows_shared

    def find_violation(self, address: Address, partner: int, networks: PartnerNetworks) -> str:
        """Return why a partner must not use an address, or an empty string if it may."""
        if address.path:
            return self._find_socket_violation(address.path)
        try:
            ip_address = IPAddress(address.host)
        except (AddrFormatError, ValueError):
            return "not a literal address"
        if ip_address.version == 6 and ip_address.is_ipv4_mapped():
            # An IPv4-mapped address such as ::ffff:10.0.0.1 must not bypass a denied IPv4 network.
            ip_address = ip_address.ipv4()
        if ip_address in self._denied:
            return "in a denied network"
        if ip_address not in self._allowed:
            return "not in an allowed network"
        owners = networks.find_owners(str(ip_address))
        if networks.has_networks(partner) and partner not in owners:
            return "outside the partner's own networks"
        if owners and partner not in owners and not self._allows_shared:
            return "in the network of another partner"
        return ""

    def _find_socket_violation(self, path: str) -> str:
        normalized = posixpath.normpath(path)
        # Comparing the normalized path prevents ".." from leaving an allowed directory.
        matches = [normalized.startswith(posixpath.normpath(each) + "/") for each in self._socket_directories]
        return "" if any(matches) else "socket outside the allowed directories"
