"""Jobs of steps: the commands put, state and cancel."""

import argparse
from urllib.parse import quote

from clayfield.cli.client import Response
from clayfield.cli.commands import (
    EXIT_OK,
    EXIT_REFUSED,
    EXIT_USAGE,
    Context,
    ExitError,
    read_file,
)

ACTIONS = ("put", "state", "cancel")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds what the command line names beside the settings."""
    parser.add_argument("action", choices=ACTIONS)
    parser.add_argument("queue", help="the name of the queue")
    parser.add_argument("key", help="names the job within its queue")
    parser.add_argument(
        "file", nargs="?", default="", help="put: the job as JSON, - for input"
    )


async def job(ctx: Context, flags: argparse.Namespace) -> int:
    """Puts a job, tells its state or cancels it; the URLs are of entries."""
    path = f"/v1/queues/{quote(flags.queue)}/jobs/{quote(flags.key)}"
    match flags.action:
        case "put":
            answer = await ctx.ask("PUT", path, _read_job(flags.file))
        case "state":
            answer = await ctx.ask("GET", path)
        case _:
            answer = await ctx.ask("DELETE", path)
    return _tell(ctx, flags.key, answer)


def _read_job(name: str) -> bytes:
    if not name:
        raise ExitError(EXIT_USAGE, "put: name the file of the job, or -.")
    return read_file(name).encode()


def _tell(ctx: Context, key: str, answer: Response) -> int:
    said = answer.json() or {}
    if answer.is_ok:
        word = said.get("verdict") or said.get("state") or "cancelled"
        ctx.print({"key": key, **said}, f"{key}: {word}")
        return EXIT_OK
    detail = said.get("detail") or said.get("title") or answer.status
    remedy = said.get("remedy", "")
    text = f"{key}: {said.get('code', '')} {detail}. {remedy}".strip()
    ctx.print({"key": key, **said}, text)
    return EXIT_REFUSED
