"""Stand-ins of the platform and of engines, and a small cluster of gateways.

Everything listens on loopback addresses. A stand-in does what the users' pages allow and,
where they are silent, what a sound server or client does.
"""

import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "tamarackdock")
KEY = "key-1"
ACCOUNT = "tenant"
HOST = "a.example"


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


class Closed(Exception):
    """The other end has closed the connection."""


class Peer:
    """A connection on which whole HTTP/1.1 messages are read."""

    def __init__(self, connection):
        self.connection = connection
        self.buffer = b""

    def fill(self):
        data = self.connection.recv(65536)
        if not data:
            raise Closed
        self.buffer += data

    def line(self):
        while b"\r\n" not in self.buffer:
            self.fill()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def take(self, count):
        while len(self.buffer) < count:
            self.fill()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def head(self):
        first = self.line().decode("latin-1")
        fields = {}
        while True:
            line = self.line().decode("latin-1")
            if not line:
                return first, fields
            name, value = line.split(":", 1)
            fields[name.lower()] = value.strip()

    def body(self, fields):
        if fields.get("transfer-encoding", "").lower() != "chunked":
            return self.take(int(fields.get("content-length", "0")))
        body = b""
        while True:
            size = int(self.line().split(b";")[0], 16)
            if size == 0:
                while self.line():
                    pass
                return body
            body += self.take(size)
            self.line()

    def send(self, data):
        self.connection.sendall(data)

    def answer(self, status, fields, body=b""):
        lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in fields]
        lines.append(f"Content-Length: {len(body)}")
        self.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def is_closed(self):
        """Returns whether the other end has closed the connection. Reads no bytes."""
        try:
            return self.connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True


def serve(handle, address=("127.0.0.1", 0), connections=None):
    """Serves each connection in a thread of its own, and returns the listener. `handle` gets the
    peer, the first line, the fields and the body of each request; it may raise `Closed` to end
    the connection. Open connections are kept in `connections`, if given."""
    listener = socket.create_server(address, backlog=256)

    def connection_loop(connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        peer = Peer(connection)
        if connections is not None:
            connections.add(connection)
        try:
            while True:
                first, fields = peer.head()
                handle(peer, first, fields, peer.body(fields))
        except (Closed, OSError, ValueError):
            pass
        finally:
            if connections is not None:
                connections.discard(connection)
            connection.close()

    def accept_loop():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=connection_loop, args=(connection,), daemon=True).start()

    threading.Thread(target=accept_loop, daemon=True).start()
    return listener


# What the steady clock of a store shows that has run for a day.
STORE_UPTIME_MS = 24 * 3600 * 1000


class Door:
    """An address of the store for one machine, which the store can turn away."""

    def __init__(self, store):
        self.store = store
        self.is_turned_away = False
        self.address = serve(self.handle).getsockname()

    def handle(self, peer, first, fields, body):
        if self.is_turned_away:
            return peer.answer(503, [("Content-Type", "application/json")], b"{}")
        return self.store.handle(peer, first, fields, body)


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.rows = {}
        self.log = []
        self.version = 0
        self.changed = threading.Condition()
        self.began = time.monotonic()
        self.address = serve(self.handle).getsockname()

    def put(self, table, key, value):
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        self.apply([], [((table, "", key), encoded)])

    def remove(self, table, key):
        self.apply([], [((table, "", key), None)])

    def apply(self, conditions, changes):
        with self.changed:
            for key, version in conditions:
                if self.rows.get(key, (None, 0))[1] != version:
                    return None
            self.version += 1
            for key, value in changes:
                if value is None:
                    self.rows.pop(key, None)
                else:
                    self.rows[key] = (value, self.version)
                self.log.append((self.version, key, value))
            self.changed.notify_all()
            return self.version

    @staticmethod
    def row(key, value, version):
        row = {"table": key[0], "part": key[1], "key": key[2], "rowVersion": version}
        return row | ({"removed": True} if value is None else {"value": value})

    def handle(self, peer, first, _fields, body):
        path, _, query = first.split(" ")[1].partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        status, answer = {
            "/-/rows-tx": lambda: self.transact(json.loads(body)),
            "/-/rows-get": lambda: self.get(query),
            "/-/rows-feed": lambda: self.feed(query),
        }.get(path, lambda: (404, {}))()
        answer["serverTimeMs"] = STORE_UPTIME_MS + int((time.monotonic() - self.began) * 1000)
        peer.answer(status, [("Content-Type", "application/json")], json.dumps(answer).encode())

    def transact(self, call):
        time.sleep(0.004)
        key = lambda row: (row["table"], row.get("part", ""), row["key"])
        conditions = [(key(row), row["rowVersion"]) for row in call.get("expectedRev", [])]
        changes = [(key(row), row["value"]) for row in call.get("puts", [])]
        changes += [(key(row), None) for row in call.get("remove", [])]
        version = self.apply(conditions, changes)
        if version is None:
            return 412, {"rows": [], "rowVersion": self.version}
        return 200, {"rowVersion": version}

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        low, high = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", "500")), 500)
        with self.changed:
            keys = sorted(key for key in self.rows if key[:2] == (table, part)
                          and key[2] >= low and (not high or key[2] < high))
            rows = [self.row(key, *self.rows[key]) for key in keys[:limit]]
            return 200, {"rows": rows, "hasMore": len(keys) > limit, "rowVersion": self.version}

    def feed(self, query):
        after = int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        with self.changed:
            while True:
                rows = [self.row(key, value, version) for version, key, value in self.log
                        if version > after and key[0] == query["table"]]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, {"rows": rows, "rowVersion": self.version}
                self.changed.wait(left)


class Engine:
    """An engine that registers in the store. `work` gets it, the peer and each request that it
    begins to run, and answers it."""

    def __init__(self, store, name, service, zone, work, slots=16, models=()):
        self.store, self.name, self.service, self.zone = store, name, service, zone
        self.work, self.slots, self.models = work, slots, models
        self.born = int(time.time() * 1000)
        self.down = False
        self.cold_until = 0.0
        # Set after each write of the entry.
        self.written = threading.Event()
        self.connections = set()
        self.listener = serve(self.handle, connections=self.connections)
        self.address = self.listener.getsockname()
        self.register()
        threading.Thread(target=self.heartbeats, daemon=True).start()

    def register(self):
        self.store.put("servers", self.name, {
            "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": "ready",
            "coldLeftMs": max(0, int((self.cold_until - time.monotonic()) * 1000)),
            "sequence": 1, "born": self.born,
            "models": [{"name": name, "version": 1, "adapters": []} for name in self.models],
        })

    def heartbeats(self):
        while True:
            time.sleep(1.2)
            if not self.down:
                self.register()
                self.written.set()

    def crash(self, down_s):
        """Ends the engine at once. It is back under its id and address after some seconds."""
        self.down = True
        # A thread that waits in `accept` keeps a socket open that is only closed.
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in list(self.connections):
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        threading.Thread(target=self.come_back, args=(down_s,), daemon=True).start()

    def come_back(self, down_s):
        time.sleep(down_s)
        self.born = int(time.time() * 1000)
        self.listener = serve(self.handle, self.address, self.connections)
        self.down = False
        self.register()

    def handle(self, peer, first, fields, body):
        if self.down:
            raise Closed
        identity = [("X-Attempt-Id", fields.get("x-attempt-id", ""))]
        expected = fields.get("x-target-instance")
        if expected is not None and expected != self.name:
            return peer.answer(421, identity + [("X-Instance-Id", self.name)])
        if first.split(" ")[1] == "/-/report":
            report = {"stage": "both", "busy": False, "sequence": 0, "queued": 0, "active": 0,
                      "kvUsed": 0, "kvTotal": 1, "handles": 0,
                      "models": [{"name": name, "version": 1} for name in self.models]}
            return peer.answer(200, [], json.dumps(report).encode())
        return self.work(self, peer, first, fields, body)


def seal(fields):
    """Returns the fields of an answer to a request with these fields."""
    return [("X-Attempt-Id", fields.get("x-attempt-id", "")), ("X-Server-Seal", "seal")]


def free_ports(ip, count):
    listeners = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


class Gateway:
    """A process of the program, started as the deploy file says."""

    def __init__(self, directory, number, zone, store, memory_mb=130):
        self.name = f"edge-{zone}-{number}"
        self.directory = directory
        pid = os.getpid()
        self.ip = f"127.{64 + pid // 256 % 128}.{pid % 256}.{number + 1}"
        self.callers, self.health, self.peers, self.metrics = (
            f"{self.ip}:{port}" for port in free_ports(self.ip, 4))
        self.settings = os.path.join(directory, f"{self.name}.json")
        self.door = Door(store)
        self.process = None
        self.starts = 0
        self.fields = {
            "host": self.name, "data_centre": zone, "store": "%s:%d" % self.door.address,
            "orders": None,
            "listen": {"callers": self.callers, "health": self.health, "peers": self.peers,
                       "metrics": self.metrics},
            "bounds": {"strict_keys": True, "withdrawn_key_ms": 5000, "stop_s": 8,
                       "lease_ms": 3000, "usage_window_s": 5, "keep_results_s": 120},
            "limits": {"memory_mb": memory_mb, "cores": 0.5, "row_bytes": 65536,
                       "store": {"reads_per_s": 2000, "part_writes_per_s": 200}},
        }

    def start(self):
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(self.fields, file)
        log = os.path.join(self.directory, f"{self.name}.{self.starts}.log")
        self.starts += 1
        with open(log, "w", encoding="utf-8") as file:
            self.process = subprocess.Popen(
                [PROGRAM, "--gateway", self.settings], stdin=subprocess.DEVNULL, stdout=file,
                stderr=file, cwd=ROOT)

    def signal(self, number):
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None


class Cluster:
    """A store, engines and gateways, in a temporary folder. Ends all processes at the end."""

    def __init__(self, zones=("hobart", "glenorchy", "kingston")):
        if not os.path.exists(PROGRAM):
            raise FileNotFoundError("the program is not built: run the build of deploy/system.toml")
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.version = 0
        self.gateways = []
        self.zones = zones

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for gateway in self.gateways:
            if gateway.is_running():
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)

    def configure(self, routes, services, accounts=((ACCOUNT, KEY),)):
        """Writes the next configuration. A route is given by its prefix, kind, service and
        further fields."""
        self.version += 1
        entries = []
        for prefix, kind, service, more in routes:
            entry = {"name": prefix.strip("/"), "host": HOST, "prefix": prefix, "kind": kind,
                     "service": service, "timeoutMs": 10000, "targetLatencyMs": 400,
                     "attempts": 3, "priority": 0, "public": False}
            entries.append(entry | more)
        self.store.put("op", "config", {
            "version": self.version, "routes": entries, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4000000,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": name, "apiKeys": [key]} for name, key in accounts],
        })

    def start(self, count=3):
        for number in range(count):
            zone = self.zones[number % len(self.zones)]
            self.gateways.append(Gateway(self.directory, number, zone, self.store))
        for gateway in self.gateways:
            gateway.fields["seeds"] = [other.peers for other in self.gateways[:3]]
            gateway.start()
        until = time.monotonic() + 10
        for gateway in self.gateways:
            while not is_ready(gateway):
                if time.monotonic() > until:
                    raise TimeoutError(f"{gateway.name} is not ready")
                time.sleep(0.05)
        # The pages give ten seconds between the start of the machines and the traffic.
        time.sleep(3)


def open_connection(address, within=1.0):
    ip, port = address.rsplit(":", 1)
    connection = socket.create_connection((ip, int(port)), timeout=within)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return Peer(connection)


def is_ready(gateway):
    try:
        peer = open_connection(gateway.health)
        peer.send(b"GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        first, _ = peer.head()
        peer.connection.close()
        return first.split(" ")[1] == "200"
    except (OSError, Closed):
        return False


def request_bytes(method, path, identity, deadline_ms, body=b"", more=(), key=KEY):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {identity}",
             f"X-Deadline-Ms: {deadline_ms}", f"Api-Key: {key}",
             f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in more]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def call(gateway, data, within=5.0):
    """Sends a request on a new connection. Returns status and body, or `None` and the error."""
    try:
        peer = open_connection(gateway.callers)
        peer.connection.settimeout(within)
        peer.send(data)
        first, fields = peer.head()
        body = peer.body(fields)
        peer.connection.close()
        return int(first.split(" ")[1]), body
    except (OSError, Closed, ValueError) as error:
        return None, repr(error).encode()


def submission(path, items):
    """Returns the body of a batch job with these ids of items."""
    prompt = base64.b64encode(b"prompt").decode()
    headers = {"X-Model": "m0", "X-Token-Counts": "16,200", "X-Prompt-Prefix": "9c2e41:16"}
    requests = [{"id": item, "path": path + "item", "headers": headers, "body": prompt,
                 "tokens": 216, "group": item} for item in items]
    return json.dumps({"requests": requests}).encode()


def send_events(peer, fields, count, pause_s):
    """Answers an item with a stream of events, from the one that the request asks for."""
    head = seal(fields) + [("Content-Type", "text/event-stream"), ("X-Weight-Versions", "1"),
                           ("Transfer-Encoding", "chunked")]
    lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in head]
    peer.send("\r\n".join(lines).encode() + b"\r\n\r\n")
    for number in range(int(fields.get("last-event-id", "0")) + 1, count + 1):
        time.sleep(pause_s)
        event = f"id: {number}\ndata: token {number}\n\n".encode()
        peer.send(b"%x\r\n%s\r\n" % (len(event), event))
    peer.send(b"0\r\n\r\n")


def attempt_id():
    return f"{random.getrandbits(64):016x}"


def is_troubled():
    return os.environ.get("TROUBLE", "1") != "0"


def finish(record, broken, text):
    """Ends the script with the result of the case."""
    record.add(("BROKEN: " if broken else "HELD: ") + text)
    print(("broken: " if broken else "held: ") + text)
    sys.stdout.flush()
    return 1 if broken else 0


def run_case(main, folder):
    """Runs a case, and maps its failures to the status 2."""
    try:
        sys.exit(main(Record(os.path.join(folder, "record.txt"))))
    except Exception as error:  # pylint: disable=broad-except
        print(f"the case could not run: {error!r}")
        sys.exit(2)
