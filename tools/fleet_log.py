#!/usr/bin/env python3
"""Summarizes the traces of many nodes, and prints all events of one request.

    fleet_log.py seconds DIR             number of events of all nodes, per second
    fleet_log.py backends DIR [FROM TO]  number of events per backend, most failures first; FROM and TO limit the
                                         time, in seconds after the first event
    fleet_log.py news DIR                time in which each change of an endpoint reached half and nine tenths of
                                         the nodes, in seconds after the first node (half_s, most_s)
    fleet_log.py follow DIR WORD         all events of the requests whose X-Txn or Idempotency-Key is WORD, by time

DIR holds one log per node (*.log), written with BALANCER_TRACE=1. A number before `kitefork:` on a line, as some
log collectors add it, is ignored. A node that restarts numbers its requests and backends anew.
"""

import collections
import pathlib
import re
import sys

TRACE_OR_START_LINE = re.compile(r"^(?:[\d.]+ )?kitefork: (?:trace t=(\d+\.\d+) (\S+)(.*)|start )")
FIELD = re.compile(r"(\w+)=(\S+)")


def events(folder):
    """Yields each trace event as (time, node/incarnation, word, fields).

    The word names the kind of event. The fields of an event about a backend get the backend's uid. The field `names`
    has the txn and key of the event's request; it is empty if the event is about no request.
    """
    for log_path in sorted(pathlib.Path(folder).glob("*.log")):
        uids, request_names, backend_by_attempt, incarnation = {}, {}, {}, 0
        with open(log_path, errors="replace") as log:
            for line in log:
                match = TRACE_OR_START_LINE.match(line)
                if not match:
                    continue
                if match[1] is None:
                    # A new process numbers its requests and backends anew; its start line precedes all its events.
                    uids, request_names, backend_by_attempt, incarnation = {}, {}, {}, incarnation + 1
                    continue
                fields = dict(FIELD.findall(match[3]))
                word, request_id = match[2], fields.get("id")
                if word == "endpoint":
                    uids[fields["b"]] = fields["uid"]
                # All events of a request share one dict, because the key is logged after the first send.
                names = request_names.setdefault(request_id, {}) if request_id else {}
                names.update((name, fields[name]) for name in ("txn", "key") if name in fields)
                if word == "send":
                    backend_by_attempt[request_id, fields["try"]] = fields["b"]
                if word == "ended":
                    fields["b"] = backend_by_attempt.get((request_id, fields["try"]), "-")
                if "b" in fields:
                    fields["uid"] = uids.get(fields["b"], "?")
                yield float(match[1]), f"{log_path.stem}/{incarnation}", word, fields | {"names": names}


def events_since_first(folder):
    """Returns all events, with the time in seconds since the first one."""
    all_events = list(events(folder))
    first_time = min((at for at, *_ in all_events), default=0)
    return [(at - first_time, *rest) for at, *rest in all_events]


def print_table(rows, columns):
    """Prints rows (dicts by column name) below a header; a missing value is 0."""
    widths = [max(len(str(row.get(column, 0))) for row in [*rows, {column: column}]) for column in columns]
    for row in [{column: column for column in columns}, *rows]:
        print("  ".join(str(row.get(column, 0)).rjust(width) for column, width in zip(columns, widths)))


def event_column(word, fields):
    """Returns the column that counts an event: its outcome, its answer, `resend` for a further attempt, or its word."""
    if word == "ended":
        return fields["outcome"]
    if word == "answer":
        return fields["what"]
    if word == "send" and fields["try"] != "0":
        return "resend"
    return word


EVENT_COLUMNS = ["request", "send", "resend", "connect", "Success", "Overloaded", "ConnectFailed", "Timeout", "Error",
                 "Reset", "Cancelled", "NotSent", "Rejected", "Failed", "TimedOut", "client-disconnected", "call",
                 "call-failed", "notified"]


def print_seconds(folder):
    rows = collections.defaultdict(collections.Counter)
    for at, _, word, fields in events_since_first(folder):
        rows[int(at)][event_column(word, fields)] += 1
    print_table([{"s": second, **rows[second]} for second in sorted(rows)], ["s", *EVENT_COLUMNS])


def print_backends(folder, from_s=0.0, to_s=1e18):
    rows, nodes, success_us = (
        collections.defaultdict(collections.Counter),
        collections.defaultdict(set),
        collections.Counter(),
    )
    for at, node, word, fields in events_since_first(folder):
        uid = fields.get("uid")
        if uid is None or word == "endpoint" or not from_s <= at < to_s:
            continue
        rows[uid][event_column(word, fields)] += 1
        nodes[uid].add(node)
        if fields.get("outcome") == "Success":
            success_us[uid] += int(fields["us"])
    columns = ["send", "resend", "connect", "Success", "Overloaded", "ConnectFailed", "Timeout", "Error", "Reset",
               "Cancelled"]
    failure_count = lambda uid: sum(rows[uid][column] for column in columns[4:])
    print_table(
        [{"uid": uid, "nodes": len(nodes[uid]), "ok_ms": success_us[uid] // 1000 // max(rows[uid]["Success"], 1),
          **rows[uid]}
         for uid in sorted(rows, key=failure_count, reverse=True)],
        ["uid", "nodes", "ok_ms", *columns],
    )


def print_propagation_times(folder):
    first_seen, nodes = collections.defaultdict(dict), set()
    for at, node, word, fields in events(folder):
        # A restarted node receives the list again; only its first event for a change counts.
        node = node.split("/")[0]
        nodes.add(node)
        if word == "endpoint":
            first_seen[fields["uid"], fields["state"], fields["boot_ms"]].setdefault(node, at)
    rows = []
    for (uid, state, _), times in first_seen.items():
        times = sorted(times.values())
        seconds_to_reach = lambda fraction: (
            f"{times[int(fraction * len(nodes)) - 1] - times[0]:.2f}" if len(times) >= fraction * len(nodes) else "-"
        )
        rows.append({"uid": uid, "state": state, "first": f"{times[0]:.2f}", "nodes": len(times),
                     "half_s": seconds_to_reach(0.5), "most_s": seconds_to_reach(0.9)})
    print_table(sorted(rows, key=lambda row: row["first"]), ["uid", "state", "first", "nodes", "half_s", "most_s"])


def print_request_events(folder, name):
    all_events = list(events(folder))
    keys = {event[3]["names"].get("key") for event in all_events if name in event[3]["names"].values()} - {None, "-"}
    for at, node, word, fields in sorted(all_events, key=lambda event: event[0]):
        names = fields.pop("names")
        if name in names.values() or names.get("key") in keys:
            print(f"{at:.6f} {node:8} {word:7} {names.get('txn')}", *(f"{key}={value}" for key, value in fields.items()))


def main():
    commands = {"seconds": print_seconds, "backends": print_backends, "news": print_propagation_times,
                "follow": print_request_events}
    if len(sys.argv) < 3 or sys.argv[1] not in commands:
        sys.exit(__doc__)
    arguments = [float(argument) if sys.argv[1] == "backends" else argument for argument in sys.argv[3:]]
    commands[sys.argv[1]](sys.argv[2], *arguments)


if __name__ == "__main__":
    main()
