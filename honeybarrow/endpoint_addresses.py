"""The addresses that may be called for each endpoint: the listed ones that the egress policy allows."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from honeybarrow.addressing.address import Address
from honeybarrow.addressing.address_health import AddressHealth
from honeybarrow.addressing.egress_policy import EgressPolicy
from honeybarrow.ports import Logger
from honeybarrow.register import PartnerDirectory, to_address


class EndpointAddresses:
    """Looks up the addresses of endpoints in the current list and caches them until the list changes."""

    def __init__(
        self, directory: PartnerDirectory, policy: EgressPolicy, health: AddressHealth, log: Logger
    ) -> None:
        self.directory, self.policy, self.health, self.log = directory, policy, health, log
        self._allowed: dict[str, list[Address]] = {}  # by endpoint
        self._logged: dict[tuple[str, str], None] = {}  # endpoint and forbidden address

    def find(self, target: str) -> list[Address]:
        """Return the addresses of an endpoint that may be called; none if it is not listed.

        A forbidden address is logged once.
        """
        if (cached := self._allowed.get(target)) is not None:
            return cached
        allowed: list[Address] = []
        entry = self.directory.endpoints.get(target)
        if entry is None:
            return allowed
        for address in map(to_address, entry.addresses):
            reason = self.policy.find_violation(address, entry.destination, self.directory.owned_networks)
            if not reason:
                allowed.append(address)
            elif (target, str(address)) not in self._logged:
                self._logged[target, str(address)] = None
                self.log.warning("address_forbidden", target=target, address=str(address), reason=reason)
        self._allowed[target] = allowed
        return allowed

    def refresh(self, in_use: Iterable[str]) -> Iterator[tuple[str, list[Address]]]:
        """Look up again, after a change of the list, the cached endpoints and those ``in_use``.

        Yields each endpoint with its current addresses, after discarding the health of removed addresses.
        """
        before, self._allowed = self._allowed, {}
        for target in dict.fromkeys([*before, *in_use]):
            addresses = self.find(target)
            current = {address.socket_key: None for address in addresses}
            for address in before.get(target, ()):
                if address.socket_key not in current:
                    self.health.forget(address)
                    self.log.info("address_removed", target=target, address=str(address))
            yield target, addresses
