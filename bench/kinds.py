"""Runs generated days of faults in the users' own test bench.

A day is a file for that bench: traffic and a schedule of faults. Days with a
single kind of fault and days with random pairs of kinds are written into a
folder and run with the bench's program, and a table of their results is
printed:

    python -m bench.kinds --program BENCH --site SITE.toml --folder SCRATCH

The program and the site file come with the bench and not with this project.
"""

import argparse
import concurrent.futures
import itertools
import pathlib
import random
import re
import subprocess

import msgspec

# Kinds that the bench expects in a day's `plan` instead of its `faults`.
PLANNED_KINDS = {
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
DAY_LENGTH_S = 36.0
FAULT_TIMES_S = (4.0, 13.0, 22.0)
# Used in addition to the faults that the site file lists as `troubles`.
EXTRA_FAULTS = (
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
FINAL_FAULTS = (
    {"kind": "power_off_all", "down_s": 1.0},
    {"kind": "power_off_all", "down_s": 1.0, "how": "timed"},
    {"kind": "wipe_after_ack", "down_s": 1.5},
    {"kind": "wipe_after_ack", "down_s": 1.5, "how": "oldest"},
    {"kind": "kill_all", "down_s": 1.0},
)
RESULT_ROW = re.compile(
    r"^(\S+)\s+\d+/\d+\s+([\d.]+)\s+(-?[\d.]+)\s+([\d.]+)", re.MULTILINE
)
VIOLATION = re.compile(r"BROKEN: (.*)$|^FAULT.*$|fault: .*$", re.MULTILINE)
# Row of a time window: start in seconds, six counts, worth.
WINDOW_ROW = re.compile(r"^(\d+)((?:\s+\d+){6})\s+([\d.]+)\s", re.MULTILINE)
# Row of a fault: start and end in seconds, kind.
FAULT_ROW = re.compile(r"^\s+([\d.]+) s to\s+([\d.]+) s  (\w+)", re.MULTILINE)
FINAL_FAULT_KIND = "closing"
# A window without faults has a worth of 1.0.
RECOVERED_WORTH = 0.95
# Windows this close to the final fault contain jobs that it interrupts.
FINAL_FAULT_MARGIN_S = 4.0


class DayResult:
    """Result of a day, read from the output of the bench.

    Attributes:
        name: name of the day.
        score: score that the bench printed, "-" if none.
        served: share of the worth that was served, "-" if not printed.
        lowest: lowest worth of a window of 2 s before the final fault.
        recovery_s: longest time from the start of a fault until the worth is
            normal again, in seconds.
        violation: first violated rule that the bench printed, "" for none.
    """

    __slots__ = (
        "lowest",
        "name",
        "recovery_s",
        "score",
        "served",
        "violation",
    )

    def __init__(self, name: str, printed: str):
        """Reads the result of a day.

        Args:
            name: name of the day.
            printed: output of the bench.
        """
        row = RESULT_ROW.search(printed)
        violation = VIOLATION.search(printed)
        self.name = name
        self.score = row.group(2) if row else "-"
        self.served = row.group(4) if row else "-"
        self.violation = violation.group(0) if violation else ""
        self.lowest, self.recovery_s = _measure_recovery(printed)

    @property
    def row(self) -> str:
        """The result as a row of the table."""
        cells = (
            self.name,
            self.score,
            self.served,
            self.lowest,
            self.recovery_s,
            self.violation,
        )
        return "| " + " | ".join(cells) + " |"


def _measure_recovery(printed: str) -> tuple[str, str]:
    """Returns the lowest worth and the longest recovery in seconds, as text."""
    faults = [
        (float(a), float(b), kind) for a, b, kind in FAULT_ROW.findall(printed)
    ]
    final_s = min(
        (start for start, _, kind in faults if kind == FINAL_FAULT_KIND),
        default=DAY_LENGTH_S,
    )
    windows = [
        (float(start_s), float(worth))
        for start_s, _, worth in WINDOW_ROW.findall(printed)
        if float(start_s) < final_s - FINAL_FAULT_MARGIN_S
    ]
    starts_s = sorted({s for s, _, kind in faults if kind != FINAL_FAULT_KIND})
    longest_s = 0.0
    for start_s, next_s in zip(starts_s, [*starts_s[1:], final_s], strict=True):
        recovery_times_s = [
            window_s + 2.0 - start_s
            for window_s, worth in windows
            if start_s - 2.0 < window_s < next_s - 2.0
            and worth < RECOVERED_WORTH
        ]
        longest_s = max(longest_s, max(recovery_times_s, default=0.0))
    lowest = min((worth for _, worth in windows), default=0.0)
    return f"{lowest:.2f}", f"{longest_s:.0f}"


def make_days(site: dict, pairs: int, seed: int) -> dict[str, bytes]:
    """Returns days by name: one per kind of fault, then random pairs.

    Args:
        site: contents of the site file.
        pairs: number of days with two kinds of faults.
        seed: seed of the times, the pairs and the final faults.
    """
    rng = random.Random(seed)
    kinds = [dict(fault) for fault in site["troubles"]]
    kinds += [dict(fault) for fault in EXTRA_FAULTS]
    days: dict[str, bytes] = {}
    for number, kind in enumerate(kinds):
        days[f"{number:03d}-{_label(kind)}"] = _make_day(site, [kind], rng)
    all_pairs = list(itertools.combinations(kinds, 2))
    for number, pair in enumerate(rng.sample(all_pairs, pairs)):
        name = f"p{number:03d}-{_label(pair[0])}-{_label(pair[1])}"
        days[name] = _make_day(site, list(pair), rng)
    return days


def _label(kind: dict) -> str:
    """Returns the part of a day's name for a kind of fault."""
    how = kind.get("how", "").replace(" ", "_")
    where = kind.get("on", "")
    return "_".join(part for part in (kind["kind"], where, how) if part)


def _make_day(site: dict, kinds: list[dict], rng: random.Random) -> bytes:
    """Returns the file of a day on which each kind occurs three times."""
    planned = []
    faults = []
    for kind in kinds:
        target = planned if kind["kind"] in PLANNED_KINDS else faults
        for at_s in FAULT_TIMES_S:
            at = round(at_s + rng.uniform(-1.5, 1.5), 2)
            target.append({"at": at, **kind})
    return msgspec.toml.encode(
        {
            "name": "own",
            "slot": "trouble",
            "seed": rng.randrange(1 << 30),
            "length_s": DAY_LENGTH_S,
            "one": 1.0,
            "zero": 0.0,
            "goal": {"floor": 0.0},
            "closing": dict(rng.choice(FINAL_FAULTS)),
            "plan": planned,
            "faults": faults,
            "traffic": site["traffic"],
        }
    )


def run_day(program: str, site: str, path: pathlib.Path, why: str) -> DayResult:
    """Runs a day and writes the output of the bench next to its file.

    Args:
        program: path of the bench's program.
        site: path of the site file.
        path: path of the day's file.
        why: reason of the run, for the bench's records.
    """
    command = [program, "run", site, str(path), "--why", why]
    completed = subprocess.run(
        command, capture_output=True, text=True, check=False
    )
    printed = completed.stdout + completed.stderr
    path.with_suffix(".txt").write_text(printed)
    return DayResult(path.stem, printed)


def main() -> None:
    """Writes the days, runs them and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--folder", required=True, type=pathlib.Path)
    parser.add_argument("--pairs", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--only", default="")
    flags = parser.parse_args()
    site = msgspec.toml.decode(pathlib.Path(flags.site).read_bytes())
    flags.folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for name, day in make_days(site, flags.pairs, flags.seed).items():
        if flags.only in name:
            path = flags.folder / f"{name}.toml"
            path.write_bytes(day)
            paths.append(path)

    def run_file(path: pathlib.Path) -> DayResult:
        why = f"own day {path.stem}, seed {flags.seed}"
        return run_day(flags.program, flags.site, path, why)

    print("| day | score | served | lowest 2 s | recovery s | violation |")
    print("|---|---|---|---|---|---|")
    with concurrent.futures.ThreadPoolExecutor(flags.jobs) as pool:
        for result in pool.map(run_file, paths):
            print(result.row, flush=True)


if __name__ == "__main__":
    main()
