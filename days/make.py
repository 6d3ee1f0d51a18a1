#!/usr/bin/env python3
"""Writes a day of its own for each kind of trouble: one trouble, twice, at awkward moments; and each
beside a change of the configuration and a rolling restart. Usage: days/make.py SITE.toml FOLDER"""
import sys
import tomllib

TROUBLES = [
    "burst x=1.7 for_s=3.0", "shift share=0.5 for_s=6.0", "hot_tenant x=8.0 for_s=6.0",
    "retry_abuse x=3.0 share=0.3 for_s=5.0", "give_up share=0.25 for_s=5.0",
    "srv_crash share=0.2 for_s=4.0 how=", "srv_crash share=0.2 how=dark for_s=4.0",
    "srv_crash share=0.2 how=gone", "srv_crash how=domain for_s=4.0",
    "srv_grey share=0.15 x=0.45 for_s=6.0 how=errors", "srv_grey share=0.15 x=0.45 for_s=6.0 how=mute",
    "srv_grey share=0.15 x=0.45 for_s=6.0 how=hang", "srv_grey share=0.15 x=0.45 for_s=6.0 how=shed",
    "srv_grey share=0.15 x=0.45 for_s=6.0 how=reset", "srv_grey share=0.2 x=8.0 for_s=6.0 how=slow",
    "release share=0.5 x=1.0 gap_s=1.0 plan=1", "scale_in share=0.15 plan=1",
    "scale_in share=0.15 how=spot x=2.0 plan=1", "scale_in how=reclaim x=2.5 for_s=5.0 plan=1",
    "answer_lost share=0.5 x=0.05 for_s=5.0 how=reset", "answer_lost share=0.5 x=0.3 for_s=5.0",
    "garble share=0.6 x=0.05 for_s=5.0 how=", "garble share=0.6 x=0.05 for_s=5.0 how=extra",
    "garble share=0.6 x=0.05 for_s=5.0 how=unframed", "garble share=0.6 x=0.05 for_s=5.0 how=early",
    "node_kill share=0.3 for_s=3.0 how=", "node_kill share=0.3 for_s=3.0 how=power",
    "node_freeze share=0.3 for_s=4.0", "node_slow share=0.3 x=5.5 for_s=5.0",
    "roll_term share=1.0 x=1.0 gap_s=1.0 plan=1", "roll_term share=1.0 x=1.0 gap_s=1.0 how=busy plan=1",
    "roll_term share=0.3 x=1.0 gap_s=1.0 how=remove plan=1",
    "herd_kill share=0.6 for_s=2.0 how=", "herd_kill share=0.6 for_s=2.0 how=power", "add_nodes share=0.75",
    "after_ack_kill for_s=3.0 how=kill", "after_ack_kill for_s=3.0 how=timed", "hup share=0.6 gap_s=2.0 plan=1",
    "zone_cut for_s=5.0 how=reset", "zone_cut for_s=5.0 how=drop", "zone_cut for_s=5.0",
    "core_cut count=1 for_s=5.0 how=leader", "core_cut count=3 for_s=5.0 how=one_way",
    "node_cut share=0.3 for_s=5.0 how=all", "node_cut share=0.3 for_s=5.0 how=meet",
    "node_cut share=0.3 for_s=5.0 how=servers", "lossy x=0.03 for_s=5.0",
    "platform_down for_s=4.5 how=silent lapse", "platform_down for_s=4.5 how=busy lapse",
    "platform_down for_s=4.5 how=reset", "platform_down share=0.35 for_s=8.0 how=nodes busy revoke meet drain",
    "platform_down share=0.35 for_s=8.0 how=nodes silent revoke meet drain",
    "platform_down share=0.35 for_s=8.0 how=nodes many leader revoke",
    "platform_slow x=60.0 for_s=4.5", "platform_lost x=0.35 for_s=4.5 how=late",
    "platform_compact x=5.5 for_s=3.0 how=keyed drain", "platform_compact x=5.5 for_s=3.0 how=rebalance rewind",
    "config_change how=route plan=1", "config_change how=weights plan=1", "config_change how=timeout plan=1",
    "config_change how=tenant plan=1", "config_change how=idle plan=1",
    "config_storm for_s=4.0 gap_s=0.33 plan=1", "big_config count=350 plan=1", "revoke count=3 gap_s=0.5 plan=1",
    "revoke count=3 gap_s=0.5 how=last plan=1", "srv_slow share=0.2 x=4.0 for_s=5.0",
    "srv_cut share=0.2 for_s=5.0 how=some", "srv_cut share=0.2 for_s=5.0 how=fronts",
    "srv_cut share=0.2 for_s=5.0 how=one_way", "replace_with_reuse share=0.15",
    "replace_with_reuse share=0.15 how=drain", "replace_with_reuse share=0.15 how=dark",
    "scale_out share=0.3 gap_s=1.0 plan=1", "clock_step x=2000 share=0.3 for_s=5.0 how=back",
    "clock_step x=2000 share=0.3 for_s=5.0 how=ahead", "reset_conns share=0.3 x=0.5",
]


def parse(line):
    kind, rest = line.split(" ", 1)
    fields, last = {}, None
    for word in rest.split(" "):
        if "=" in word:
            last, value = word.split("=", 1)
            fields[last] = value
        else:
            fields[last] += " " + word
    planned = fields.pop("plan", None) is not None
    entry = {"kind": kind}
    for name, value in fields.items():
        entry[name] = value if name == "how" else (int(value) if name == "count" else float(value))
    return entry, planned


def show(entry):
    text = lambda value: f'"{value}"' if isinstance(value, str) else str(value)
    return "{ " + ", ".join(f"{name} = {text(value)}" for name, value in entry.items()) + " }"


def main():
    site = tomllib.load(open(sys.argv[1], "rb"))
    traffic = site["day"][0]["traffic"]
    for number, line in enumerate(TROUBLES):
        for pair in ("alone", "beside"):
            entry, planned = parse(line)
            plan, faults = [], []
            target = plan if planned else faults
            for at in (2.3, 16.7):
                target.append({"at": at, **entry})
            if pair == "beside":
                plan += [{"at": 3.1, "kind": "config_change", "how": "timeout"},
                         {"at": 17.2, "kind": "config_change", "how": "tenant"},
                         {"at": 18.0, "kind": "roll_term", "share": 1.0, "x": 1.0, "gap_s": 1.2}]
            closing = ["kill_all", "power_off_all", None][number % 3]
            how = "-".join(str(entry.get("how", "")).split())
            name = f"{number:02}-{entry['kind']}{'-' + how if how else ''}-{pair}"
            out = [f'name = "{name}"', 'slot = "trouble"', f"seed = {7000 + number}", "one = 1.0", "zero = 0.0",
                   "length_s = 34.0", "labels = []", "goal = { floor = 0.1 }"]
            if closing:
                out.append(f'closing = {{ kind = "{closing}", down_s = 1.0 }}')
            out += ["plan = [", *("  " + show(e) + "," for e in plan), "]"]
            out += ["faults = [", *("  " + show(e) + "," for e in faults), "]", "traffic = ["]
            for row in traffic:
                mix = ", ".join(f"{k} = {v}" for k, v in row["mix"].items())
                out.append(f'  {{ zone = "{row["zone"]}", mix = {{ {mix} }}, per_s = {row["per_s"]}, '
                           f'clients = {row["clients"]}, users = 1, shape = {show(row["shape"])} }},')
            out += ["]", ""]
            open(f"{sys.argv[2]}/{name}.toml", "w").write("\n".join(out))


main()
