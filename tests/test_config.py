"""Parsing of configuration files, and deltas between configurations."""

import pathlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clayfield.config import (
    EMPTY,
    Configuration,
    Hall,
    InvalidConfigError,
    Member,
    PriorityClass,
    Service,
    decode_config,
    diff,
    encode_config,
    parse,
    patch,
)

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
TOKEN = "a" * 64
VALID = f"""\
replaces: 3
halls: {{h1: {{}}}}
classes:
  dear: {{price: 5}}
services: {{s: {{expected_ms: 90}}}}
operators: {{o: {{tokens: [{TOKEN}]}}}}
"""


@pytest.mark.parametrize("name", ["ordervaart.yaml", "ventanal.yaml"])
def test_example_files_are_valid(name):
    cfg = parse((EXAMPLES / name).read_text())
    assert cfg.version == 1
    assert decode_config(encode_config(cfg)) == cfg


@pytest.mark.parametrize(
    ("before", "after", "line", "path", "problem"),
    [
        ("price: 5", "price: dear", 4, "classes.dear.price", "Expected `int`"),
        ("price: 5", "price: -1", 4, "classes.dear.price", ">= 0"),
        ("price: 5", "cost: 5", 4, "classes.dear.cost", "unknown field"),
        ("{price: 5}", "{}", 4, "classes.dear", "price is missing"),
        ("halls: {h1: {}}", "halls: {}", 2, "halls", "no halls"),
        ("h1: {}", "H 1: {}", 2, "halls.H 1", "regex"),
        (
            "classes:",
            "classes:\n  other: {price: 5}",
            5,
            "classes.dear",
            "has the price of other",
        ),
        (
            "services:",
            "jobs: {j: {service: t, priority: dear}}\nservices:",
            5,
            "jobs.j.service",
            "'t' is not declared",
        ),
        (
            "operators:",
            f"members: {{m: {{tokens: [{TOKEN}]}}}}\noperators:",
            7,
            "operators.o",
            "shares a token",
        ),
        ("halls:", "replaces: 4\nhalls:", 2, "replaces", "stands twice"),
        (TOKEN, "secret", 6, "operators.o.tokens", "regex"),
        (f"[{TOKEN}]", "[]", 6, "operators", "no operator has a token"),
        ("dear: {", "dear: {{", 4, "", "not YAML"),
        ("replaces: 3", "replaces: 1.5", 1, "replaces", "Expected `int`"),
    ],
)
def test_error_is_reported_with_line_and_path(
    before, after, line, path, problem
):
    text = VALID.replace(before, after)
    assert text != VALID
    with pytest.raises(InvalidConfigError) as info:
        parse(text)
    reported = [
        (f.line, f.path) for f in info.value.diagnostics if problem in f.problem
    ]
    assert (line, path) in reported or (path == "" and reported[0][0] >= line)
    assert all(one.remedy for one in info.value.diagnostics)


def test_all_errors_are_reported_together():
    text = VALID.replace("price: 5", "price: x").replace("90", "0")
    with pytest.raises(InvalidConfigError) as info:
        parse(text)
    assert [one.line for one in info.value.diagnostics] == [4, 5]


NAMES = st.sampled_from(["a", "b", "c", "d"])
CONFIGURATIONS = st.builds(
    Configuration,
    halls=st.dictionaries(NAMES, st.builds(Hall)),
    classes=st.dictionaries(
        NAMES, st.builds(PriorityClass, price=st.integers(0, 9))
    ),
    services=st.dictionaries(
        NAMES, st.builds(Service, expected_ms=st.integers(1, 9))
    ),
    members=st.dictionaries(NAMES, st.builds(Member, slots=st.integers(0, 9))),
)


@given(before=CONFIGURATIONS, after=CONFIGURATIONS)
@settings(derandomize=True, database=None, deadline=None, max_examples=60)
def test_a_change_leads_from_one_configuration_to_the_next(before, after):
    after = msgspec.structs.replace(after, replaces=before.version)
    assert patch(before, diff(before, after)) == after
    first = msgspec.structs.replace(after, replaces=0)
    assert patch(EMPTY, diff(EMPTY, first)) == first
