"""Client identification by network, certificate or account, and password hashes. Performs no I/O."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from netaddr import AddrFormatError, IPAddress, IPNetwork, IPSet

from honeybarrow.errors import InvalidValueError

SCRYPT_N, SCRYPT_R, SCRYPT_P = 1 << 14, 8, 1  # 16 MiB of memory per check
MAX_SCRYPT_N = 1 << 17  # bounds the memory that an entry of the accounts file can demand


@dataclass(frozen=True, slots=True)
class ClientConfig:
    """A client program from the settings; its networks, certificate and account each identify it.

    ``networks``: in CIDR notation; ``certificate``: the common name of its TLS certificate.
    """

    name: str
    networks: tuple[str, ...] = ()
    certificate: str = ""
    account: str = ""


class ClientIdentifier:
    """Identifies clients by network, certificate or account.

    ``allowed`` lists the networks that may connect. Raises :class:`InvalidValueError` for invalid networks.
    """

    def __init__(self, allowed: Sequence[str], clients: Sequence[ClientConfig]) -> None:
        self.allowed_networks = parse_networks(allowed)
        self._name_by_network = [(parse_networks(client.networks), client.name) for client in clients]
        self._name_by_certificate = {c.certificate: c.name for c in clients if c.certificate}
        self._name_by_account = {c.account: c.name for c in clients if c.account}

    def can_connect(self, address: str) -> bool:
        """Return whether ``address`` is in one of the allowed networks."""
        try:
            return IPAddress(address) in self.allowed_networks
        except (AddrFormatError, ValueError):
            return False

    def identify_by_address(self, address: str) -> str:
        """Return the client whose networks contain ``address``, or the address itself."""
        try:
            parsed = IPAddress(address)
        except (AddrFormatError, ValueError):
            return address
        return next((name for networks, name in self._name_by_network if parsed in networks), address)

    def identify_by_certificate(self, subject: str) -> str | None:
        """Return the client whose certificate has the common name ``subject``, or ``None``."""
        return self._name_by_certificate.get(subject)

    def identify_by_account(self, account: str) -> str:
        """Return the client that ``account`` belongs to, or ``account:<name>`` if none is configured."""
        return self._name_by_account.get(account, f"account:{account}")


def parse_networks(texts: Sequence[str]) -> IPSet:
    """Parse a set of networks. Raises :class:`InvalidValueError` that names the invalid one."""
    networks = []
    for text in texts:
        try:
            networks.append(IPNetwork(text))
        except (AddrFormatError, ValueError):
            raise InvalidValueError(f"{text!r} is no network") from None
    return IPSet(networks)


def hash_password(password: bytes, salt: bytes) -> str:
    """Return the hash of a password in the format of the accounts file: ``scrypt$N$r$p$salt$hash``."""
    digest = hashlib.scrypt(password, salt=salt, n=SCRYPT_N, r=SCRYPT_R, p=SCRYPT_P)
    return f"scrypt${SCRYPT_N}${SCRYPT_R}${SCRYPT_P}${salt.hex()}${digest.hex()}"


def parse_accounts(text: str) -> dict[str, str]:
    """Parse the ``name:scrypt$...`` lines of an accounts file into hashes by name.

    Raises :class:`InvalidValueError` with the number of an invalid line, but not its text.
    """
    accounts = {}
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.startswith("#"):
            continue
        name, _, stored = line.strip().partition(":")
        if not name or not _parse_password_hash(stored):
            raise InvalidValueError(
                f"line {number} of the accounts file is not of the form name:scrypt$N$r$p$salt$hash"
            )
        accounts[name] = stored
    return accounts


def check_password(accounts: Mapping[str, str], name: str, password: bytes) -> bool:
    """Return whether ``password`` is that of the account ``name``.

    An unknown name takes as long as a wrong password, so that timing does not reveal which accounts exist.
    """
    stored = accounts.get(name)
    parts = _parse_password_hash(stored or f"scrypt${SCRYPT_N}${SCRYPT_R}${SCRYPT_P}$00$00")
    assert parts is not None
    n, r, p, salt, digest = parts
    actual = hashlib.scrypt(password, salt=salt, n=n, r=r, p=p, dklen=len(digest) if stored else 64)
    return stored is not None and hmac.compare_digest(actual, digest)


def _parse_password_hash(stored: str) -> tuple[int, int, int, bytes, bytes] | None:
    parts = stored.split("$")
    if len(parts) != 6 or parts[0] != "scrypt":
        return None
    try:
        n, r, p = (int(part) for part in parts[1:4])
        salt, digest = bytes.fromhex(parts[4]), bytes.fromhex(parts[5])
    except ValueError:
        return None
    is_valid = 1 < n <= MAX_SCRYPT_N and n & (n - 1) == 0 and 0 < r <= 16 and 0 < p <= 4
    return (n, r, p, salt, digest) if is_valid and salt and digest else None
