"""TLS certificate of the ports for callers and operators."""

from OpenSSL import SSL
from twisted.internet.ssl import ContextFactory

from clayfield.base import ClayfieldError, ErrorKind
from clayfield.base.events import Event, emit


class Certificates(ContextFactory):
    """A TLS context factory whose certificate can be reloaded.

    New connections get the certificate that was read last.
    """

    def __init__(self, key: str, certificate: str):
        """Reads the files.

        Args:
            key: path of the private key, "" for ports without TLS.
            certificate: path of the certificate chain.

        Raises:
            ClayfieldError: of kind BAD_SETTINGS, when they cannot be read.
        """
        self._key = key
        self._certificate = certificate
        self._context: SSL.Context | None = None
        if self.is_used:
            try:
                self._context = self._read()
            except (SSL.Error, OSError) as exc:
                raise ClayfieldError(
                    ErrorKind.BAD_SETTINGS, f"{certificate}: {exc!r}."
                ) from exc

    @property
    def is_used(self) -> bool:
        """Whether the ports use TLS."""
        return bool(self._key)

    def _read(self) -> SSL.Context:
        """Returns a context with the content of the files."""
        context = SSL.Context(SSL.TLS_SERVER_METHOD)
        context.set_min_proto_version(SSL.TLS1_2_VERSION)
        context.use_certificate_chain_file(self._certificate)
        context.use_privatekey_file(self._key)
        context.check_privatekey()
        return context

    def reload(self) -> None:
        """Reads the files again; on an error the earlier content stays."""
        if not self.is_used:
            return
        try:
            self._context = self._read()
        except (SSL.Error, OSError) as exc:
            emit(Event.CERTIFICATE_BAD, path=self._certificate, error=repr(exc))
            return
        emit(Event.CERTIFICATE_RELOADED, path=self._certificate)

    def getContext(self) -> SSL.Context:  # noqa: N802 - twisted's name
        """Returns the context for a new connection."""
        return self._context
