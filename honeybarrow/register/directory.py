"""The partners and endpoints known to a forwarder; turns list updates into membership updates. No I/O."""

from __future__ import annotations

import msgspec

from honeybarrow.addressing.egress_policy import PartnerNetworks
from honeybarrow.errors import HoneybarrowError
from honeybarrow.events import Endpoint, EndpointState, MembershipUpdate, UpdateKind
from honeybarrow.register.schema import MAX_LINE_BYTES, EndpointAddress, EndpointEntry, ListUpdate, Partner


class ListError(HoneybarrowError, ValueError):
    """A list update that can't be applied; the current list stays unchanged."""

    code = "HB302"
    remedy = "the current list stays in use; correct the register, or delete the saved list if it is damaged"
    status = 2


class PartnerDirectory:
    """Partners by number and name, endpoints by target, and the version of the list."""

    def __init__(self) -> None:
        self.version = 0
        self.partners: dict[int, Partner] = {}
        self.endpoints: dict[str, EndpointEntry] = {}
        self.owned_networks = PartnerNetworks({})
        self._numbers_by_name: dict[str, int] = {}

    def find_partner(self, name: str) -> int | None:
        """Return the number of the partner with this domain name, or ``None``."""
        return self._numbers_by_name.get(name)

    def addresses(self, target: str) -> tuple[EndpointAddress, ...]:
        """Return the addresses of an endpoint, empty if it is not listed."""
        entry = self.endpoints.get(target)
        return entry.addresses if entry else ()

    def apply_line(self, line: bytes, is_saved: bool = False) -> MembershipUpdate:
        """Apply a line of the register. Raises :class:`ListError` for an invalid one, without any change."""
        if len(line) > MAX_LINE_BYTES:
            raise ListError(f"the list has {len(line)} bytes, the maximum is {MAX_LINE_BYTES}")
        try:
            update = msgspec.json.decode(line, type=ListUpdate)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ListError(f"malformed list: {error}") from None
        return self.apply(update, is_saved)

    def apply(self, update: ListUpdate, is_saved: bool = False) -> MembershipUpdate:
        """Apply a decoded update, as :meth:`apply_line` does."""
        is_full = update.kind == "full"
        # A register restored from an old backup would bring drained endpoints back.
        if update.version < self.version:
            raise ListError(f"version {update.version} is older than the current version {self.version}")
        partners = {} if is_full else dict(self.partners)
        for partner in update.partners:
            partners[partner.number] = partner
        try:
            owned = PartnerNetworks({number: partner.networks for number, partner in partners.items()})
        except ValueError as error:
            raise ListError(str(error)) from None
        names = {partner.name: number for number, partner in partners.items()}
        if len(names) < len(partners):
            raise ListError("two partners have the same name")
        endpoints = {} if is_full else dict(self.endpoints)
        seen: set[str] = set()
        for entry in update.endpoints:
            if entry.target in seen:
                raise ListError(f"endpoint {entry.target} is listed twice")
            seen.add(entry.target)
            self._check_entry(entry, partners)
            if entry.state == "gone":
                endpoints.pop(entry.target, None)
            else:
                endpoints[entry.target] = entry
        self.version, self.partners, self.endpoints, self._numbers_by_name = (
            update.version,
            partners,
            endpoints,
            names,
        )
        self.owned_networks = owned
        kind = UpdateKind.SAVED if is_saved else UpdateKind.FULL if is_full else UpdateKind.CHANGES
        return MembershipUpdate(
            kind, update.version, tuple(self._to_endpoint(entry) for entry in update.endpoints)
        )

    def _check_entry(self, entry: EndpointEntry, partners: dict[int, Partner]) -> None:
        """Raise :class:`ListError` for an endpoint without a valid partner or address."""
        if entry.destination not in partners:
            raise ListError(f"endpoint {entry.target} belongs to the unknown partner {entry.destination}")
        known = self.endpoints.get(entry.target)
        if known and known.destination != entry.destination:
            raise ListError(f"endpoint {entry.target} can't move from one partner to another")
        if entry.state != "gone" and not entry.addresses:
            raise ListError(f"endpoint {entry.target} has no address")

    def _to_endpoint(self, entry: EndpointEntry) -> Endpoint:
        kind = self.partners[entry.destination].kind
        state = EndpointState(entry.state)
        return Endpoint(entry.target, entry.destination, state, kind, entry.zone, entry.weight)

    def encode(self) -> bytes:
        """Return the full list as a line of the register, to be saved for the next start."""
        update = ListUpdate(
            kind="full",
            version=self.version,
            partners=tuple(self.partners.values()),
            endpoints=tuple(self.endpoints.values()),
        )
        return msgspec.json.encode(update)
