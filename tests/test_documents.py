"""Tests of configurations as operators send them, at both protocols.

They guard against an invalid configuration that is acknowledged, and a valid
one that is refused.
"""

import json

import pytest
from clayfield_platform.operators import PlatformOperators

from clayfield.node.httpserver import HttpRequest
from clayfield.node.interfaces import HttpReply, WriteCall
from clayfield.node.native import NativeOperators


class _Protocol:
    """A protocol and the text of a valid configuration of two routes.

    Each text that a test replaces or appends to occurs once in the document.
    """

    def __init__(self, operators, path, document, words):
        self.operators = operators
        self.path = path
        self.document = document
        self.words = words

    def write(self, document):
        raw = document if isinstance(document, bytes) else document.encode()
        return self.operators.read_call(
            HttpRequest(None, "PUT", self.path, {}, raw)
        )


PLATFORM = _Protocol(
    PlatformOperators(),
    "/-/config",
    """{"version":7,"routes":[
    {"name":"r1","host":"a.example","path_prefix":"/q1/","kind":"unsafe",
     "timeout_ms":1500,"priority":1,"service":"s1","max_attempts":4},
    {"name":"r2","host":"b.example","path_prefix":"/q2/","kind":"unsafe",
     "timeout_ms":1600,"priority":2,"service":"s2","max_attempts":5}],
    "services":[
    {"name":"s1","health_path":"/health","max_conns":64,"tls":false},
    {"name":"s2","health_path":"/health","max_conns":65,"tls":false}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":262144,
    "header_timeout_ms":3000,"idle_timeout_ms":15000}}""",
    {
        "queues": "routes",
        "header_bytes": "max_header_bytes",
        "body_bytes": "max_body_bytes",
        "header_ms": "header_timeout_ms",
        "idle_ms": "idle_timeout_ms",
    },
)
NATIVE = _Protocol(
    NativeOperators(),
    "/v1/routing",
    """{"version":7,"queues":[
    {"name":"r1","host":"a.example","timeout_ms":1500,"priority":1,
     "service":"s1","max_attempts":4},
    {"name":"r2","host":"b.example","timeout_ms":1600,"priority":2,
     "service":"s2","max_attempts":5}],
    "services":[
    {"name":"s1","max_connections":64},
    {"name":"s2","max_connections":65}],
    "limits":{"header_bytes":16384,"body_bytes":262144,
    "header_ms":3000,"idle_ms":15000}}""",
    {},
)
PROTOCOLS = pytest.mark.parametrize(
    "protocol", [PLATFORM, NATIVE], ids=["platform", "native"]
)


def _replace(protocol, old, new):
    for word, name in protocol.words.items():
        old = old.replace(f'"{word}"', f'"{name}"')
        new = new.replace(f'"{word}"', f'"{name}"')
    assert protocol.document.count(old) == 1, old
    return protocol.document.replace(old, new)


# Texts of the document, and what makes it invalid in their place.
KEYS_THAT_STAND_TWICE = [
    ('"version":7', '"version":7,"version":8'),
    ('"version":7', '"version":8,"v\\u0065rsion":7'),
    ('"version":7', '"version":7,"queues":[]'),
    ('"version":7', '"version":7,"services":[]'),
    ('"version":7', '"version":7,"limits":{}'),
    ('"name":"r1"', '"name":"r0","name":"r1"'),
    ('"timeout_ms":1500', '"timeout_ms":0,"timeout_ms":1500'),
    ('"service":"s1"', '"service":"s9","service":"s1"'),
    ('"name":"s1"', '"name":"s0","name":"s1"'),
    ('"header_bytes":16384', '"header_bytes":0,"header_bytes":16384'),
]
UNUSABLE_VALUES = [
    ('"max_attempts":4', '"max_attempts":0'),
    ('"header_bytes":16384', '"header_bytes":0'),
    ('"body_bytes":262144', '"body_bytes":0'),
    ('"header_ms":3000', '"header_ms":0'),
    ('"idle_ms":15000', '"idle_ms":0'),
    ('"timeout_ms":1500', '"timeout_ms":0'),
    ('"timeout_ms":1500', '"timeout_ms":-1'),
    ('"timeout_ms":1500', '"timeout_ms":1e400'),
    ('"timeout_ms":1500', '"timeout_ms":NaN'),
    ('"timeout_ms":1500', '"timeout_ms":"1500"'),
    ('"version":7', '"version":0'),
    ('"version":7', '"version":-7'),
    ('"version":7', '"version":true'),
    ('"version":7', '"version":9007199254740994'),
    ('"version":7', f'"version":{"1" * 5000}'),
    ('"service":"s1"', '"service":"s9"'),
    ('"service":"s1"', '"service":"S1"'),
]
NAMES_THAT_STAND_TWICE = [
    ('"name":"s1"', '"name":"s2"'),
    ('"name":"r1"', '"name":"r2"'),
]


@PROTOCOLS
@pytest.mark.parametrize(
    ("old", "new"),
    KEYS_THAT_STAND_TWICE + UNUSABLE_VALUES + NAMES_THAT_STAND_TWICE,
)
def test_configuration_that_is_ambiguous_or_unusable_is_rejected(
    protocol, old, new
):
    reply = protocol.write(_replace(protocol, old, new))
    assert isinstance(reply, HttpReply)
    assert 400 <= reply.status < 500


IGNORED_VALUES = [
    b'{"a":1,"a":2}',
    b'"\xff"',
    b'"\xc3"',
    b'"\xed\xa0\x80"',
    b"1e400",
    b"NaN",
    b"-Infinity",
    b'"a\nb"',
    b"01",
    b"[1,]",
    b"[" * 100_000 + b"]" * 100_000,
]


@pytest.mark.parametrize("value", IGNORED_VALUES, ids=lambda v: repr(v)[:20])
def test_field_that_is_ignored_is_read_in_full(value):
    raw = PLATFORM.document.encode()
    raw = raw.replace(b'"version":7', b'"version":7,"x":' + value)
    reply = PLATFORM.write(raw)
    assert isinstance(reply, HttpReply)
    assert reply.status == 400


@PROTOCOLS
@pytest.mark.parametrize(
    "change",
    [
        lambda raw: raw[:-1],
        lambda raw: raw + b"{}",
        lambda raw: raw + b"\x00",
        lambda raw: b"\xef\xbb\xbf" + raw,
        lambda raw: raw.decode().encode("utf-16"),
        lambda raw: raw.replace(b"a.example", b"\xff.example"),
        lambda raw: b"",
        lambda raw: b"null",
    ],
    ids=[
        "cut",
        "second-value",
        "zero-byte",
        "byte-order-mark",
        "utf-16",
        "bad-utf-8",
        "empty",
        "null",
    ],
)
def test_configuration_that_cannot_be_read_in_full_is_rejected(
    protocol, change
):
    reply = protocol.write(change(protocol.document.encode()))
    assert isinstance(reply, HttpReply)
    assert 400 <= reply.status < 500


VALID_CHANGES = [
    ('"version":7', '"version":9007199254740991'),
    ('"name":"r1"', '"name":"s1"'),
    ('"name":"r1"', '"name":"r\\u00e9"'),
    ('"timeout_ms":1500', '"timeout_ms":0.5'),
    ('"timeout_ms":1500', '"timeout_ms":1.5e3'),
    ('"priority":1', '"priority":0'),
    ('"service":"s1"', '"service":"s2"'),
]


@PROTOCOLS
@pytest.mark.parametrize(("old", "new"), VALID_CHANGES)
def test_valid_configuration_is_not_refused(protocol, old, new):
    document = _replace(protocol, old, new)
    call = protocol.write(document)
    assert isinstance(call, WriteCall)
    assert call.document == document.encode()
    assert isinstance(protocol.write(f"\n {document}\r\n\t"), WriteCall)


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ('"path_prefix":"/q2/"', '"path_prefix":"/q1/"'),
        ('"path_prefix":"/q2/"', '"path_prefix":"/q1/q2/"'),
        ('"path_prefix":"/q2/"', '"path_prefix":"/Q1/"'),
        ('"b.example","path_prefix":"/q2/"', '"a.example","path_prefix":"/q"'),
        ('"version":7', '"version":7,"x":{"version":8,"y":[{"a":1},{"a":1}]}'),
        ('"version":7', '"version":7,"x":123456789012345678901234567890'),
    ],
)
def test_document_that_the_platform_allows_is_not_refused(old, new):
    assert isinstance(PLATFORM.write(_replace(PLATFORM, old, new)), WriteCall)


def test_large_configuration_is_not_refused():
    cfg = json.loads(PLATFORM.document)
    first = cfg["routes"][0]
    cfg["routes"] = [
        {**first, "name": f"r{n}", "path_prefix": f"/q{n}/"}
        for n in range(8000)
    ]
    document = json.dumps(cfg)
    assert len(document) > 1_000_000
    assert isinstance(PLATFORM.write(document), WriteCall)
