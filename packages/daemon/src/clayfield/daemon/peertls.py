"""Mutual TLS between boxes.

Each box's certificate is signed by the cluster's own authority and names the
box as its common name; an address proves nothing.
"""

import pathlib

from cryptography.x509.oid import NameOID
from OpenSSL import SSL
from twisted.internet import interfaces, ssl
from twisted.internet.interfaces import IOpenSSLClientConnectionCreator
from twisted.python.failure import Failure
from zope.interface import implementer

from clayfield.base import ClayfieldError, Kind


class PeerFiles:
    """The files for mutual TLS between boxes."""

    __slots__ = ("_authority", "_own")

    def __init__(self, key: str, certificate: str, authority: str):
        """Reads the files.

        Raises:
            ClayfieldError: of kind BAD_SETTINGS, when they cannot be used.
        """
        try:
            pem = pathlib.Path(key).read_bytes()
            pem += pathlib.Path(certificate).read_bytes()
            self._own = ssl.PrivateCertificate.loadPEM(pem)
            self._authority = ssl.Certificate.loadPEM(
                pathlib.Path(authority).read_bytes()
            )
        except (OSError, SSL.Error, ValueError) as exc:
            raise ClayfieldError(
                Kind.BAD_SETTINGS, f"--peer-tls files: {exc!r}."
            ) from exc

    def for_server(self) -> ssl.CertificateOptions:
        """Returns the options of the listening side."""
        return self._own.options(self._authority)

    def for_client(self, peer: str) -> "_ClientOptions":
        """Returns the options of a stream to a peer."""
        return _ClientOptions(self._own.options(self._authority), peer)


@implementer(IOpenSSLClientConnectionCreator)
class _ClientOptions:
    """Makes TLS connections that insist on the peer's name."""

    def __init__(self, options: ssl.CertificateOptions, peer: str):
        self._context = options.getContext()
        self._context.set_info_callback(self._check_name)
        self._peer = peer

    def clientConnectionForTLS(  # noqa: N802 - twisted's name
        self, tls_protocol: interfaces.IProtocol
    ) -> SSL.Connection:
        """Returns the connection's TLS state."""
        connection = SSL.Connection(self._context, None)
        connection.set_app_data(tls_protocol)
        return connection

    def _check_name(
        self, connection: SSL.Connection, where: int, _: int
    ) -> None:
        if where & SSL.SSL_CB_HANDSHAKE_DONE:
            name = _common_name(connection.get_peer_certificate())
            if name != self._peer:
                detail = f"the certificate is {name!r}'s, not {self._peer!r}'s."
                reason = ClayfieldError(Kind.BAD_FRAME, detail)
                connection.get_app_data().failVerification(Failure(reason))


def _common_name(certificate: object) -> str:
    if certificate is None:
        return ""
    subject = certificate.to_cryptography().subject
    names = subject.get_attributes_for_oid(NameOID.COMMON_NAME)
    return str(names[0].value) if names else ""


def name_in(transport: interfaces.ITransport) -> str | None:
    """Returns the name that a peer's certificate proves, None without TLS."""
    read = getattr(transport, "getPeerCertificate", None)
    return _common_name(read()) if read else None
