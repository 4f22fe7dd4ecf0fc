"""TLS contexts from PEM files. Keys stay in them; an error names the file, never what is in it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from OpenSSL import SSL, crypto
from twisted.internet.ssl import CertificateOptions, TLSVersion

from honeybarrow.errors import HoneybarrowError

CERTIFICATE_MARK = b"-----BEGIN CERTIFICATE-----"


class TlsError(HoneybarrowError, ValueError):
    """The certificate or key file can't be loaded."""

    code = "HB113"
    remedy = "provide readable PEM files, with the private key that belongs to the certificate"
    status = 2


def build_server_context(certificate: Path, key: Path, client_ca: Path | None) -> Any:
    """For STARTTLS: TLS 1.2 at least; client certificates are asked for where ``client_ca`` is given."""
    chain = _read_certificates(certificate)
    try:
        private = crypto.load_privatekey(crypto.FILETYPE_PEM, key.read_bytes())
    except (OSError, crypto.Error, ValueError, TypeError):
        raise TlsError(f"{key}: no private key in PEM can be read there") from None
    authorities = _read_certificates(client_ca) if client_ca is not None else []
    options = CertificateOptions(
        privateKey=private,
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
        parts = path.read_bytes().split(CERTIFICATE_MARK)[1:]
        found = [crypto.load_certificate(crypto.FILETYPE_PEM, CERTIFICATE_MARK + part) for part in parts]
    except (OSError, crypto.Error, ValueError):
        found = []
    if not found:
        raise TlsError(f"{path}: no certificate in PEM can be read there")
    return found
