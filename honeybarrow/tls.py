"""TLS contexts from PEM files. Errors name the file and never include its content."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from OpenSSL import SSL, crypto
from twisted.internet.ssl import CertificateOptions, TLSVersion

from honeybarrow.errors import HoneybarrowError

CERTIFICATE_HEADER = b"-----BEGIN CERTIFICATE-----"


class TlsError(HoneybarrowError, ValueError):
    """The certificate or key file can't be loaded."""

    code = "HB113"
    remedy = "provide readable PEM files, with the private key that belongs to the certificate"
    status = 2


def build_server_context(certificate: Path, key: Path, client_ca: Path | None) -> Any:
    """Return a server context for STARTTLS with TLS 1.2 or later.

    Client certificates are requested, but not required, if ``client_ca`` is given. Raises :class:`TlsError`
    if a file can't be used.
    """
    chain = _read_certificates(certificate)
    try:
        private_key = crypto.load_privatekey(crypto.FILETYPE_PEM, key.read_bytes())
    except (OSError, crypto.Error, ValueError, TypeError):
        raise TlsError(f"{key}: no private key could be read; expected a PEM file") from None
    authorities = _read_certificates(client_ca) if client_ca is not None else []
    options = CertificateOptions(
        privateKey=private_key,
        certificate=chain[0],
        extraCertChain=chain[1:],
        verify=bool(authorities),
        caCerts=authorities or None,
        requireCertificate=False,
        raiseMinimumTo=TLSVersion.TLSv1_2,
    )
    try:
        options.getContext()
    except SSL.Error:
        raise TlsError(f"{certificate} and {key} do not belong together") from None
    return options


def _read_certificates(path: Path) -> list[Any]:
    try:
        blocks = path.read_bytes().split(CERTIFICATE_HEADER)[1:]
        certificates = [
            crypto.load_certificate(crypto.FILETYPE_PEM, CERTIFICATE_HEADER + block) for block in blocks
        ]
    except (OSError, crypto.Error, ValueError):
        certificates = []
    if not certificates:
        raise TlsError(f"{path}: no certificate could be read; expected a PEM file")
    return certificates
