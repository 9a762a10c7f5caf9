"""Stand-ins for the platform's store, engines, clients and for the machines that the system's
processes run on. They speak what PROTOCOL.md says, over loopback connections.

Python's standard library only."""

import base64
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from urllib.parse import unquote

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "tamarackdock")
HOST = "coach.example"
KEY = "k1n73hh2b9wu3fexd9dn"
TENANT = "kaje80"
MB = 1024 * 1024
HEARTBEAT = 1.2  # heartbeatMs
LOAD_TIME = 0.9  # a change of version takes 0.9 s


class Record:
    """What was sent, answered and run, one line each, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def __call__(self, who, text):
        line = f"{time.monotonic() - self.began:8.3f} {who:<12} {text}"
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()


class Message:
    """A request or a response."""

    def __init__(self, line, headers, body):
        self.line, self.headers, self.body = line, headers, body

    @property
    def status(self):
        return int(self.line.split(" ")[1])

    def get(self, name, default=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


class Closed(Exception):
    """The connection ended before a message was complete."""


class Stream:
    """A connection with a buffer."""

    def __init__(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self.buffer = bytearray()

    def fill(self):
        data = self.sock.recv(256 * 1024)
        if not data:
            raise Closed()
        self.buffer += data

    def line(self):
        while True:
            end = self.buffer.find(b"\r\n")
            if end >= 0:
                line = bytes(self.buffer[:end])
                del self.buffer[: end + 2]
                return line.decode("latin-1")
            self.fill()

    def take(self, count):
        while len(self.buffer) < count:
            self.fill()
        data = bytes(self.buffer[:count])
        del self.buffer[:count]
        return data

    def head(self):
        line = self.line()
        headers = []
        while True:
            field = self.line()
            if not field:
                return line, headers
            name, _, value = field.partition(":")
            headers.append((name.strip(), value.strip()))

    def body(self, headers, is_response=False):
        fields = {name.lower(): value for name, value in headers}
        if fields.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while True:
                size = int(self.line().split(";")[0], 16)
                if size == 0:
                    while self.line():
                        pass
                    return b"".join(parts)
                parts.append(self.take(size))
                self.take(2)
        if "content-length" in fields:
            return self.take(int(fields["content-length"]))
        if is_response:
            parts = [bytes(self.buffer)]
            while True:
                try:
                    self.buffer.clear()
                    self.fill()
                    parts.append(bytes(self.buffer))
                except Closed:
                    return b"".join(parts)
        return b""

    def message(self, is_response=False):
        line, headers = self.head()
        return Message(line, headers, self.body(headers, is_response))


def response(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Server:
    """Serves connections on a loopback address, each in a thread."""

    def __init__(self, ip):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, 0))
        self.listener.listen(512)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.run, args=(sock,), daemon=True).start()

    def run(self, sock):
        stream = Stream(sock)
        try:
            while self.serve(stream):
                pass
        except (Closed, OSError, ValueError):
            pass
        finally:
            sock.close()


class Store(Server):
    """The platform's store, in its table form."""

    ENTRIES, BYTES, PAGE_ROWS, PAGE_BYTES, ROW_BYTES = 100, MB, 500, 1_000_000, 65536

    def __init__(self, ip, record):
        self.record = record
        self.rows = {}  # (table, part, key) -> (value, version)
        self.log = []  # (version, table, part, key, value or None)
        self.version = 0
        self.changed = threading.Condition()
        self.began = time.monotonic() - 3600
        super().__init__(ip)

    def now(self):
        return (time.monotonic() - self.began) * 1000

    def put(self, table, key, value):
        """Writes a row as the operator and the engines do."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        with self.changed:
            self.apply([(table, "", key, encoded)])

    def remove(self, table, key):
        with self.changed:
            self.apply([(table, "", key, None)])

    def apply(self, writes):
        self.version += 1
        for table, part, key, value in writes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[(table, part, key)] = (value, self.version)
            self.log.append((self.version, table, part, key, value))
        self.changed.notify_all()

    def serve(self, stream):
        message = stream.message()
        method, target, _ = message.line.split(" ")
        path, _, query = target.partition("?")
        query = dict(
            (name, unquote(value))
            for name, _, value in (pair.partition("=") for pair in query.split("&") if pair)
        )
        status, body = 404, {}
        if (method, path) == ("POST", "/-/rows-tx"):
            status, body = self.transact(message.body)
        elif (method, path) == ("GET", "/-/rows-get"):
            status, body = 200, self.get_rows(query)
        elif (method, path) == ("GET", "/-/rows-feed"):
            status, body = 200, self.feed(query)
        elif (method, path) == ("GET", "/-/rows-parts"):
            with self.changed:
                parts = {p for (t, p, _) in self.rows if t == query["table"]}
            status, body = 200, {"parts": sorted(parts)}
        body["serverTimeMs"] = self.now()
        body.setdefault("rowVersion", self.version)
        data = json.dumps(body).encode()
        stream.sock.sendall(response(status, [("Content-Type", "application/json")], data))
        return True

    def transact(self, body):
        call = json.loads(body)
        conditions, puts, removes = call["expectedRev"], call["puts"], call["remove"]
        entries = len(conditions) + len(puts) + len(removes)
        too_large = [p for p in puts if len(base64.b64decode(p["value"])) > self.ROW_BYTES]
        if entries > self.ENTRIES or len(body) > self.BYTES or too_large:
            self.record("store", f"400: a transaction of {entries} entries and {len(body)} bytes")
            return 400, {}
        time.sleep(0.004)
        address = lambda row: (row["table"], row["part"], row["key"])
        with self.changed:
            for row in conditions:
                if self.rows.get(address(row), (None, 0))[1] != row["rowVersion"]:
                    return 412, {"rows": []}
            writes = [address(row) + (row["value"],) for row in puts]
            writes += [address(row) + (None,) for row in removes]
            self.apply(writes)
            return 200, {"rowVersion": self.version}

    @staticmethod
    def shown(part, key, value, version):
        row = {"part": part, "key": key, "rowVersion": version}
        row.update({"removed": True} if value is None else {"value": value})
        return row

    def get_rows(self, query):
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", self.PAGE_ROWS)), self.PAGE_ROWS)
        with self.changed:
            keys = sorted(
                key
                for (t, p, key) in self.rows
                if t == table and p == part and key >= first and (end is None or key < end)
            )
            rows, size = [], 0
            for key in keys:
                value, version = self.rows[(table, part, key)]
                size += len(value)
                if rows and (len(rows) >= limit or size > self.PAGE_BYTES):
                    break
                rows.append(self.shown(part, key, value, version))
            more = len(rows) < len(keys)
            return {"rows": rows, "hasMore": more, "rowVersion": self.version}

    def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + min(int(query.get("waitMs", 0)), 30_000) / 1000
        with self.changed:
            while True:
                newest = {}
                for version, t, part, key, value in reversed(self.log):
                    if version <= after:
                        break
                    if t == table:
                        newest.setdefault((part, key), (value, version))
                if newest or time.monotonic() >= until:
                    rows = sorted(newest.items(), key=lambda row: row[1][1])
                    rows = [self.shown(p, k, v, n) for (p, k), (v, n) in rows]
                    return {"rows": rows, "rowVersion": self.version}
                self.changed.wait(until - time.monotonic())


class Engine(Server):
    """A model engine or, with `models` empty, a server of a plain service."""

    def __init__(self, ip, name, service, zone, store, record, models=("m0",), slots=12,
                 events=4, event_ms=20, data=lambda item, n: f"{item} event {n}", work_ms=10):
        self.name, self.service, self.zone = name, service, zone
        self.store, self.record = store, record
        self.models = {model: 1 for model in models}
        self.loading_until = 0
        self.connections = set()
        self.slots, self.events, self.event_ms, self.data = slots, events, event_ms, data
        self.work_ms = work_ms
        self.sequence = 0
        self.writes = 0
        self.active = 0
        self.lock = threading.Lock()
        self.began = []  # ids of the requests that it began to run
        self.finished = set()  # ids of those whose stream it sent to its end
        self.spans = []  # id, begin and end of each run that has ended
        self.born = int(time.time() * 1000)
        self.gone = False
        super().__init__(ip)
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        while not self.gone:
            self.register()
            time.sleep(HEARTBEAT)

    def register(self):
        self.writes += 1
        models = [{"name": m, "version": v, "adapters": []} for m, v in self.models.items()]
        entry = {
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": "ready", "coldLeftMs": 0,
            "sequence": self.writes, "models": models, "born": self.born, "stage": "both",
        }
        with self.lock:
            if not self.gone:
                self.store.put("servers", self.name, entry)

    def crash(self):
        """Ends for good. The platform removes its entry after three heartbeats of silence."""
        with self.lock:
            self.gone = True
            connections = list(self.connections)
        self.listener.close()
        for sock in connections:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        remove = lambda: self.store.remove("servers", self.name)
        timer = threading.Timer(3 * HEARTBEAT, remove)
        timer.daemon = True
        timer.start()

    def run(self, sock):
        self.connections.add(sock)
        try:
            super().run(sock)
        finally:
            self.connections.discard(sock)

    def load(self, model, version):
        """Takes the time of a change of version, in which no request starts."""
        time.sleep(LOAD_TIME)
        with self.lock:
            self.models[model] = version
            self.loading_until = 0
        self.record(self.name, f"has version {version} of {model}")
        self.register()

    def serve(self, stream):
        message = stream.message()
        method, target, _ = message.line.split(" ")
        expected = message.get("X-Target-Instance", self.name)
        attempt = message.get("X-Attempt-Id")
        if expected != self.name:
            head = [("X-Attempt-Id", attempt or "-"), ("X-Not-Executed", "1")]
            stream.sock.sendall(response(421, head))
            return True
        if target == "/-/report":
            models = [{"name": m, "version": v, "adapters": []} for m, v in self.models.items()]
            body = {"stage": "both", "models": models, "busy": self.loading_until > 0,
                    "sequence": self.sequence,
                    "queued": 0, "active": self.active, "kvUsed": 0, "kvTotal": 79189,
                    "handles": 0, "born": self.born}
            head = [("Content-Type", "application/json")]
            stream.sock.sendall(response(200, head, json.dumps(body).encode()))
            return True
        if target == "/-/order":
            order = json.loads(message.body)
            with self.lock:
                has = self.models.get(order["model"], 0) >= order["version"]
                refused = order.get("expectedRev", self.sequence) != self.sequence
                refused = refused or self.loading_until > 0
                status = 200 if has else 409 if refused else 202
                if status == 202:
                    self.sequence += 1
                    self.loading_until = time.monotonic() + LOAD_TIME
            self.record(self.name, f"order of {order['holder']} with the token "
                                   f"{order['fencingToken']}: version {order['version']} of "
                                   f"{order['model']}, answered {status}")
            if status == 202:
                arguments = (order["model"], order["version"])
                threading.Thread(target=self.load, args=arguments, daemon=True).start()
            stream.sock.sendall(response(status, []))
            return True
        with self.lock:
            full = self.active >= self.slots or self.loading_until > 0
            if not full:
                self.active += 1
        if full:
            head = [("X-Attempt-Id", attempt), ("X-Not-Executed", "1")]
            stream.sock.sendall(response(503, head))
            return True
        begin = time.monotonic()
        try:
            self.began.append(attempt)
            self.record(self.name, f"runs {attempt} {method} {target} {len(message.body)} bytes")
            return self.run_request(stream, message, method, target, attempt)
        finally:
            self.spans.append((attempt, begin, time.monotonic()))
            with self.lock:
                self.active -= 1

    def head(self, attempt, model=None):
        seal = f"{self.name}.{attempt}"
        head = [("X-Attempt-Id", attempt), ("X-Server-Seal", seal)]
        if model in self.models:
            head.append(("X-Weight-Versions", self.models[model]))
        return head

    def run_request(self, stream, message, method, target, attempt):
        if not self.models:
            time.sleep(self.work_ms / 1000)
            body = f"answer to {attempt} ".encode().ljust(800, b".")
            head = self.head(attempt) + [("Content-Type", "text/plain")]
            data = response(200, head, body)
            if method == "HEAD":
                # RFC 9110: the fields of the answer to a GET, and no content.
                data = data[: -len(body)]
            stream.sock.sendall(data)
            return True
        head = ["HTTP/1.1 200 -"]
        model = message.get("X-Model")
        head += [f"{name}: {value}" for name, value in self.head(attempt, model)]
        head += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        stream.sock.sendall("\r\n".join(head).encode() + b"\r\n\r\n")
        self.begin_stream(stream)
        first = int(message.get("Last-Event-Id", 0)) + 1
        version = self.models.get(model)
        for number in range(first, self.events + 1):
            time.sleep(self.event_ms / 1000)
            changed = self.models.get(model) != version
            version = self.models.get(model)
            line = f"x-weight-versions: {version}\n" if changed else ""
            event = line.encode() + f"id: {number}\ndata: {self.data(attempt, number)}\n\n".encode()
            stream.sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        stream.sock.sendall(b"0\r\n\r\n")
        self.finished.add(attempt)
        return True

    def begin_stream(self, stream):
        """Sends what comes between the head and the first event."""


class Machine:
    """A machine that runs one process of the system. As the platform does, it kills a process that
    exceeds its memory and starts one again that has ended."""

    RESTART_DELAY = 0.5

    def __init__(self, number, store, record, directory, memory_mb, zone="hobart", name=None):
        self.name, self.record = name or f"edge-{zone}-{number}", record
        self.memory_mb = memory_mb
        ip = f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 250}.{number}"
        self.ip = ip
        self.addresses = free_addresses(ip, 4)
        callers, health, peers, metrics = self.addresses
        self.callers, self.health, self.peers = callers, health, peers
        settings = {
            "host": self.name, "data_centre": zone, "store": store.address, "seeds": [],
            "orders": None,
            "listen": {"callers": callers, "health": health, "peers": peers, "metrics": metrics},
            "bounds": {"strict_keys": True, "withdrawn_key_ms": 5000, "stop_s": 8,
                       "lease_ms": 3000, "usage_window_s": 5, "keep_results_s": 120},
            "limits": {"memory_mb": memory_mb, "cores": 0.5, "descriptors": 8200,
                       "row_bytes": 65536,
                       "store": {"reads_per_s": 2000, "part_writes_per_s": 200}},
            "scheduling": {"adaptive": False},
        }
        self.settings = settings
        self.file = os.path.join(directory, self.name + ".json")
        self.logs = os.path.join(directory, self.name)
        self.write_settings()
        self.process = None
        self.starts = 0
        self.peak = 0
        self.memory_ends = 0
        self.other_ends = 0
        self.running = True
        self.lock = threading.Lock()

    def write_settings(self):
        with open(self.file, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)

    def start(self):
        self.launch()
        threading.Thread(target=self.watch, daemon=True).start()

    def launch(self):
        log = open(f"{self.logs}.{self.starts}.log", "wb")
        self.starts += 1
        self.process = subprocess.Popen([PROGRAM, "--gateway", self.file], stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.record(self.name, f"process started, pid {self.process.pid}")

    def memory(self):
        """Returns the bytes of anonymous memory of the process."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as status:
                for line in status:
                    if line.startswith("RssAnon:"):
                        return int(line.split()[1]) * 1024
        except (OSError, ValueError):
            pass
        return 0

    def watch(self):
        while self.running:
            time.sleep(0.01)
            with self.lock:
                if not self.running:
                    return
                memory = self.memory()
                self.peak = max(self.peak, memory)
                ended = self.process.poll() is not None
                if not ended and memory > self.memory_mb * MB:
                    self.process.kill()
                    self.process.wait()
                    self.memory_ends += 1
                    ended = True
                    self.record(self.name, f"process killed by the platform: {memory / MB:.1f} MB "
                                           f"of memory, allowed are {self.memory_mb}")
                elif ended:
                    self.other_ends += 1
                    self.record(self.name, f"process ended by itself: {self.process.returncode}")
            if ended:
                time.sleep(self.RESTART_DELAY)
                with self.lock:
                    if self.running:
                        self.launch()

    def stop(self):
        self.running = False
        with self.lock:
            if self.process and self.process.poll() is None:
                self.process.kill()
                self.process.wait()


def free_addresses(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((ip, 0))
    addresses = ["%s:%d" % sock.getsockname() for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses


def connect(address, timeout):
    host, port = address.split(":")
    sock = socket.create_connection((host, int(port)), 1)
    sock.settimeout(timeout)
    return Stream(sock)


def request(address, method, path, headers=(), body=b"", timeout=10.0, host=HOST, key=KEY):
    """Sends a request on a new connection. Returns its response, or None without one."""
    try:
        stream = connect(address, timeout)
    except OSError:
        return None
    fields = [("Host", host), ("Api-Key", key), ("Content-Length", len(body))] + list(headers)
    head = f"{method} {path} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields) + "\r\n"
    try:
        stream.sock.sendall(head.encode("latin-1") + body)
        return stream.message(True)
    except (Closed, OSError, ValueError):
        # The other side may have answered before it read everything.
        try:
            return stream.message(True)
        except (Closed, OSError, ValueError):
            return None
    finally:
        stream.sock.close()


def configuration(version=1, max_body_bytes=33554432, routes=None, services=None, tenants=None):
    """The operator's configuration, with the figures of the site derwent-coach."""
    rollout = {"name": "trim", "host": HOST, "prefix": "/trim/", "kind": "rollout",
               "service": "coach-llm", "timeoutMs": 10000, "targetLatencyMs": 400, "attempts": 3,
               "itemTtlS": 40, "targetFinishMs": 7500, "priority": 0, "singleVersion": False,
               "sticky": True, "resumable": True}
    lookup = {"name": "quote", "host": HOST, "prefix": "/quote/", "kind": "idempotent",
              "service": "floor-app", "timeoutMs": 2000, "targetLatencyMs": 150, "attempts": 3,
              "priority": 2}
    return {
        "version": version,
        "routes": routes if routes is not None else [rollout, lookup],
        "services": services if services is not None else [
            {"name": "coach-llm", "coldStartS": 3, "coldPerS": 12, "healthPath": "/healthz",
             "engine": {"models": [{"name": "m0"}]}},
            {"name": "floor-app", "coldStartS": 0, "coldPerS": 0, "healthPath": "/healthz"}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": max_body_bytes,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": tenants if tenants is not None else [
            {"name": TENANT, "apiKeys": [KEY], "priority": 0}],
    }


class Deployment:
    """A store, engines and machines. Ends all processes that it started."""

    def __init__(self, record, machines=3, engines=3, apps=1, memory_mb=130, engine_args=None,
                 config=None):
        self.record = record
        self.directory = tempfile.TemporaryDirectory()
        base = f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 250}"
        self.store = Store(f"{base}.200", record)
        self.store.put("op", "config", config or configuration())
        args = engine_args or {}
        self.engines = [Engine(f"{base}.{210 + n}", f"i-{n:04x}", "coach-llm", "hobart",
                               self.store, record, **args) for n in range(engines)]
        self.apps = [Engine(f"{base}.{230 + n}", f"i-a{n:03x}", "floor-app", "hobart", self.store,
                            record, models=(), slots=6) for n in range(apps)]
        self.machines = [Machine(n + 1, self.store, record, self.directory.name, memory_mb)
                         for n in range(machines)]
        peers = [machine.peers for machine in self.machines]
        for machine in self.machines:
            machine.settings["seeds"] = peers[:3]
            machine.write_settings()

    def __enter__(self):
        for machine in self.machines:
            machine.start()
        until = time.monotonic() + 15
        for machine in self.machines:
            while time.monotonic() < until and not self.is_ready(machine):
                time.sleep(0.05)
        time.sleep(1.5)
        return self

    def is_ready(self, machine):
        answer = request(machine.health, "GET", "/-/ready", timeout=1)
        return answer is not None and answer.status == 200

    def __exit__(self, *_):
        for engine in self.engines + self.apps:
            engine.gone = True
        for machine in self.machines:
            machine.stop()
        if os.environ.get("KEEP_LOGS"):
            subprocess.call(["cp", "-r", self.directory.name, os.environ["KEEP_LOGS"]])
        self.directory.cleanup()


def job(identifier, items, body_bytes, step=0, min_version=0, tokens=1400, group_size=4,
        model="m0"):
    """A batch job whose items have bodies of a size."""
    body = base64.b64encode(os.urandom(body_bytes)).decode()
    requests = [{
        "id": f"{identifier}{n:05x}", "path": f"/trim/{n:x}/{identifier[:4]}",
        "headers": {"X-Model": model, "X-Token-Counts": f"{tokens - 400},400",
                    "X-Prompt-Prefix": f"{n // group_size:x}:{tokens - 400}"},
        "body": body, "tokens": tokens, "group": f"g{n // group_size:x}"} for n in range(items)]
    return json.dumps({
        "step": step, "model": model, "minVersion": min_version,
        "targetGroups": max(1, len(requests) // group_size * 9 // 10), "requests": requests,
    }).encode()


def submit(machine, identifier, body, timeout=15.0):
    headers = [("X-Attempt-Id", identifier), ("Content-Type", "application/json")]
    return request(machine.callers, "POST", f"/trim/{identifier[:6]}", headers, body, timeout)


def unique(prefix=""):
    return prefix + "".join(random.choice("0123456789abcdef") for _ in range(16 - len(prefix)))


class Trainer(threading.Thread):
    """A trainer: submits a step, reads its results, ends it, trains, names the next version."""

    DEADLINE = 12.0
    TRAINING = 0.5

    def __init__(self, deployment, record, name, model, groups, steps, tokens=2400):
        super().__init__(daemon=True)
        self.deployment, self.record, self.name, self.model = deployment, record, name, model
        self.groups, self.steps, self.tokens = groups, steps, tokens
        self.version = 1
        self.named_at = -1e9
        self.job = None
        self.submitted_at = 0
        self.finished = []  # (step, listed items, items, seconds)
        self.stop = False

    def run(self):
        machines = self.deployment.machines
        for step in range(self.steps):
            if self.stop:
                return
            if step:
                time.sleep(self.TRAINING)
                self.version += 1
                value = {"model": self.model, "version": self.version}
                self.deployment.store.put("op", f"version/{self.model}", value)
                self.named_at = time.monotonic()
                self.record(self.name, f"names version {self.version} of {self.model}")
            self.play(step, machines)

    def play(self, step, machines):
        self.job = unique(self.name[:2] + f"{step:02x}")
        items = self.groups * 4
        body = job(self.job, items, 600, step=step, min_version=max(1, self.version - 1),
                   tokens=self.tokens, model=self.model)
        self.submitted_at = time.monotonic()
        for number in range(20):
            answer = submit(machines[(step + number) % len(machines)], self.job, body)
            status = answer and answer.status
            self.record(self.name, f"submits step {step} as {self.job}: {status}")
            if status == 202:
                break
            time.sleep(0.3)
        listed = 0
        while time.monotonic() < self.submitted_at + self.DEADLINE and listed < items:
            time.sleep(0.25)
            machine = random.choice(machines)
            answer = request(machine.callers, "GET", f"/-/lots/{self.job}?after=0")
            if answer is not None and answer.status == 200:
                results = json.loads(answer.body)["results"]
                if len(results) != listed:
                    listed = len(results)
                    self.record(self.name, f"{listed} results of step {step} are listed")
        took = time.monotonic() - self.submitted_at
        self.finished.append((step, listed, items, took))
        self.record(self.name, f"step {step} ends with {listed} of {items} items after {took:.1f} s")
        request(machines[0].callers, "DELETE", f"/-/lots/{self.job}")


def run(main):
    """Ends the process with the result of a case, or with 2 if it could not run."""
    try:
        result = main()
    except BaseException:
        traceback.print_exc()
        result = 2
    sys.stdout.flush()
    os._exit(result)
