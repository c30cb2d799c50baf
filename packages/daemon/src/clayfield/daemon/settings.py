"""The daemon's settings."""

from clayfield.base import ClayfieldError, Kind
from clayfield.base.settings import (
    Setting,
    address,
    whole_number,
    yes_or_no,
)
from clayfield.box import PeerAddress


def read_boxes(text: str) -> dict[str, PeerAddress]:
    """Reads `NAME@HALL=IP:PORT[/control],...`."""
    boxes: dict[str, PeerAddress] = {}
    for item in filter(None, text.split(",")):
        left, separator, right = item.strip().partition("=")
        name, at, hall = left.partition("@")
        if not (separator and at and name and hall):
            raise ValueError(f"{item!r} is not NAME@HALL=IP:PORT[/control]")
        place, _, role = right.partition("/")
        if role not in ("", "control"):
            raise ValueError(f"{item!r}: role {role!r} is not 'control'")
        address(place)
        if name in boxes:
            raise ValueError(f"{name!r} stands twice")
        boxes[name] = PeerAddress(hall, place, role == "control")
    if not boxes:
        raise ValueError("names no box")
    return boxes


MS = whole_number(1, 86_400_000)

SETTINGS = (
    Setting("box", str, None, "this box's name"),
    Setting(
        "boxes",
        read_boxes,
        None,
        "all boxes, this one too: NAME@HALL=IP:PORT[/control],...",
    ),
    Setting("cluster", str, "clayfield", "name that all boxes share"),
    Setting("callers", address, "127.0.0.1:7300", "where callers connect"),
    Setting("operators", address, "127.0.0.1:7301", "where operators connect"),
    Setting("platform_list", str, "", "URL of the platform list"),
    Setting("platform_list_ms", MS, "1000", "how often to read it"),
    Setting(
        "data_folder", str, "", "folder for durable state; control boxes only"
    ),
    Setting("first_config", str, "", "file applied when none is in force"),
    Setting("tls_key", str, "", "key file for callers and operators"),
    Setting("tls_certificate", str, "", "certificate file for them"),
    Setting("peer_tls_key", str, "", "key file for the other boxes"),
    Setting("peer_tls_certificate", str, "", "certificate file for them"),
    Setting("peer_tls_authority", str, "", "certificates that sign boxes"),
    Setting(
        "allow_plain", yes_or_no, "no", "serve without TLS beyond loopback"
    ),
    Setting(
        "header_bytes",
        whole_number(256, 1 << 20),
        "16384",
        "most bytes of headers in a request",
    ),
    Setting("request_ms", MS, "10000", "time for a request to arrive"),
    Setting("drain_ms", MS, "60000", "longest planned stop"),
    Setting(
        "balancer_lag_ms",
        whole_number(0, 600_000),
        "2000",
        "how long a stopping box goes on accepting",
    ),
    Setting("trace_endpoint", str, "", "OTLP/HTTP URL for spans"),
    Setting(
        "trace_percent",
        whole_number(0, 100),
        "1",
        "share of submissions without a sampled parent that are traced",
    ),
    Setting("log_level", str, "info", "debug, info, warning or error"),
)

LOOPBACK = ("127.", "::1")


class DaemonSettings:
    """The daemon's settings, checked against each other.

    Attributes:
        values: each setting by its name.
    """

    __slots__ = ("values",)

    def __init__(self, values: dict[str, object]):
        """Checks the settings as a whole.

        Raises:
            ClayfieldError: of kind BAD_SETTINGS, naming every fault.
        """
        self.values = values
        faults = [*self._box_faults(), *self._tls_faults()]
        if faults:
            raise ClayfieldError(Kind.BAD_SETTINGS, " ".join(faults))

    def __getattr__(self, name: str) -> object:
        try:
            return self.values[name]
        except KeyError as exc:
            raise AttributeError(name) from exc

    def _box_faults(self) -> list[str]:
        faults = []
        if self.box not in self.boxes:
            return [f"--box {self.box!r} is not named by --boxes."]
        is_control = self.boxes[self.box].is_control
        if is_control and not self.data_folder:
            faults.append("--data-folder is missing; a control box needs one.")
        if not is_control and self.data_folder:
            faults.append(
                "--data-folder is given, but --boxes does not mark this box"
                " /control; drop one or add the other."
            )
        if not any(box.is_control for box in self.boxes.values()):
            faults.append("--boxes marks no box /control; mark 1, 3 or 5.")
        return faults

    def _tls_faults(self) -> list[str]:
        faults = []
        if bool(self.tls_key) != bool(self.tls_certificate):
            faults.append("--tls-key and --tls-certificate go together.")
        peer = (
            self.peer_tls_key,
            self.peer_tls_certificate,
            self.peer_tls_authority,
        )
        if any(peer) and not all(peer):
            faults.append("The three --peer-tls settings go together.")
        places = {
            "--callers": self.callers[0],
            "--operators": self.operators[0],
        }
        own = self.boxes.get(self.box)
        if own:
            places["--boxes"] = address(own.address)[0]
        for flag, host in places.items():
            is_tls = all(peer) if flag == "--boxes" else bool(self.tls_key)
            is_open = not host.startswith(LOOPBACK) and not is_tls
            if is_open and not self.allow_plain:
                faults.append(
                    f"{flag} {host} is not loopback and has no TLS; give the"
                    " files, or --allow-plain yes."
                )
        return faults
