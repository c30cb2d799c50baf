"""What each command of the command line does."""

import argparse
import json
import pathlib
import sys

from twisted.internet import defer, task

from clayfield.cli.client import Client, Response, gather
from clayfield.config import BadConfigError, Configuration, parse

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHED = 3
EXIT_RACE = 4
EXIT_NOT_IN_FORCE = 5
HTTP_CONFLICT = 409
POLL_S = 0.25
WATCH_S = 1.0
OK = 200


class ExitError(Exception):
    """Ends the command with a code and a message."""

    def __init__(self, code: int, message: str):
        super().__init__(message)
        self.code = code


class Context:
    """What commands share.

    Attributes:
        reactor: of twisted.
        client: sends requests.
        urls: of the boxes.
        timeout_s: longest wait.
        is_json: print results as JSON.
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
        """Prints a result in the form asked for."""
        print(json.dumps(value) if self.is_json else text)

    async def ask(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Response:
        """Asks the boxes in turn until one answers.

        Raises:
            ExitError: none did.
        """
        reasons = []
        for url in self.urls:
            asking = defer.ensureDeferred(
                self.client.request(method, url + path, body, headers)
            )
            asking.addTimeout(self.timeout_s, self.reactor)
            try:
                return await asking
            except Exception as exc:
                reasons.append(f"{url}: {exc or type(exc).__name__}")
        raise ExitError(EXIT_UNREACHED, "; ".join(reasons))

    def progress(self, text: str) -> None:
        """Shows a line that the next replaces, on a terminal only."""
        if sys.stderr.isatty():
            print(f"\r\033[K{text}", end="", file=sys.stderr, flush=True)


def read_file(name: str) -> str:
    """Returns the text of a file, or of standard input for `-`.

    Raises:
        ExitError: it cannot be read.
    """
    try:
        if name == "-":
            return sys.stdin.read()
        return pathlib.Path(name).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise ExitError(EXIT_USAGE, f"{name}: {exc}") from exc


def _parse(ctx: Context, name: str) -> Configuration:
    try:
        return parse(read_file(name))
    except BadConfigError as exc:
        faults = [
            {
                "line": fault.line,
                "path": fault.path,
                "problem": fault.problem,
                "remedy": fault.remedy,
            }
            for fault in exc.faults
        ]
        text = "\n".join(f"{name}: {fault}" for fault in exc.faults)
        ctx.print({"faults": faults}, text)
        raise ExitError(
            EXIT_REFUSED, f"{name}: {len(faults)} faults; nothing was applied"
        ) from exc


async def check(ctx: Context, flags: argparse.Namespace) -> int:
    """Checks a file."""
    cfg = _parse(ctx, flags.file)
    ctx.print({"version": cfg.version}, f"sound; would be {cfg.version}")
    return EXIT_OK


async def apply(ctx: Context, flags: argparse.Namespace) -> int:
    """Applies a file."""
    _parse(ctx, flags.file)
    text = read_file(flags.file)
    response = await ctx.ask("PUT", "/v1/config", text.encode())
    if not response.is_ok:
        is_race = response.status == HTTP_CONFLICT
        return _tell_problem(ctx, response, EXIT_RACE if is_race else None)
    version = response.json()["version"]
    if flags.wait:
        return await _wait_in_force(ctx, version)
    ctx.print({"version": version}, f"accepted as version {version}")
    return EXIT_OK


async def _wait_in_force(ctx: Context, version: int) -> int:
    waited_s = 0.0
    while True:
        reached = await _read_versions(ctx)
        late = sorted(b for b, v in reached.items() if v and v < version)
        gone = sorted(b for b, v in reached.items() if not v)
        if not late or waited_s >= ctx.timeout_s:
            break
        ctx.progress(f"waiting for {', '.join(late)}")
        await task.deferLater(ctx.reactor, POLL_S)
        waited_s += POLL_S
    ctx.progress("")
    text = f"version {version} is in force"
    if late:
        text = f"accepted as {version}; not in force on {', '.join(late)}"
    if gone:
        text += f"; not reached: {', '.join(gone)}"
    ctx.print({"version": version, "late": late, "unreached": gone}, text)
    return EXIT_NOT_IN_FORCE if late else EXIT_OK


async def _read_versions(ctx: Context) -> dict[str, int]:
    """Returns the version in force by box, 0 for one that is not reached."""
    response = await ctx.ask("GET", "/v1/status")
    if not response.is_ok:
        return {}
    seen = response.json()
    versions = {seen["box"]: seen["config_version"]}
    for peer in seen["peers"]:
        is_live = peer["is_live"]
        versions[peer["box"]] = peer["config_version"] if is_live else 0
    return versions


async def show(ctx: Context, flags: argparse.Namespace) -> int:
    """Shows the configuration in force."""
    response = await ctx.ask("GET", "/v1/config")
    if not response.is_ok:
        return _tell_problem(ctx, response)
    print(json.dumps(response.json(), indent=None if ctx.is_json else 2))
    return EXIT_OK


async def status(ctx: Context, flags: argparse.Namespace) -> int:
    """Shows what each box that is asked knows."""
    answers = []
    code = EXIT_OK
    for url in ctx.urls:
        one = Context(
            ctx.reactor, ctx.client, [url], ctx.timeout_s, ctx.is_json
        )
        try:
            response = await one.ask("GET", "/v1/status")
        except ExitError as exc:
            print(f"clayfield: {exc}", file=sys.stderr)
            code = EXIT_UNREACHED
            continue
        if not response.is_ok:
            return _tell_problem(ctx, response)
        answers.append(response.json())
    ctx.print(answers, "\n".join(map(_status_text, answers)))
    return code


def _status_text(seen: dict) -> str:
    head = (
        f"{seen['box']} in {seen['hall']}:"
        f" {'ready' if seen['is_ready'] else 'NOT READY'},"
        f" configuration {seen['config_version']},"
        f" {seen['open_submissions']} open submissions"
    )
    lines = [head]
    for group in seen["groups"]:
        lines.append(
            f"  {group['group']}: leader {group['leader'] or 'none'},"
            f" term {group['term']}, voters {', '.join(group['voters'])}"
        )
    for peer in seen["peers"]:
        state = "live" if peer["is_live"] else "silent"
        lines.append(
            f"  peer {peer['box']} in {peer['hall']}: {state},"
            f" configuration {peer['config_version']}"
        )
    return "\n".join(lines)


async def submit(ctx: Context, flags: argparse.Namespace) -> int:
    """Submits each line of a file; a line holds `key` and the body."""
    jobs = []
    for number, line in enumerate(read_file(flags.file).splitlines(), 1):
        if line.strip():
            jobs.append(_read_job(flags.file, number, line))
    done = [0]

    async def send(key: str, body: bytes) -> dict:
        response = await ctx.ask(
            "POST", "/v1/submissions", body, {"idempotency-key": key}
        )
        done[0] += 1
        ctx.progress(f"{done[0]} of {len(jobs)}")
        return {
            "key": key,
            "status": response.status,
            "body": response.json(),
        }

    results = await gather([send(key, body) for key, body in jobs])
    ctx.progress("")
    for one in results:
        ctx.print(one, f"{one['key']} {one['status']} {_short(one['body'])}")
    failed = [one for one in results if one["status"] != OK]
    return EXIT_REFUSED if failed else EXIT_OK


def _read_job(name: str, number: int, line: str) -> tuple[str, bytes]:
    try:
        job = json.loads(line)
        key = job.pop("key")
    except (ValueError, KeyError, AttributeError, TypeError) as exc:
        raise ExitError(
            EXIT_USAGE,
            f"{name}:{number}: not a JSON object with a key: {exc!r}",
        ) from exc
    job.pop("at_ms", None)
    return key, json.dumps(job).encode()


def _short(body: dict | None) -> str:
    if not body:
        return ""
    if "answers" in body:
        return f"{len(body['answers'])} answers"
    return (
        f"{body.get('code')} {body.get('title')}; ran: {body.get('ran')}."
        f" {body.get('remedy')}"
    )


async def watch(ctx: Context, flags: argparse.Namespace) -> int:
    """Shows versions in force as they change, until it is stopped."""
    before: dict[str, int] = {}
    while True:
        versions = await _read_versions(ctx)
        if versions != before:
            before = versions
            text = " ".join(f"{b}={v}" for b, v in sorted(versions.items()))
            ctx.print(versions, text)
            sys.stdout.flush()
        await task.deferLater(ctx.reactor, WATCH_S)


def _tell_problem(
    ctx: Context, response: Response, code: int | None = None
) -> int:
    problem = response.json() or {}
    text = (
        f"{response.status} {problem.get('code', '')}"
        f" {problem.get('title', '')}. {problem.get('detail', '')}"
        f" {problem.get('remedy', '')}"
    )
    ctx.print(problem, text)
    return EXIT_REFUSED if code is None else code
