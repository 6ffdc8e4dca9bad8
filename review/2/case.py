"""Some answers arrive spoilt: their Content-Length is less than their body. Clients must not get the cut body as served."""

import random
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import sites
from standins import (
    CannotRun,
    Closed,
    Discovery,
    Node,
    Record,
    Stream,
    accept_forever,
    address,
    entry,
    listener,
    response,
    run_case,
    temporary_folder,
    trouble,
)

NODES = 2
SERVERS = 8
CLIENTS_PER_NODE = 3
MEAN_WORK_S = 0.05
SPOILT_SHARE = 0.05
MISSING_BYTES = 20
LENGTH_S = 15


class Server:
    """Answers each request with a text that names it; the length of some answers doesn't fit."""

    def __init__(self, uid, record, made):
        self.uid, self.record, self.made = uid, record, made
        self.sock = listener()
        accept_forever(self.sock, self._serve)

    def _serve(self, sock):
        stream, rng = Stream(sock), random.Random()
        try:
            while True:
                _, headers, _ = stream.message()
                txn = headers.get("x-txn", "")
                time.sleep(rng.expovariate(1 / MEAN_WORK_S))
                body = f"{txn} was recorded by {self.uid}; listens of this episode: {rng.randrange(10**9):09}\n".encode()
                answer = response(200, body)
                is_spoilt = trouble() and rng.random() < SPOILT_SHARE
                if is_spoilt:
                    length = f"Content-Length: {len(body)}".encode()
                    answer = answer.replace(length, f"Content-Length: {len(body) - MISSING_BYTES}".encode())
                self.made.setdefault(txn, []).append((body, is_spoilt))
                self.record(f"server {self.uid} ran {txn}, answers {body.decode().strip()!r} spoilt={int(is_spoilt)}")
                sock.sendall(answer)
        except (Closed, OSError):
            sock.close()


def client(node, number, until, record, results):
    rng, sock, count = random.Random(number), None, 0
    tenants = [name for name, _, _ in sites.ISARTAL_TENANTS]
    while time.monotonic() < until:
        try:
            if sock is None:
                sock = node.connect()
                sock.settimeout(6)
                stream = Stream(sock)
            count += 1
            txn = f"{number:04x}{count:012x}"
            body = b"episode=1&listened=900"
            head = (
                f"POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Txn: {txn}\r\nX-Lane: play-report\r\n"
                f"X-Org: {rng.choice(tenants)}\r\nX-Remaining-Ms: 5000\r\nIdempotency-Key: k{txn}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            sock.sendall(head.encode() + body)
            status, headers, answer = stream.answer()
            record(f"client {number} sent {txn}, got {status} {answer.decode('latin-1').strip()!r}")
            results.append((txn, status, answer))
            if headers.get("connection", "").lower() == "close":
                sock.close()
                sock = None
        except (Closed, OSError) as error:
            record(f"client {number}: {error!r}")
            sock = None
            time.sleep(0.1)


def play():
    record = Record(HERE / "record.txt")
    made, nodes = {}, []
    with temporary_folder() as folder:
        try:
            discovery = Discovery(record)
            servers = [Server(f"s-{number}", record, made) for number in range(SERVERS)]
            zones = ["muenchen-nord", "augsburg"]
            discovery.set(*[entry(s.uid, address(s.sock), zones[n % 2], n % 2) for n, s in enumerate(servers)])
            for number in range(NODES):
                settings = sites.isartal(number, NODES, number % 2)
                nodes.append(Node(f"n{number}", discovery.address, discovery.whole(), settings, folder))
            if not all(node.wait_ready() for node in nodes):
                raise CannotRun("a node is not ready")
            results, until = [], time.monotonic() + LENGTH_S
            clients = [
                threading.Thread(target=client, args=(node, 100 * index + number, until, record, results), daemon=True)
                for index, node in enumerate(nodes)
                for number in range(CLIENTS_PER_NODE)
            ]
            for thread in clients:
                thread.start()
            for thread in clients:
                thread.join(LENGTH_S + 10)
        finally:
            for node in nodes:
                node.end()
    served = [(txn, answer) for txn, status, answer in results if status == 200]
    spoilt = sum(is_spoilt for answers in list(made.values()) for _, is_spoilt in answers)
    summary = f"requests={len(results)} served={len(served)} spoilt_answers={spoilt}"
    record(summary)
    print(summary)
    broken = [
        f"{txn} got 200 with {answer!r}, which no server made for it"
        for txn, answer in served
        if answer not in [body for body, _ in made.get(txn, [])]
    ]
    for line in broken:
        record(line)
    record.close()
    if not broken and (len(served) < 200 or (trouble() and spoilt < 5)):
        raise CannotRun("too few requests were served, or too few answers were spoilt")
    return broken


if __name__ == "__main__":
    run_case(play)
