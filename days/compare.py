#!/usr/bin/env python3
"""Plays days with seeds for two revisions on copies, without processor cost, and prints the worth of each,
the difference and its spread.

Usage: days/compare.py BENCH SITE.toml OLD NEW --days trouble-1,scale-2 [--seeds 1,2,3] [--small] [--folder F]

BENCH is the users' bench, OLD and NEW are revisions of this repository. Without seeds each day has its own.
The copies stay in the folder; their journal entries belong to this repository's journal."""
import argparse
import pathlib
import re
import statistics
import subprocess
import sys
import tempfile

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent


def checked_out(revision, folder):
    """Clones the repository at a revision, unless an earlier comparison did."""
    copy = folder / revision
    if not copy.exists():
        subprocess.run(["git", "clone", "-q", str(REPOSITORY), str(copy)], check=True)
        subprocess.run(["git", "checkout", "-q", revision], cwd=copy, check=True)
    return copy


def worth(bench, site, copy, day, seed, small):
    """Plays one day; returns its worth, or nothing if the bench gave none."""
    command = [bench, "run", site, day, "--no-cpu", "--why", f"trial: comparison of revisions, {day}, seed {seed or 'its own'}"]
    command += ["--seed", seed] if seed else []
    command += ["--small"] if small else []
    played = subprocess.run(command, cwd=copy, capture_output=True, text=True, check=False)
    found = re.search(r"^worth ([\d.]+) = ", played.stdout, re.M)
    if found is None:
        print(f"{copy.name}: {day}, seed {seed}: no worth in the bench's output:\n{played.stdout[-600:]}{played.stderr[-600:]}", file=sys.stderr)
        return None
    return float(found[1])


def main():
    flags = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    flags.add_argument("bench", type=lambda path: str(pathlib.Path(path).resolve()))
    flags.add_argument("site", type=lambda path: str(pathlib.Path(path).resolve()))
    flags.add_argument("old")
    flags.add_argument("new")
    flags.add_argument("--days", required=True)
    flags.add_argument("--seeds", default="")
    flags.add_argument("--small", action="store_true")
    flags.add_argument("--folder", type=pathlib.Path)
    given = flags.parse_args()
    folder = given.folder or pathlib.Path(tempfile.mkdtemp(prefix="compare-"))
    copies = [checked_out(revision, folder) for revision in (given.old, given.new)]
    differences = []
    print(f"{'day':<12} {'seed':<14} {'old':>6} {'new':>6} {'new-old':>8}")
    for day in given.days.split(","):
        for seed in given.seeds.split(","):
            old, new = (worth(given.bench, given.site, copy, day, seed, given.small) for copy in copies)
            if old is None or new is None:
                continue
            differences.append(new - old)
            print(f"{day:<12} {seed or 'its own':<14} {old:>6.3f} {new:>6.3f} {new - old:>+8.3f}", flush=True)
    if differences:
        spread = statistics.stdev(differences) if len(differences) > 1 else float("nan")
        print(f"mean difference {statistics.mean(differences):+.3f}, standard deviation {spread:.3f}, {len(differences)} pairs; copies in {folder}")
    return 0 if differences else 1


if __name__ == "__main__":
    sys.exit(main())
