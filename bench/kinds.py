"""Days of single kinds of trouble, and of pairs, for the users' own bench.

Writes each day as a file into a folder, plays it with the bench's program and
prints a table of what came of it:

    python -m bench.kinds --program BENCH --site SITE.toml --folder SCRATCH

The program, the site file and the folder are arguments, since none of them
belongs to this project.
"""

import argparse
import concurrent.futures
import itertools
import pathlib
import random
import re
import subprocess

import msgspec

PLANNED = {
    "release",
    "scale_in",
    "roll_term",
    "add_nodes",
    "seed_turnover",
    "config_change",
    "config_race",
    "config_storm",
    "bad_config",
    "big_config",
    "hup",
    "replace_core",
}
LENGTH_S = 36.0
TIMES_S = (4.0, 13.0, 22.0)
# What the site's own list of troubles may not hold: kind and fields.
FURTHER = (
    {"kind": "srv_cut", "share": 0.2, "for_s": 5.0},
    {"kind": "srv_cut", "share": 0.2, "for_s": 5.0, "how": "fronts", "x": 0.3},
    {"kind": "srv_cut", "share": 0.2, "for_s": 5.0, "how": "some", "x": 0.3},
    {"kind": "srv_cut", "share": 0.2, "for_s": 5.0, "how": "one_way"},
    {"kind": "srv_cut", "share": 0.2, "for_s": 5.0, "how": "reset"},
    {"kind": "node_slow", "share": 0.15, "x": 5.0, "for_s": 5.0},
    {"kind": "node_freeze", "share": 0.3, "for_s": 4.0},
    {"kind": "node_kill", "share": 0.3},
    {"kind": "node_kill", "share": 0.3, "how": "power", "for_s": 3.0},
    {"kind": "after_ack_kill", "for_s": 2.0},
    {"kind": "after_ack_kill", "for_s": 2.0, "how": "timed"},
    {"kind": "after_ack_wipe", "for_s": 2.0},
    {"kind": "disk_slow", "count": 1, "x": 30.0, "for_s": 5.0},
    {"kind": "disk_stall", "count": 1, "for_s": 4.0, "how": "leader"},
    {"kind": "disk_full", "count": 1, "for_s": 5.0},
    {"kind": "hup", "share": 0.6, "gap_s": 2.0},
    {"kind": "reset_conns", "share": 0.4, "x": 0.8},
    {"kind": "lossy", "x": 0.05, "for_s": 5.0},
    {"kind": "big_config", "count": 300},
    {"kind": "config_storm", "for_s": 4.0, "gap_s": 0.3},
    {"kind": "applied_late", "x": 0.3, "for_s": 5.0},
    {"kind": "applied_late", "x": 0.3, "for_s": 5.0, "how": "grants"},
    {"kind": "applied_late", "x": 0.3, "for_s": 5.0, "how": "all"},
    {"kind": "srv_grey", "share": 0.15, "x": 0.6, "for_s": 5.0, "how": "mute"},
    {"kind": "srv_grey", "share": 0.15, "x": 0.6, "for_s": 5.0, "how": "reset"},
    {"kind": "srv_grey", "share": 0.15, "x": 0.6, "for_s": 5.0, "how": "busy"},
    {"kind": "srv_grey", "share": 0.15, "x": 0.6, "for_s": 5.0, "how": "shed"},
    {"kind": "zone_cut", "for_s": 5.0, "how": "refuse"},
    {"kind": "zone_cut", "for_s": 5.0, "how": "drop"},
    {"kind": "node_cut", "share": 0.3, "for_s": 5.0, "how": "all"},
    {"kind": "core_cut", "for_s": 4.0, "how": "split"},
    {"kind": "core_cut", "for_s": 4.0, "how": "behind"},
    {"kind": "core_cut", "for_s": 4.0, "how": "leader all"},
    {"kind": "core_cut", "for_s": 4.0, "how": "leader near"},
    {"kind": "core_cut", "for_s": 4.0, "how": "seeds"},
    {"kind": "core_cut", "for_s": 4.0, "how": "both"},
    {"kind": "core_cut", "for_s": 4.0, "how": "lure"},
    {"kind": "core_cut", "for_s": 4.0, "how": "relieve"},
    {"kind": "core_cut", "for_s": 4.0, "how": "oldest"},
    {"kind": "replace_core", "x": 1.0},
    {"kind": "replace_core", "x": 1.0, "how": "oldest"},
    {"kind": "roll_term", "share": 1.0, "gap_s": 1.5, "how": "busy"},
    {"kind": "roll_term", "share": 0.3, "gap_s": 1.5, "how": "remove"},
    {"kind": "clock_step", "share": 0.6, "x": 4000.0, "for_s": 5.0},
    {
        "kind": "clock_step",
        "share": 0.6,
        "x": 4000.0,
        "for_s": 5.0,
        "how": "back",
    },
    {"kind": "scale_in", "share": 0.15, "how": "spot", "x": 2.0},
    {"kind": "scale_in", "share": 0.15, "how": "reclaim", "for_s": 5.0},
)
CLOSINGS = (
    {"kind": "power_off_all", "down_s": 1.0},
    {"kind": "power_off_all", "down_s": 1.0, "how": "timed"},
    {"kind": "wipe_after_ack", "down_s": 1.5},
    {"kind": "wipe_after_ack", "down_s": 1.5, "how": "oldest"},
    {"kind": "kill_all", "down_s": 1.0},
)
VERDICT = re.compile(
    r"^(\S+)\s+\d+/\d+\s+([\d.]+)\s+(-?[\d.]+)\s+([\d.]+)", re.MULTILINE
)
BROKEN = re.compile(r"BROKEN: (.*)$|^FAULT.*$|fault: .*$", re.MULTILINE)
# Rows of the bench's tables: from second, six counts, worth; a trouble's span.
WINDOW = re.compile(r"^(\d+)((?:\s+\d+){6})\s+([\d.]+)\s", re.MULTILINE)
SPAN = re.compile(r"^\s+([\d.]+) s to\s+([\d.]+) s  (\w+)", re.MULTILINE)
CLOSING_KIND = "closing"
# A calm day's windows earn 1.0; service is back within a twentieth of that.
BACK_WORTH = 0.95
# Jobs sent so long before the final fault may be cut off by it.
CLOSING_REACH_S = 4.0


class Outcome:
    """What came of a day.

    Attributes:
        name: of the day.
        score: as the bench counts it.
        served: share of the worth that was served.
        lowest: the least worth of a window of 2 s before the final fault.
        back_s: from the beginning of a trouble until the worth is back, for
            the slowest of the day's troubles.
        broken: the broken rules, "" for none.
    """

    __slots__ = ("back_s", "broken", "lowest", "name", "score", "served")

    def __init__(self, name: str, printed: str):
        """Reads an outcome from what the bench printed."""
        verdict = VERDICT.search(printed)
        broken = BROKEN.search(printed)
        self.name = name
        self.score = verdict.group(2) if verdict else "-"
        self.served = verdict.group(4) if verdict else "-"
        self.broken = broken.group(0) if broken else ""
        self.lowest, self.back_s = _recovery(printed)

    @property
    def row(self) -> str:
        """The outcome as a row of a table."""
        cells = (
            self.name,
            self.score,
            self.served,
            self.lowest,
            self.back_s,
            self.broken,
        )
        return "| " + " | ".join(cells) + " |"


def _recovery(printed: str) -> tuple[str, str]:
    """Returns the lowest window and the slowest recovery, as texts."""
    spans = [(float(a), float(b), kind) for a, b, kind in SPAN.findall(printed)]
    closing_s = min(
        (start for start, _, kind in spans if kind == CLOSING_KIND),
        default=LENGTH_S,
    )
    windows = [
        (float(start_s), float(worth))
        for start_s, _, worth in WINDOW.findall(printed)
        if float(start_s) < closing_s - CLOSING_REACH_S
    ]
    starts_s = sorted({s for s, _, kind in spans if kind != CLOSING_KIND})
    slowest_s = 0.0
    for start_s, next_s in zip(
        starts_s, [*starts_s[1:], closing_s], strict=True
    ):
        low = [
            window_s + 2.0 - start_s
            for window_s, worth in windows
            if start_s - 2.0 < window_s < next_s - 2.0 and worth < BACK_WORTH
        ]
        slowest_s = max(slowest_s, max(low, default=0.0))
    lowest = min((worth for _, worth in windows), default=0.0)
    return f"{lowest:.2f}", f"{slowest_s:.0f}"


def make_days(site: dict, pairs: int, seed: int) -> dict[str, bytes]:
    """Returns days by name: each kind alone three times, and random pairs."""
    rng = random.Random(seed)
    kinds = [dict(one) for one in site["troubles"]]
    kinds += [dict(one) for one in FURTHER]
    days: dict[str, bytes] = {}
    for number, kind in enumerate(kinds):
        days[f"{number:03d}-{_label(kind)}"] = _day(site, [kind], rng)
    couples = list(itertools.combinations(kinds, 2))
    for number, couple in enumerate(rng.sample(couples, pairs)):
        name = f"p{number:03d}-{_label(couple[0])}-{_label(couple[1])}"
        days[name] = _day(site, list(couple), rng)
    return days


def _label(kind: dict) -> str:
    how = kind.get("how", "").replace(" ", "_")
    where = kind.get("on", "")
    return "_".join(part for part in (kind["kind"], where, how) if part)


def _day(site: dict, kinds: list[dict], rng: random.Random) -> bytes:
    planned = []
    faults = []
    for kind in kinds:
        target = planned if kind["kind"] in PLANNED else faults
        for at_s in TIMES_S:
            at = round(at_s + rng.uniform(-1.5, 1.5), 2)
            target.append({"at": at, **kind})
    return msgspec.toml.encode(
        {
            "name": "own",
            "slot": "trouble",
            "seed": rng.randrange(1 << 30),
            "length_s": LENGTH_S,
            "one": 1.0,
            "zero": 0.0,
            "goal": {"floor": 0.0},
            "closing": dict(rng.choice(CLOSINGS)),
            "plan": planned,
            "faults": faults,
            "traffic": site["traffic"],
        }
    )


def play(program: str, site: str, path: pathlib.Path, why: str) -> Outcome:
    """Plays a day and keeps what the bench prints beside it."""
    command = [program, "run", site, str(path), "--why", why]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    printed = done.stdout + done.stderr
    path.with_suffix(".txt").write_text(printed)
    return Outcome(path.stem, printed)


def main() -> None:
    """Writes the days, plays them and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--folder", required=True, type=pathlib.Path)
    parser.add_argument("--pairs", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--only", default="")
    arguments = parser.parse_args()
    site = msgspec.toml.decode(pathlib.Path(arguments.site).read_bytes())
    arguments.folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for name, day in make_days(site, arguments.pairs, arguments.seed).items():
        if arguments.only in name:
            path = arguments.folder / f"{name}.toml"
            path.write_bytes(day)
            paths.append(path)

    def play_one(path: pathlib.Path) -> Outcome:
        why = f"own day {path.stem}, seed {arguments.seed}"
        return play(arguments.program, arguments.site, path, why)

    print("| day | score | served | lowest 2 s | back after s | broken |")
    print("|---|---|---|---|---|---|")
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        for outcome in pool.map(play_one, paths):
            print(outcome.row, flush=True)


if __name__ == "__main__":
    main()
