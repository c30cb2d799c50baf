"""Implements the commands of the command line, except `job`.

Each command is a coroutine that prints its result and returns the exit code.
"""

import argparse
import json
import pathlib
import sys

from twisted.internet import defer, task

from clayfield.cli.client import Client, Response, gather
from clayfield.config import Configuration, InvalidConfigError, parse

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_CONFLICT = 4
EXIT_NOT_IN_FORCE = 5
HTTP_CONFLICT = 409
POLL_S = 0.25
WATCH_S = 1.0
HTTP_OK = 200


class ExitError(Exception):
    """Ends the command with an exit code and a message.

    Attributes:
        code: the exit code.
    """

    def __init__(self, code: int, message: str):
        super().__init__(message)
        self.code = code


class Context:
    """Parameters shared by all commands.

    Attributes:
        reactor: twisted's reactor.
        client: the HTTP client.
        urls: base URLs of the boxes.
        timeout_s: time limit of a request, in seconds.
        is_json: whether results are printed as JSON.
    """

    __slots__ = ("client", "is_json", "reactor", "timeout_s", "urls")

    def __init__(
        self,
        reactor: object,
        client: Client,
        urls: list[str],
        timeout_s: int,
        is_json: bool,
    ):
        self.reactor = reactor
        self.client = client
        self.urls = urls
        self.timeout_s = timeout_s
        self.is_json = is_json

    def print(self, value: object, text: str) -> None:
        """Prints a result as JSON or as text."""
        print(json.dumps(value) if self.is_json else text)

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Sends a request to one box after the other until one responds.

        Raises:
            ExitError: no box responded.
        """
        reasons = []
        for url in self.urls:
            response = defer.ensureDeferred(
                self.client.request(method, url + path, body, headers)
            )
            response.addTimeout(self.timeout_s, self.reactor)
            try:
                return await response
            except Exception as exc:
                reasons.append(f"{url}: {exc or type(exc).__name__}")
        raise ExitError(EXIT_UNREACHABLE, "; ".join(reasons))

    def progress(self, text: str) -> None:
        """Replaces the progress line, if standard error is a terminal."""
        if sys.stderr.isatty():
            print(f"\r\033[K{text}", end="", file=sys.stderr, flush=True)


def read_file(name: str) -> str:
    """Returns the text of a file, or of standard input for `-`.

    Raises:
        ExitError: the file cannot be read.
    """
    try:
        if name == "-":
            return sys.stdin.read()
        return pathlib.Path(name).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise ExitError(EXIT_USAGE, f"{name}: {exc}") from exc


def _parse(ctx: Context, name: str) -> Configuration:
    """Returns the configuration in a file; prints the errors in it.

    Raises:
        ExitError: the file cannot be read or has errors.
    """
    try:
        return parse(read_file(name))
    except InvalidConfigError as exc:
        problems = [
            {
                "line": diagnostic.line,
                "path": diagnostic.path,
                "problem": diagnostic.problem,
                "remedy": diagnostic.remedy,
            }
            for diagnostic in exc.diagnostics
        ]
        text = "\n".join(
            f"{name}: {diagnostic}" for diagnostic in exc.diagnostics
        )
        ctx.print({"faults": problems}, text)
        raise ExitError(
            EXIT_REFUSED, f"{name}: {len(problems)} errors; nothing was applied"
        ) from exc


async def check(ctx: Context, flags: argparse.Namespace) -> int:
    """Checks a configuration file without applying it."""
    cfg = _parse(ctx, flags.file)
    ctx.print({"version": cfg.version}, f"sound; would be {cfg.version}")
    return EXIT_OK


async def apply(ctx: Context, flags: argparse.Namespace) -> int:
    """Applies a configuration file."""
    _parse(ctx, flags.file)
    text = read_file(flags.file)
    response = await ctx.request("PUT", "/v1/config", text.encode())
    if not response.is_ok:
        is_conflict = response.status == HTTP_CONFLICT
        return _print_problem(
            ctx, response, EXIT_CONFLICT if is_conflict else None
        )
    version = response.json()["version"]
    if flags.wait:
        return await _wait_in_force(ctx, version)
    ctx.print({"version": version}, f"accepted as version {version}")
    return EXIT_OK


async def _wait_in_force(ctx: Context, version: int) -> int:
    """Waits until every reachable box has a version in force."""
    waited_s = 0.0
    while True:
        versions = await _read_versions(ctx)
        outdated = sorted(b for b, v in versions.items() if v and v < version)
        unreachable = sorted(b for b, v in versions.items() if not v)
        if not outdated or waited_s >= ctx.timeout_s:
            break
        ctx.progress(f"waiting for {', '.join(outdated)}")
        await task.deferLater(ctx.reactor, POLL_S)
        waited_s += POLL_S
    ctx.progress("")
    text = f"version {version} is in force"
    if outdated:
        text = f"accepted as {version}; not in force on {', '.join(outdated)}"
    if unreachable:
        text += f"; not reached: {', '.join(unreachable)}"
    ctx.print(
        {"version": version, "late": outdated, "unreached": unreachable}, text
    )
    return EXIT_NOT_IN_FORCE if outdated else EXIT_OK


async def _read_versions(ctx: Context) -> dict[str, int]:
    """Returns the version in force by box, 0 for an unreachable box.

    Empty if the box that responded refused the request.
    """
    response = await ctx.request("GET", "/v1/status")
    if not response.is_ok:
        return {}
    document = response.json()
    versions = {document["box"]: document["config_version"]}
    for peer in document["peers"]:
        is_live = peer["is_live"]
        versions[peer["box"]] = peer["config_version"] if is_live else 0
    return versions


async def show(ctx: Context, flags: argparse.Namespace) -> int:
    """Prints the configuration in force."""
    response = await ctx.request("GET", "/v1/config")
    if not response.is_ok:
        return _print_problem(ctx, response)
    print(json.dumps(response.json(), indent=None if ctx.is_json else 2))
    return EXIT_OK


async def status(ctx: Context, flags: argparse.Namespace) -> int:
    """Prints the status of each box in `ctx.urls`."""
    statuses = []
    code = EXIT_OK
    for url in ctx.urls:
        box_ctx = Context(
            ctx.reactor, ctx.client, [url], ctx.timeout_s, ctx.is_json
        )
        try:
            response = await box_ctx.request("GET", "/v1/status")
        except ExitError as exc:
            print(f"clayfield: {exc}", file=sys.stderr)
            code = EXIT_UNREACHABLE
            continue
        if not response.is_ok:
            return _print_problem(ctx, response)
        statuses.append(response.json())
    ctx.print(statuses, "\n".join(map(_format_status, statuses)))
    return code


def _format_status(box: dict) -> str:
    """Returns the status of a box as lines of text."""
    head = (
        f"{box['box']} in {box['hall']}:"
        f" {'ready' if box['is_ready'] else 'NOT READY'},"
        f" configuration {box['config_version']},"
        f" {box['open_submissions']} open submissions"
    )
    lines = [head]
    for group in box["groups"]:
        lines.append(
            f"  {group['group']}: leader {group['leader'] or 'none'},"
            f" term {group['term']}, voters {', '.join(group['voters'])}"
        )
    for peer in box["peers"]:
        state = "live" if peer["is_live"] else "silent"
        lines.append(
            f"  peer {peer['box']} in {peer['hall']}: {state},"
            f" configuration {peer['config_version']}"
        )
    return "\n".join(lines)


async def submit(ctx: Context, flags: argparse.Namespace) -> int:
    """Submits each line of a file and prints the responses.

    A line is a JSON object: the field `key` is the idempotency key, `at_ms` is
    ignored, and the other fields are the body.
    """
    submissions = []
    for number, line in enumerate(read_file(flags.file).splitlines(), 1):
        if line.strip():
            submissions.append(_read_submission(flags.file, number, line))
    completed = [0]

    async def send(key: str, body: bytes) -> dict:
        response = await ctx.request(
            "POST", "/v1/submissions", body, {"idempotency-key": key}
        )
        completed[0] += 1
        ctx.progress(f"{completed[0]} of {len(submissions)}")
        return {
            "key": key,
            "status": response.status,
            "body": response.json(),
        }

    results = await gather([send(key, body) for key, body in submissions])
    ctx.progress("")
    for result in results:
        ctx.print(
            result,
            f"{result['key']} {result['status']} {_summarize(result['body'])}",
        )
    failed = [result for result in results if result["status"] != HTTP_OK]
    return EXIT_REFUSED if failed else EXIT_OK


def _read_submission(name: str, number: int, line: str) -> tuple[str, bytes]:
    """Returns the key and the body of a submission.

    Args:
        name: name of the file, for error messages.
        number: number of the line in the file.
        line: the JSON object.

    Raises:
        ExitError: the line is malformed.
    """
    try:
        document = json.loads(line)
        key = document.pop("key")
    except (ValueError, KeyError, AttributeError, TypeError) as exc:
        raise ExitError(
            EXIT_USAGE,
            f"{name}:{number}: not a JSON object with a 'key': {exc!r}",
        ) from exc
    document.pop("at_ms", None)
    return key, json.dumps(document).encode()


def _summarize(body: dict | None) -> str:
    """Returns a response body in one line."""
    if not body:
        return ""
    if "answers" in body:
        return f"{len(body['answers'])} answers"
    return (
        f"{body.get('code')} {body.get('title')}; ran: {body.get('ran')}."
        f" {body.get('remedy')}"
    )


async def watch(ctx: Context, flags: argparse.Namespace) -> int:
    """Prints the version in force by box at each change, until stopped."""
    previous: dict[str, int] = {}
    while True:
        versions = await _read_versions(ctx)
        if versions != previous:
            previous = versions
            text = " ".join(f"{b}={v}" for b, v in sorted(versions.items()))
            ctx.print(versions, text)
            sys.stdout.flush()
        await task.deferLater(ctx.reactor, WATCH_S)


def _print_problem(
    ctx: Context, response: Response, code: int | None = None
) -> int:
    """Prints an error response and returns the exit code."""
    problem = response.json() or {}
    text = (
        f"{response.status} {problem.get('code', '')}"
        f" {problem.get('title', '')}. {problem.get('detail', '')}"
        f" {problem.get('remedy', '')}"
    )
    ctx.print(problem, text)
    return EXIT_REFUSED if code is None else code
