"""Stand-ins for clients, servers and discovery, and a starter for the node. Standard library only.

Every party listens on 127.0.0.1, on ports that the system chooses. The stand-ins keep to PROTOCOL: discovery answers
calls with the list or a watch, servers speak HTTP/1.1 with one request at a time on a connection, clients send one
request at a time on a connection.
"""

import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
MS = 1_000_000


class Record:
    """The file record.txt of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:9.4f} {text}\n")

    def close(self):
        with self.lock:
            self.file.flush()
            self.file.close()


def listener(backlog=512):
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    sock.listen(backlog)
    return sock


def free_port():
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def address(sock):
    host, port = sock.getsockname()
    return f"{host}:{port}"


def in_background(target, *args):
    thread = threading.Thread(target=target, args=args, daemon=True)
    thread.start()
    return thread


def accept_forever(sock, handle):
    """Accepts connections until the listener is closed; each one gets a thread."""

    def loop():
        while True:
            try:
                connection, _ = sock.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            in_background(handle, connection)

    return in_background(loop)


class Closed(Exception):
    """The peer has closed or reset the connection."""


class Stream:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def _more(self):
        try:
            data = self.sock.recv(65536)
        except (ConnectionError, OSError) as error:
            if isinstance(error, TimeoutError):
                raise
            raise Closed(str(error)) from error
        if not data:
            raise Closed("end of stream")
        self.buffer += data

    def head(self):
        """The start line and the headers (names in lower case); empty lines before the head are skipped."""
        while True:
            while self.buffer.startswith(b"\r\n"):
                self.buffer = self.buffer[2:]
            end = self.buffer.find(b"\r\n\r\n")
            if end >= 0:
                break
            self._more()
        lines = self.buffer[:end].decode("latin-1").split("\r\n")
        self.buffer = self.buffer[end + 4 :]
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def exactly(self, count):
        while len(self.buffer) < count:
            self._more()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def message(self):
        start, headers = self.head()
        body = self.exactly(int(headers.get("content-length", "0")))
        return start, headers, body

    def answer(self):
        """The final answer of a server or node; interim answers are skipped."""
        while True:
            start, headers = self.head()
            status = int(start.split(" ")[1])
            if status >= 200:
                return status, headers, self.exactly(int(headers.get("content-length", "0")))


def response(status, body=b"", headers=()):
    reason = {200: "OK", 500: "Internal Server Error", 503: "Service Unavailable", 404: "Not Found"}
    lines = [f"HTTP/1.1 {status} {reason.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Discovery:
    """The list of servers: the whole list on a call, and watches that tell changes and an empty line every 2 s."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Lock()
        self.rev = 1
        self.entries = {}
        self.changed_at = {}
        self.sock = listener()
        self.address = address(self.sock)
        accept_forever(self.sock, self._serve)

    def set(self, *entries):
        with self.lock:
            self.rev += 1
            for entry in entries:
                self.entries[entry["uid"]] = entry
                self.changed_at[entry["uid"]] = self.rev

    def whole(self):
        with self.lock:
            targets = [e for e in self.entries.values() if e["state"] != "Gone"]
            return {"rev": self.rev, "all": True, "targets": targets}

    def _since(self, after):
        with self.lock:
            targets = [e for uid, e in self.entries.items() if self.changed_at[uid] > after]
            return {"rev": self.rev, "all": False, "targets": targets}

    def _serve(self, sock):
        stream = Stream(sock)
        try:
            while True:
                start, _ = stream.head()
                target = start.split(" ")[1]
                if "watch=1" in target:
                    after = int(target.split("after=")[1].split("&")[0])
                    return self._watch(sock, after)
                sock.sendall(response(200, json.dumps(self.whole()).encode()))
        except (Closed, OSError):
            sock.close()

    def _watch(self, sock, after):
        def send(text):
            data = text.encode() + b"\n"
            sock.sendall(f"{len(data):x}\r\n".encode() + data + b"\r\n")

        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        update = self._since(after)
        send(json.dumps(update))
        told, quiet_since = update["rev"], time.monotonic()
        while True:
            time.sleep(0.01)
            if self.rev != told:
                update = self._since(told)
                send(json.dumps(update))
                told, quiet_since = update["rev"], time.monotonic()
            elif time.monotonic() - quiet_since >= 2:
                send("")
                quiet_since = time.monotonic()


def entry(uid, endpoint, zone, cell, model="gen2", state="Ready", boot_ms=0):
    return {
        "uid": uid,
        "endpoint": endpoint,
        "az": zone,
        "model": model,
        "pod_group": cell,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": boot_ms,
    }


class Node:
    """One node, started with the `run` line of the deploy file."""

    def __init__(self, name, discovery_address, known, settings, folder, limits=None):
        self.name = name
        self.address = f"127.0.0.1:{free_port()}"
        self.host, self.port = "127.0.0.1", int(self.address.split(":")[1])
        config = {
            "name": name,
            "listen": self.address,
            "discovery": discovery_address,
            "seed": "8c1f30d27a5be964",
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": settings,
        }
        path = Path(folder) / f"{name}.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        self.log_path = Path(folder) / f"{name}.log"
        deploy_file = (ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8")
        run = re.search(r'^run = "(.*)"', deploy_file, re.MULTILINE).group(1)
        environment = dict(
            os.environ,
            BALANCER_NAME=name,
            BALANCER_LISTEN=self.address,
            BALANCER_DISCOVERY=discovery_address,
            BALANCER_CONFIG=str(path),
            TMPDIR=str(folder),
        )
        self.log = open(self.log_path, "wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=self.log, stderr=self.log
        )

    def wait_ready(self, timeout=30):
        """Whether /_health has answered 200 within the time."""
        until = time.monotonic() + timeout
        while time.monotonic() < until and self.process.poll() is None:
            try:
                with socket.create_connection((self.host, self.port), 1) as sock:
                    sock.sendall(b"GET /_health HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
                    if Stream(sock).answer()[0] == 200:
                        return True
            except (Closed, OSError):
                pass
            time.sleep(0.05)
        return False

    def connect(self):
        sock = socket.create_connection((self.host, self.port), 2)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def has_ended(self):
        return self.process.poll() is not None

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.log.close()


def temporary_folder():
    return tempfile.TemporaryDirectory(prefix="review-")


def trouble():
    """Whether the case plays its disruption: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


def stop_on_signals():
    """Makes SIGTERM and SIGINT end the case by an exception, so that its processes are ended too."""

    def on_signal(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, on_signal)


class CannotRun(Exception):
    """The case could not run; its script exits with 2."""


def run_case(play):
    """Runs `play`, which returns the lines that say how the rule was broken, and ends with the exit code."""
    stop_on_signals()
    try:
        broken = play()
    except (Exception, KeyboardInterrupt) as error:
        # Python's own exit code for an unexpected error is 1, which here says that the rule was broken.
        print(f"could not run: {error!r}")
        os._exit(2)
    for line in broken[:20]:
        print(line)
    print(f"trouble={int(trouble())} broken={len(broken)}: the rule {'was broken' if broken else 'held'}", flush=True)
    # Threads of the stand-ins may still wait for something: they end with the process.
    os._exit(1 if broken else 0)
