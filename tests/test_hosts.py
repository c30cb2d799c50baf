"""Tests that a route is found by its host, in each spelling of the name."""

import json

import pytest
from clayfield_platform.callers import PlatformCallers
from clayfield_platform.operators import PlatformOperators

from clayfield.node.httpserver import HttpRequest
from clayfield.node.interfaces import CountCall, HttpReply, WriteCall
from clayfield.node.native import NativeCallers, NativeOperators
from clayfield.pool import Routes

SPELLINGS = [
    "a.example",
    "A.Example",
    "a.example.",
    "a.example:80",
    "A.EXAMPLE.:",
]


def _make_platform_document(hosts, prefixes=("/q1/", "/q2/")):
    routes = [
        {
            "name": f"r{number}",
            "host": host,
            "path_prefix": prefix,
            "timeout_ms": 1500,
            "service": "s",
        }
        for number, (host, prefix) in enumerate(
            zip(hosts, prefixes, strict=True), 1
        )
    ]
    body = {"version": 7, "routes": routes, "services": [{"name": "s"}]}
    return json.dumps(body).encode()


def _make_native_document(hosts):
    queues = [
        {"name": f"r{number}", "host": host, "timeout_ms": 1500, "service": "s"}
        for number, host in enumerate(hosts, 1)
    ]
    body = {"version": 7, "queues": queues, "services": [{"name": "s"}]}
    return json.dumps(body).encode()


def _find_on_platform(hosts, requested):
    document = _make_platform_document(hosts)
    routes = Routes(PlatformOperators().read_table(document))
    request = HttpRequest(None, "GET", "/q1/", {"host": requested}, b"")
    return PlatformCallers().read_call(request, routes)


def _find_native(hosts, requested):
    document = _make_native_document(hosts)
    routes = Routes(NativeOperators().read_table(document))
    path = "/v1/queues/r1/jobs/k"
    request = HttpRequest(None, "GET", path, {"host": requested}, b"")
    return NativeCallers().read_call(request, routes)


def _write_to_platform(document):
    request = HttpRequest(None, "PUT", "/-/config", {}, document)
    return PlatformOperators().read_call(request)


@pytest.mark.parametrize("find", [_find_on_platform, _find_native])
@pytest.mark.parametrize("requested", SPELLINGS)
@pytest.mark.parametrize("configured", SPELLINGS)
def test_route_is_found_by_each_spelling_of_its_host(
    find, configured, requested
):
    hosts = (configured, "b.example")
    assert not isinstance(find(hosts, requested), HttpReply)


@pytest.mark.parametrize("find", [_find_on_platform, _find_native])
@pytest.mark.parametrize(
    "requested", ["b.example", "example", "a.example.b", "ba.example", ""]
)
def test_route_is_not_found_by_another_host(find, requested):
    reply = find(("a.example", "b.example"), requested)
    assert isinstance(reply, HttpReply)
    assert reply.status == 404


@pytest.mark.parametrize("host", SPELLINGS)
def test_routes_with_one_prefix_and_one_host_are_refused(host):
    document = _make_platform_document(("a.example", host), ("/q/", "/q/"))
    reply = _write_to_platform(document)
    assert isinstance(reply, HttpReply)
    assert reply.status == 400
    document = _make_platform_document(("a.example", host))
    assert isinstance(_write_to_platform(document), WriteCall)


@pytest.mark.parametrize("path", ["/v1/queues/r1", "/v1/queues/r1/"])
def test_native_queue_without_trailing_slash_is_not_unknown(path):
    document = _make_native_document(("", "b.example"))
    routes = Routes(NativeOperators().read_table(document))
    request = HttpRequest(None, "GET", path, {"host": "x"}, b"")
    call = NativeCallers().read_call(request, routes)
    assert isinstance(call, CountCall)
    assert call.queue == "r1"
