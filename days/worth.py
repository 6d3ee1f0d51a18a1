#!/usr/bin/env python3
"""Prints where the worth of a day went: what each part of it lost and what each price took, largest
first. Usage: days/worth.py REPORT.json... (as the bench's `run --report` writes them)"""
import json
import pathlib
import sys

SHOWN = 8
LEAST = 0.0005


def losses(report):
    """Returns (what was lost, where) of parts, priced things, and the windows that lost most."""
    for name, weight, earned in report["parts"]:
        yield weight * (1.0 - earned), f"{name} {earned:.3f} (weight {weight})"
    for name, amount, price in report["prices"]:
        yield price, f"{name}: {amount:g}"


def show(path):
    report = json.loads(path.read_text())
    lost = sorted(losses(report), reverse=True)
    print(f"{path.stem}: worth {report['G']:.3f}, before prices {report['served']:.3f}")
    for amount, where in lost[:SHOWN]:
        if amount >= LEAST:
            print(f"  -{amount:.4f}  {where}")
    for kind in ("classes", "zones", "windows"):
        worst = min(report[kind], key=lambda row: row["worth"])
        print(f"  worst of {kind}: {worst['name']} {worst['worth']:.3f} of {worst['n']} asked, "
              f"{worst['refused']} refused, {worst['failed']} failed, {worst['late']} late")
    if report["breaks"]:
        print(f"  BROKEN: {report['breaks']}")


for argument in sys.argv[1:]:
    show(pathlib.Path(argument))
