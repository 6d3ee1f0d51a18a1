#!/usr/bin/env python3
"""Writes sites of other shapes beside a site file: twice the workspaces, one failure domain with most
clients, a third of the engines, five daemons. Usage: days/shapes.py SITE.toml FOLDER"""
import pathlib
import re
import sys

MOST_PART = 0.8


def twice_the_workspaces(text):
    return re.sub(r"(\[tenants\]\ncount = )(\d+)", lambda found: found[1] + str(int(found[2]) * 2), text)


def one_domain_with_most_clients(text):
    """Gives the first domain of each table of traffic most of the rate, the others the rest."""
    rows = re.compile(r'^(  \{ zone = "[^"]+", mix = .*?per_s = )([\d.]+)(.*)$', re.M)
    domains = list(dict.fromkeys(re.findall(r'^  \{ zone = "([^"]+)", mix', text, re.M)))

    def move(found):
        first = f'zone = "{domains[0]}"' in found[1]
        part = MOST_PART * len(domains) if first else (1 - MOST_PART) * len(domains) / (len(domains) - 1)
        return f"{found[1]}{float(found[2]) * part:.1f}{found[3]}"

    return rows.sub(move, text)


def a_third_of_the_engines(text):
    """Divides engines, traffic and what the engines produce by three, so that each has its load."""
    line = re.compile(r"^(  \{ name = .*model = \"llm\".*)$", re.M)
    text = line.sub(lambda found: re.sub(r"count = (\d+)", lambda n: f"count = {max(1, int(n[1]) // 3)}", found[1]), text)
    for rate in (r"(mix = .*?per_s = )([\d.]+)", r"(\nfair = )([\d.]+)"):
        text = re.sub(rate, lambda found: f"{found[1]}{float(found[2]) / 3:.1f}", text)
    return text


def five_daemons(text):
    """Gives the domains five daemons in all, one or two each."""
    machines = list(re.finditer(r'class = "front".*?count = (\d+)', text))
    groups = len([found for found in machines if found.start() < text.index("services = [")])
    numbers = [5 // groups + (1 if number < 5 % groups else 0) for number in range(groups)]

    def cut(found):
        return found[1] + str(numbers.pop(0)) if numbers else found[0]

    head, tail = text.split("services = [", 1)
    return re.sub(r'(class = "front".*?count = )(\d+)', cut, head) + "services = [" + tail


SHAPES = [twice_the_workspaces, one_domain_with_most_clients, a_third_of_the_engines, five_daemons]

site = pathlib.Path(sys.argv[1])
folder = pathlib.Path(sys.argv[2])
folder.mkdir(parents=True, exist_ok=True)
text = site.read_text()
for name in ("wire.json", "CUT"):
    beside = site.with_name(name)
    if beside.exists():
        (folder / name).write_bytes(beside.read_bytes())
for shape in SHAPES:
    changed = shape(text)
    assert changed != text, f"{shape.__name__} does not fit {site}"
    changed = changed.replace(f'name = "{site.stem}"', f'name = "{site.stem}-{shape.__name__}"', 1)
    (folder / f"{site.stem}-{shape.__name__}.toml").write_text(changed)
