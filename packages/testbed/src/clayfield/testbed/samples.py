"""Writes the sample files of examples/ from the workloads of the users."""

import json
import pathlib
import sys

from clayfield.testbed.mixes import MIXES, Mix

JOBS = 400
JOBS_PER_S = 40.0
SEED = 20


def make_lines(name: str) -> list[str]:
    """Returns the sample jobs of a mix as lines of JSON."""
    mix = Mix(MIXES[name], SEED)
    lines = []
    at_ms = 0.0
    for number in range(JOBS):
        at_ms += mix.draw_gap_ms(JOBS_PER_S)
        job = mix.draw()
        body = {
            "key": f"{job.kind.job}-{number}",
            "at_ms": round(at_ms, 1),
            "member": job.kind.member,
            "job": job.kind.job,
            "tasks": [
                {"job": number, "task": task, "run_ms": run_ms}
                for task, run_ms in enumerate(job.run_ms)
            ],
        }
        lines.append(json.dumps(body))
    return lines


def main() -> None:
    """Writes a file for each mix into the folder given as argument."""
    folder = pathlib.Path(sys.argv[1])
    for name in MIXES:
        text = "\n".join(make_lines(name)) + "\n"
        (folder / f"{name}.jsonl").write_text(text)


if __name__ == "__main__":
    main()
