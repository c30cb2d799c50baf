"""Implements the command `job` with the actions put, state and cancel.

A job consists of steps and is submitted to a queue of an entry node.
"""

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
    """Adds the arguments of the command `job`."""
    parser.add_argument("action", choices=ACTIONS)
    parser.add_argument("queue", help="name of the queue")
    parser.add_argument("key", help="key of the job within its queue")
    parser.add_argument(
        "file",
        nargs="?",
        default="",
        help="put: file with the job as JSON, - for standard input",
    )


async def job(ctx: Context, flags: argparse.Namespace) -> int:
    """Submits a job, prints its state or cancels it.

    `ctx.urls` are the URLs of entry nodes.
    """
    path = f"/v1/queues/{quote(flags.queue)}/jobs/{quote(flags.key)}"
    match flags.action:
        case "put":
            response = await ctx.request("PUT", path, _read_job(flags.file))
        case "state":
            response = await ctx.request("GET", path)
        case _:
            response = await ctx.request("DELETE", path)
    return _print_result(ctx, flags.key, response)


def _read_job(name: str) -> bytes:
    if not name:
        raise ExitError(
            EXIT_USAGE,
            "put: give the file of the job, or - for standard input.",
        )
    return read_file(name).encode()


def _print_result(ctx: Context, key: str, response: Response) -> int:
    """Prints the response for a job and returns the exit code."""
    document = response.json() or {}
    if response.is_ok:
        result = document.get("verdict") or document.get("state") or "cancelled"
        ctx.print({"key": key, **document}, f"{key}: {result}")
        return EXIT_OK
    detail = document.get("detail") or document.get("title") or response.status
    remedy = document.get("remedy", "")
    text = f"{key}: {document.get('code', '')} {detail}. {remedy}".strip()
    ctx.print({"key": key, **document}, text)
    return EXIT_REFUSED
