"""Mutual TLS between boxes.

Each box has a certificate that is signed by the cluster's own authority and
has the box's name as its common name. Peers are identified by that name, not
by their address.
"""

import pathlib

from cryptography.x509.oid import NameOID
from OpenSSL import SSL
from twisted.internet import interfaces, ssl
from twisted.internet.interfaces import IOpenSSLClientConnectionCreator
from twisted.python.failure import Failure
from zope.interface import implementer

from clayfield.base import ClayfieldError, ErrorKind


class PeerFiles:
    """The key, certificate and authority for TLS between boxes."""

    __slots__ = ("_authority", "_certificate")

    def __init__(self, key: str, certificate: str, authority: str):
        """Reads the files.

        Args:
            key: path of this box's private key.
            certificate: path of this box's certificate.
            authority: path of the certificate that signs those of all boxes.

        Raises:
            ClayfieldError: of kind BAD_SETTINGS, when they cannot be used.
        """
        try:
            pem = pathlib.Path(key).read_bytes()
            pem += pathlib.Path(certificate).read_bytes()
            self._certificate = ssl.PrivateCertificate.loadPEM(pem)
            self._authority = ssl.Certificate.loadPEM(
                pathlib.Path(authority).read_bytes()
            )
        except (OSError, SSL.Error, ValueError) as exc:
            raise ClayfieldError(
                ErrorKind.BAD_SETTINGS, f"--peer-tls files: {exc!r}."
            ) from exc

    def for_server(self) -> ssl.CertificateOptions:
        """Returns the TLS options of the port for peers."""
        return self._certificate.options(self._authority)

    def for_client(self, peer: str) -> "_ClientOptions":
        """Returns the TLS options of a connection to a peer."""
        return _ClientOptions(self._certificate.options(self._authority), peer)


@implementer(IOpenSSLClientConnectionCreator)
class _ClientOptions:
    """Creates TLS connections that verify the peer's common name."""

    def __init__(self, options: ssl.CertificateOptions, peer: str):
        self._context = options.getContext()
        self._context.set_info_callback(self._check_name)
        self._peer = peer

    def clientConnectionForTLS(  # noqa: N802 - twisted's name
        self, tls_protocol: interfaces.IProtocol
    ) -> SSL.Connection:
        """Returns a new TLS connection."""
        connection = SSL.Connection(self._context, None)
        connection.set_app_data(tls_protocol)
        return connection

    def _check_name(
        self, connection: SSL.Connection, where: int, _: int
    ) -> None:
        if where & SSL.SSL_CB_HANDSHAKE_DONE:
            name = _get_common_name(connection.get_peer_certificate())
            if name != self._peer:
                detail = f"the certificate names {name!r}, not {self._peer!r}."
                reason = ClayfieldError(ErrorKind.BAD_FRAME, detail)
                connection.get_app_data().failVerification(Failure(reason))


def _get_common_name(certificate: object) -> str:
    if certificate is None:
        return ""
    subject = certificate.to_cryptography().subject
    names = subject.get_attributes_for_oid(NameOID.COMMON_NAME)
    return str(names[0].value) if names else ""


def get_peer_name(transport: interfaces.ITransport) -> str | None:
    """Returns the common name of a peer's certificate, None without TLS."""
    get_certificate = getattr(transport, "getPeerCertificate", None)
    return _get_common_name(get_certificate()) if get_certificate else None
