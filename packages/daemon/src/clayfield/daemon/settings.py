"""Settings of the daemon and the checks between them."""

from clayfield.base import ClayfieldError, ErrorKind
from clayfield.base.settings import (
    Setting,
    int_in_range,
    parse_address,
    parse_yes_no,
)
from clayfield.box import PeerAddress


def parse_boxes(text: str) -> dict[str, PeerAddress]:
    """Returns the boxes in `NAME@HALL=IP:PORT[/control],...` by name.

    Raises:
        ValueError: the text is malformed, or a name appears twice.
    """
    boxes: dict[str, PeerAddress] = {}
    for item in filter(None, text.split(",")):
        box, separator, endpoint = item.strip().partition("=")
        name, at_sign, hall = box.partition("@")
        if not (separator and at_sign and name and hall):
            raise ValueError(f"{item!r} is not NAME@HALL=IP:PORT[/control]")
        address_text, _, role = endpoint.partition("/")
        if role not in ("", "control"):
            raise ValueError(f"{item!r}: role {role!r} is not 'control'")
        parse_address(address_text)
        if name in boxes:
            raise ValueError(f"box {name!r} is listed twice")
        boxes[name] = PeerAddress(hall, address_text, role == "control")
    if not boxes:
        raise ValueError("lists no box")
    return boxes


MS = int_in_range(1, 86_400_000)

SETTINGS = (
    Setting("box", str, None, "name of this box"),
    Setting(
        "boxes",
        parse_boxes,
        None,
        "all boxes, including this one: NAME@HALL=IP:PORT[/control],...",
    ),
    Setting(
        "cluster",
        str,
        "clayfield",
        "name of the cluster, the same on all boxes",
    ),
    Setting(
        "callers",
        parse_address,
        "127.0.0.1:7300",
        "address of the port for callers",
    ),
    Setting(
        "operators",
        parse_address,
        "127.0.0.1:7301",
        "address of the port for operators",
    ),
    Setting("platform_list", str, "", "URL of the platform list"),
    Setting(
        "platform_list_ms",
        MS,
        "1000",
        "interval between reads of the list, in ms",
    ),
    Setting(
        "data_folder",
        str,
        "",
        "folder for durable state; only for boxes marked /control",
    ),
    Setting(
        "first_config",
        str,
        "",
        "configuration file to apply if none is in force",
    ),
    Setting("tls_key", str, "", "key file for callers and operators"),
    Setting(
        "tls_certificate", str, "", "certificate file for callers and operators"
    ),
    Setting("peer_tls_key", str, "", "key file for the other boxes"),
    Setting(
        "peer_tls_certificate", str, "", "certificate file for the other boxes"
    ),
    Setting(
        "peer_tls_authority",
        str,
        "",
        "file of the authority that signs the boxes' certificates",
    ),
    Setting(
        "allow_plain",
        parse_yes_no,
        "no",
        "allow ports without TLS on other than loopback addresses",
    ),
    Setting(
        "header_bytes",
        int_in_range(256, 1 << 20),
        "16384",
        "largest total of headers in a request, in bytes",
    ),
    Setting(
        "request_ms", MS, "10000", "time limit for a request to arrive, in ms"
    ),
    Setting("drain_ms", MS, "60000", "time limit of a planned stop, in ms"),
    Setting(
        "balancer_lag_ms",
        int_in_range(0, 600_000),
        "2000",
        "time that a stopping box goes on accepting, in ms",
    ),
    Setting("trace_endpoint", str, "", "OTLP/HTTP URL to export spans to"),
    Setting(
        "trace_percent",
        int_in_range(0, 100),
        "1",
        "percentage of traced submissions among those without a parent",
    ),
    Setting("log_level", str, "info", "debug, info, warning or error"),
)

LOOPBACK = ("127.", "::1")


class DaemonSettings:
    """The daemon's settings, each readable as an attribute of its name.

    Attributes:
        values: value of each setting by its name.
    """

    __slots__ = ("values",)

    def __init__(self, values: dict[str, object]):
        """Checks that the settings are consistent.

        Args:
            values: value of each setting by its name.

        Raises:
            ClayfieldError: of kind BAD_SETTINGS, listing every problem.
        """
        self.values = values
        problems = [*self._find_box_problems(), *self._find_tls_problems()]
        if problems:
            raise ClayfieldError(ErrorKind.BAD_SETTINGS, " ".join(problems))

    def __getattr__(self, name: str) -> object:
        try:
            return self.values[name]
        except KeyError as exc:
            raise AttributeError(name) from exc

    def _find_box_problems(self) -> list[str]:
        problems = []
        if self.box not in self.boxes:
            return [f"--box {self.box!r} is not named by --boxes."]
        is_control = self.boxes[self.box].is_control
        if is_control and not self.data_folder:
            problems.append(
                "--data-folder is missing; a control box needs one."
            )
        if not is_control and self.data_folder:
            problems.append(
                "--data-folder is given, but --boxes does not mark this box"
                " /control; drop one or add the other."
            )
        if not any(box.is_control for box in self.boxes.values()):
            problems.append("--boxes marks no box /control; mark 1, 3 or 5.")
        return problems

    def _find_tls_problems(self) -> list[str]:
        problems = []
        if bool(self.tls_key) != bool(self.tls_certificate):
            problems.append("--tls-key and --tls-certificate go together.")
        peer_files = (
            self.peer_tls_key,
            self.peer_tls_certificate,
            self.peer_tls_authority,
        )
        if any(peer_files) and not all(peer_files):
            problems.append("The three --peer-tls settings go together.")
        hosts = {
            "--callers": self.callers[0],
            "--operators": self.operators[0],
        }
        own_box = self.boxes.get(self.box)
        if own_box:
            hosts["--boxes"] = parse_address(own_box.address)[0]
        for flag, host in hosts.items():
            is_tls = (
                all(peer_files) if flag == "--boxes" else bool(self.tls_key)
            )
            is_open = not host.startswith(LOOPBACK) and not is_tls
            if is_open and not self.allow_plain:
                problems.append(
                    f"{flag} {host} is not loopback and has no TLS; give the"
                    " files, or --allow-plain yes."
                )
        return problems
