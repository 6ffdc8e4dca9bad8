#!/usr/bin/env python3
"""Sums the traces of many nodes, and follows one request through all of them.

    fleet_log.py seconds DIR           what all nodes did, by the second
    fleet_log.py backends DIR [FROM TO] the same by backend, the most failures first
    fleet_log.py news DIR              how long news of the list took to reach half and nine tenths of the nodes
    fleet_log.py follow DIR WORD       each line of the reqs whose X-Txn or Idempotency-Key is WORD, by time

DIR holds one log a node (*.log), written with BALANCER_TRACE=1. A number before `kitefork:` on a line, as some
collectors write it, is skipped. A node that starts anew counts its reqs and backends anew.
"""

import collections
import pathlib
import re
import sys

LINE = re.compile(r"^(?:[\d.]+ )?kitefork: (?:trace t=(\d+\.\d+) (\S+)(.*)|start )")
FIELD = re.compile(r"(\w+)=(\S+)")


def events(folder):
    """Each traced event as (time, node, word, fields), with the uid for a backend's number and the req's names."""
    for path in sorted(pathlib.Path(folder).glob("*.log")):
        uids, reqs, sends, life = {}, {}, {}, 0
        with open(path, errors="replace") as log:
            for line in log:
                found = LINE.match(line)
                if not found:
                    continue
                if found[1] is None:
                    # A start line is written before the list that the node was given.
                    uids, reqs, sends, life = {}, {}, {}, life + 1
                    continue
                fields = dict(FIELD.findall(found[3]))
                word, number = found[2], fields.get("id")
                if word == "endpoint":
                    uids[fields["b"]] = fields["uid"]
                # One for each req; its key is told after its first send, so all its events share it.
                names = reqs.setdefault(number, {}) if number else {}
                names.update((k, fields[k]) for k in ("txn", "key") if k in fields)
                if word == "send":
                    sends[number, fields["try"]] = fields["b"]
                if word == "ended":
                    fields["b"] = sends.get((number, fields["try"]), "-")
                if "b" in fields:
                    fields["uid"] = uids.get(fields["b"], "?")
                yield float(found[1]), f"{path.stem}/{life}", word, fields | {"names": names}


def from_start(folder):
    """All events by their time since the first one."""
    every = list(events(folder))
    start = min((at for at, *_ in every), default=0)
    return [(at - start, *rest) for at, *rest in every]


def table(rows, columns):
    widths = [max(len(str(row.get(c, 0))) for row in [*rows, {c: c}]) for c in columns]
    for row in [{c: c for c in columns}, *rows]:
        print("  ".join(str(row.get(c, 0)).rjust(w) for c, w in zip(columns, widths)))


def kind(word, fields):
    if word == "ended":
        return fields["outcome"]
    if word == "answer":
        return fields["what"]
    if word == "send" and fields["try"] != "0":
        return "resend"
    return word


COLUMNS = ["request", "send", "resend", "connect", "Success", "Overloaded", "ConnectFailed", "Timeout", "Error", "Reset", "Cancelled",
           "NotSent", "Rejected", "Failed", "TimedOut", "client-disconnected", "call", "call-failed", "notified"]


def seconds(folder):
    rows = collections.defaultdict(collections.Counter)
    for at, _, word, fields in from_start(folder):
        rows[int(at)][kind(word, fields)] += 1
    table([{"s": s, **rows[s]} for s in sorted(rows)], ["s", *COLUMNS])


def backends(folder, since=0.0, until=1e18):
    rows, nodes, spent = collections.defaultdict(collections.Counter), collections.defaultdict(set), collections.Counter()
    for at, node, word, fields in from_start(folder):
        uid = fields.get("uid")
        if uid is None or word == "endpoint" or not since <= at < until:
            continue
        rows[uid][kind(word, fields)] += 1
        nodes[uid].add(node)
        if fields.get("outcome") == "Success":
            spent[uid] += int(fields["us"])
    columns = ["send", "resend", "connect", "Success", "Overloaded", "ConnectFailed", "Timeout", "Error", "Reset", "Cancelled"]
    failures = lambda uid: sum(rows[uid][c] for c in columns[4:])
    table(
        [{"uid": uid, "nodes": len(nodes[uid]), "ok_ms": spent[uid] // 1000 // max(rows[uid]["Success"], 1), **rows[uid]}
         for uid in sorted(rows, key=failures, reverse=True)],
        ["uid", "nodes", "ok_ms", *columns],
    )


def news(folder):
    told, nodes = collections.defaultdict(dict), set()
    for at, node, word, fields in events(folder):
        # The same node after a restart is told anew, which is no later news.
        node = node.split("/")[0]
        nodes.add(node)
        if word == "endpoint":
            told[fields["uid"], fields["state"], fields["boot_ms"]].setdefault(node, at)
    rows = []
    for (uid, state, _), times in told.items():
        times = sorted(times.values())
        share = lambda part: f"{times[int(part * len(nodes)) - 1] - times[0]:.2f}" if len(times) >= part * len(nodes) else "-"
        rows.append({"uid": uid, "state": state, "first": f"{times[0]:.2f}", "nodes": len(times),
                     "half_s": share(0.5), "most_s": share(0.9)})
    table(sorted(rows, key=lambda row: row["first"]), ["uid", "state", "first", "nodes", "half_s", "most_s"])


def follow(folder, name):
    every = list(events(folder))
    keys = {e[3]["names"].get("key") for e in every if name in e[3]["names"].values()} - {None, "-"}
    for at, node, word, fields in sorted(every, key=lambda e: e[0]):
        names = fields.pop("names")
        if name in names.values() or names.get("key") in keys:
            print(f"{at:.6f} {node:8} {word:7} {names.get('txn')}", *(f"{k}={v}" for k, v in fields.items()))


def main():
    known = {"seconds": seconds, "backends": backends, "news": news, "follow": follow}
    if len(sys.argv) < 3 or sys.argv[1] not in known:
        sys.exit(__doc__)
    more = [float(a) if sys.argv[1] == "backends" else a for a in sys.argv[3:]]
    known[sys.argv[1]](sys.argv[2], *more)


if __name__ == "__main__":
    main()
