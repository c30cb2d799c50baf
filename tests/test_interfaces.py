"""Invalid messages and settings are rejected, and the pages match the code.

The pages are those that list the errors, the log events and the settings.
"""

import argparse
import datetime
import pathlib
import re

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from hypothesis import given, settings
from hypothesis import strategies as st

from clayfield.base import ClayfieldError, ErrorKind, Problem, Ran
from clayfield.base.events import Event, emit
from clayfield.base.settings import COMMAND_LINE_NAMES, add_flags, read_settings
from clayfield.cli.settings import SETTINGS as COMMAND_LINE
from clayfield.daemon.settings import SETTINGS, DaemonSettings
from clayfield.dispatch import parse_problem, render_problem
from clayfield.node.command import SETTINGS as NODE_SETTINGS
from clayfield.testbed.processes import Cluster
from clayfield.wire import (
    MAX_FRAME_BYTES,
    Greeting,
    check_greeting,
    decode,
    decode_greeting,
    encode,
    encode_greeting,
)
from clayfield.wire.messages import (
    ANY_MESSAGE,
    Claim,
    ConfigPull,
    Heartbeat,
    SlotGrant,
)

ROOT = pathlib.Path(__file__).parent.parent
BATCH = [
    Claim("m/k", b"d", "a/1", 7),
    SlotGrant(3, [(1, "w")]),
    Heartbeat("h", 2, ("hall:h",), {"control": 3}),
]


def test_decode_returns_the_encoded_messages():
    assert decode(encode(BATCH)) == BATCH


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        encode(BATCH)[:-1],
        encode(BATCH) + b"\x00",
        encode([("Unknown", 1)]),
        encode([("Claim", 1, b"d", "a/1", 7)]),
        encode([("Claim", "k")]),
        b"\x00" * (MAX_FRAME_BYTES + 1),
    ],
)
def test_decode_rejects_an_invalid_frame(data):
    with pytest.raises(ClayfieldError) as info:
        decode(data)
    assert info.value.kind is ErrorKind.BAD_FRAME


@given(st.binary(max_size=200))
@settings(derandomize=True, database=None, max_examples=200)
def test_any_bytes_are_messages_or_refused(data):
    try:
        messages = decode(data)
    except ClayfieldError:
        return
    assert all(isinstance(one, ANY_MESSAGE) for one in messages)


def test_decode_ignores_fields_of_a_newer_peer():
    assert decode(encode([("ConfigPull", 5, "new")])) == [ConfigPull(5)]


@pytest.mark.parametrize(
    ("greeting", "is_rejected"),
    [
        (Greeting("c", "a", 1, "h", halls=("h",)), False),
        (Greeting("c", "a", 1, "h", version=99, halls=("h",)), False),
        (Greeting("other", "a", 1, "h", halls=("h",)), True),
        (Greeting("c", "a", 1, "h", version=0, halls=("h",)), True),
        (Greeting("c", "a", 1, "h", halls=("h", "i")), True),
    ],
)
def test_greeting_of_incompatible_peer_is_rejected(greeting, is_rejected):
    decoded = decode_greeting(encode_greeting(greeting))
    if not is_rejected:
        check_greeting(decoded, "c", ("h",))
        return
    with pytest.raises(ClayfieldError):
        check_greeting(decoded, "c", ("h",))


@pytest.mark.parametrize("kind", ErrorKind)
def test_every_error_kind_is_rendered_parsed_and_documented(kind):
    outcome = render_problem(Problem(kind, "why", Ran.MAYBE, 1500))
    problem = parse_problem(outcome.body)
    assert (problem.code, problem.ran) == (kind.code, "maybe")
    assert kind.remedy in str(ClayfieldError(kind, "why"))
    assert f"| {kind.code} | {kind.status} |" in _page("docs/api.md")


def _page(name):
    return (ROOT / name).read_text()


def test_events_page_lists_every_event():
    listed = dict(
        re.findall(r"^\| (\d{4}) \| (\w+) \|", _page("docs/events.md"), re.M)
    )
    assert listed == {str(e.number): e.name for e in Event}
    with pytest.raises(TypeError):
        emit(Event.READY, surplus=1)


def test_settings_page_lists_every_daemon_setting():
    page = _page("docs/settings.md")
    for setting in SETTINGS:
        assert f"| `{setting.flag}` | `{setting.variable}` |" in page


def test_daemon_accepts_the_variables_of_the_command_line():
    assert {s.name for s in COMMAND_LINE} == set(COMMAND_LINE_NAMES)


VALID_FLAGS = {
    "box": "a",
    "boxes": "a@h=127.0.0.1:1/control",
    "data_folder": "d",
}


@pytest.mark.parametrize(
    ("changes", "environment", "expected"),
    [
        ({}, {}, ()),
        ({"box": None}, {"CLAYFIELD_BOX": "a"}, ()),
        ({"box": None}, {}, ("--box (CLAYFIELD_BOX) is missing",)),
        ({"box": "b"}, {}, ("'b' is not named",)),
        ({"boxes": "a@h"}, {}, ("is not NAME@HALL=IP:PORT",)),
        ({"data_folder": ""}, {}, ("--data-folder is missing",)),
        ({"callers": "0.0.0.0:80"}, {}, ("has no TLS",)),
        ({"callers": "0.0.0.0:80", "allow_plain": "yes"}, {}, ()),
        ({"tls_key": "k"}, {}, ("go together",)),
        ({}, {"CLAYFIELD_TOKEN": "x"}, ()),
        ({}, {"CLAYFIELD_BOXS": "x"}, ("CLAYFIELD_BOXS is not a setting",)),
        (
            {"request_ms": "soon", "trace_percent": "101"},
            {},
            ("--request-ms", "--trace-percent"),
        ),
    ],
)
def test_all_errors_in_settings_are_reported_together(
    changes, environment, expected
):
    parser = argparse.ArgumentParser()
    add_flags(parser, SETTINGS)
    flags = parser.parse_args([])
    for name, value in {**VALID_FLAGS, **changes}.items():
        setattr(flags, name, value)
    if not expected:
        DaemonSettings(read_settings(SETTINGS, flags, environment))
        return
    with pytest.raises(ClayfieldError) as info:
        DaemonSettings(read_settings(SETTINGS, flags, environment))
    assert all(part in str(info.value) for part in expected)


def _write_certificate(folder, name, signer=None):
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    issuer, signing_key = signer or (subject, key)
    start = datetime.datetime(2020, 1, 1)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(start)
        .not_valid_after(start + datetime.timedelta(days=36_500))
        .add_extension(
            x509.BasicConstraints(ca=signer is None, path_length=None), True
        )
        .sign(signing_key, hashes.SHA256())
    )
    (folder / f"{name}.pem").write_bytes(
        certificate.public_bytes(serialization.Encoding.PEM)
    )
    (folder / f"{name}.key").write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return subject, key


def test_mutual_tls_connects_boxes_and_rejects_a_wrong_name(tmp_path):
    signer = _write_certificate(tmp_path, "authority")
    names = ("h-a", "h-b", "h-c")
    for name in names:
        _write_certificate(tmp_path, name, signer)
    config = str(ROOT / "examples/ordervaart.yaml")

    def options(certificate_of):
        return lambda name: (
            "--peer-tls-key",
            str(tmp_path / f"{certificate_of(name)}.key"),
            "--peer-tls-certificate",
            str(tmp_path / f"{certificate_of(name)}.pem"),
            "--peer-tls-authority",
            str(tmp_path / "authority.pem"),
        )

    with Cluster(
        tmp_path / "good",
        config,
        {"h": 3},
        1,
        extra_flags_of=options(lambda name: name),
    ) as cluster:
        assert all(box.is_ready for box in cluster.boxes.values())
    mismatched = Cluster(
        tmp_path / "wrong",
        config,
        {"h": 3},
        1,
        extra_flags_of=options(lambda name: "h-b" if name == "h-a" else name),
    )
    try:
        log = mismatched.boxes["h-c"].log
        mismatched.wait_for_log(log, "FRAME_REFUSED")
        assert not mismatched.boxes["h-a"].is_ready
    finally:
        mismatched.stop()


def test_settings_page_lists_every_node_setting():
    page = _page("docs/settings.md")
    for setting in NODE_SETTINGS:
        assert f"| `{setting.flag}` | `{setting.variable}` |" in page
