"""Stand-ins of the platform for the cases from review/6 on: store, engines, clients.

Standard library only. All of them run in one asyncio loop; the system's own programs run as
separate processes. Every address is a loopback address.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "tamarackdock")
HOST = "127.0.0.1"


def run_case(case, folder):
    """Runs a case: `case(record, directory, has_trouble)` returns whether the rule held. Exits with
    0 if it held, 1 if it was broken and 2 if the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    directory = tempfile.mkdtemp()
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def run():
        try:
            return await case(record, directory, has_trouble)
        finally:
            Node.end_all()
            # Time in which the stand-ins see that the connections are closed.
            await asyncio.sleep(0.2)

    try:
        code = 0 if asyncio.run(run()) else 1
    except Exception:
        traceback.print_exc()
        code = 2
    finally:
        Node.end_all()
        shutil.rmtree(directory, ignore_errors=True)
        record.close()
    sys.exit(code)


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def add(self, *words):
        self.file.write(f"{time.monotonic() - self.start:9.3f} {' '.join(str(w) for w in words)}\n")

    def close(self):
        self.file.close()


async def read_message(reader):
    """Reads a message with a length or in chunks. Returns its first line, fields and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += data[:-2]
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return lines[0], fields, body


def message(line, fields, body=b""):
    head = [line] + [f"{name}: {value}" for name, value in fields.items()]
    head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode("latin-1") + body


async def serve(handler, port=0):
    """Accepts connections on a loopback address. Returns the server and its address."""

    async def connected(reader, writer):
        try:
            await handler(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connected, HOST, port, limit=1 << 24)
    return server, server.sockets[0].getsockname()[:2]


class Store:
    """The platform's store: rows, transactions and feeds."""

    def __init__(self):
        self.rows = {}
        self.log = []
        self.version = 0
        self.changed = asyncio.Event()

    async def start(self):
        self.server, self.address = await serve(self.handle)
        return self

    def now_ms(self):
        return 3_600_000 + int(time.monotonic() * 1000) % 1_000_000_000

    def apply(self, conditions, changes):
        for key, wanted in conditions:
            if self.rows.get(key, (None, 0))[1] != wanted:
                return None
        self.version += 1
        for key, value in changes:
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (value, self.version)
            self.log.append((self.version, key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def put(self, table, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return self.apply([], [((table, "", key), text)])

    def remove(self, table, key):
        return self.apply([], [((table, "", key), None)])

    async def handle(self, reader, writer):
        while True:
            line, _, body = await read_message(reader)
            _, target, _ = line.split(" ")
            path, _, query_text = target.partition("?")
            query = dict(pair.split("=", 1) for pair in query_text.split("&") if "=" in pair)
            query = {name: unquote(value) for name, value in query.items()}
            status, answer = await self.answer(path, query, body)
            await asyncio.sleep(0.004)
            answer["serverTimeMs"] = self.now_ms()
            writer.write(message(f"HTTP/1.1 {status} Answer", {"Content-Type": "application/json"},
                                 json.dumps(answer).encode()))
            await writer.drain()

    async def answer(self, path, query, body):
        if path == "/-/rows-tx":
            call = json.loads(body)
            key = lambda row: (row["table"], row["part"], row["key"])
            conditions = [(key(row), row["rowVersion"]) for row in call.get("expectedRev", [])]
            changes = [(key(row), row["value"]) for row in call.get("puts", [])]
            changes += [(key(row), None) for row in call.get("remove", [])]
            version = self.apply(conditions, changes)
            if version is None:
                rows = [self.row(key, *self.rows[key]) for key, _ in conditions if key in self.rows]
                return 412, {"rows": rows, "rowVersion": self.version}
            return 200, {"rowVersion": version}
        if path == "/-/rows-get":
            limit = min(int(query.get("limit", 500)), 500)
            table, part = query.get("table", ""), query.get("part", "")
            first, last = query.get("from", ""), query.get("to", "")
            found = sorted(key for key in self.rows if key[0] == table and key[1] == part
                           and key[2] >= first and (not last or key[2] < last))
            page, size = [], 0
            for key in found[:limit]:
                size += len(self.rows[key][0])
                if page and size > 1_000_000:
                    break
                page.append(self.row(key, *self.rows[key]))
            return 200, {"rows": page, "hasMore": len(page) < len(found), "rowVersion": self.version}
        if path == "/-/rows-feed":
            until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
            after, table = int(query["after"]), query["table"]
            while True:
                rows = [self.row(key, value, version) for version, key, value in self.log
                        if version > after and key[0] == table]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, {"rows": rows, "rowVersion": self.version}
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        return 404, {}

    @staticmethod
    def row(key, value, version):
        row = {"table": key[0], "part": key[1], "key": key[2], "rowVersion": version}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = value
        return row


def unquote(text):
    out, index, raw = bytearray(), 0, text.encode()
    while index < len(raw):
        if raw[index:index + 1] == b"%":
            out.append(int(raw[index + 1:index + 3], 16))
            index += 3
        else:
            out.append(raw[index])
            index += 1
    return out.decode()


class Engine:
    """A sound engine of a plain service or of a model, which registers in the store."""

    def __init__(self, store, record, identity, service, zone, slots=8, work=0.03, models=(),
                 heartbeat=1.2):
        self.store, self.record, self.id = store, record, identity
        self.service, self.zone, self.slots, self.work = service, zone, slots, work
        self.models, self.heartbeat = models, heartbeat
        self.versions = {name: 1 for name in models}
        self.sequence, self.beats, self.loading = 0, 0, None
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.registered = True
        self.arrivals = []
        self.running = 0
        self.writers = set()
        self.software = "1.0"

    async def start(self):
        self.server, self.address = await serve(self.handle)
        self.register()
        self.beat = asyncio.create_task(self.keep_registered())
        return self

    def register(self):
        self.beats += 1
        entry = {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
                 "version": self.software, "slots": self.slots, "state": self.state,
                 "coldLeftMs": 0, "sequence": self.beats, "born": self.born}
        if self.models:
            entry["stage"] = "both"
            entry["models"] = self.loaded()
        return self.store.put("servers", self.id, entry)

    def loaded(self):
        return [{"name": name, "version": version, "adapters": []}
                for name, version in self.versions.items()]

    def order(self, body):
        """Handles an order to change the weights of a model. Returns the status."""
        order = json.loads(body)
        if self.loading or order.get("expectedRev", self.sequence) != self.sequence:
            return 409
        if self.versions[order["model"]] == order["version"]:
            return 200
        self.sequence += 1
        self.loading = order["model"]
        self.record.add("engine", self.id, "loads", order["model"], order["version"], "token",
                        order["fencingToken"])

        async def load():
            await asyncio.sleep(0.9)
            self.versions[order["model"]] = order["version"]
            self.loading = None
            self.register()

        asyncio.create_task(load())
        return 202

    async def keep_registered(self):
        while True:
            await asyncio.sleep(self.heartbeat)
            if self.registered:
                self.register()

    async def stop(self):
        """Ends the engine as its process does: connections close, the entry is removed."""
        self.registered = False
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def handle(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields, body = await read_message(reader)
                if not await self.answer(line, fields, body, writer):
                    return
        finally:
            self.writers.discard(writer)

    def fields(self, identity):
        answer = {"X-Attempt-Id": identity, "Keep-Alive": "timeout=8"}
        if self.state == "draining":
            answer["Server-Leaving"] = "1"
            answer["Connection"] = "close"
        return answer

    async def answer(self, line, fields, body, writer):
        method, path, _ = line.split(" ")
        identity = fields.get("x-attempt-id", "")
        if fields.get("x-target-instance", self.id) != self.id:
            writer.write(message("HTTP/1.1 421 Misdirected Request", {"X-Instance-Id": self.id}))
            return True
        if path == "/-/report":
            report = {"stage": "both", "models": self.loaded(), "busy": bool(self.loading),
                      "sequence": self.sequence, "queued": 0, "active": self.running, "kvUsed": 0,
                      "kvTotal": 90000, "handles": 0}
            writer.write(message("HTTP/1.1 200 OK", {"Content-Type": "application/json"},
                                 json.dumps(report).encode()))
            return True
        if path == "/-/order":
            writer.write(message(f"HTTP/1.1 {self.order(body)} Answer", {}))
            return True
        if self.loading and self.loading == fields.get("x-model"):
            writer.write(message("HTTP/1.1 503 Service Unavailable",
                                 {"X-Attempt-Id": identity, "X-Not-Executed": "1"}))
            return True
        self.arrivals.append((time.monotonic(), identity, path))
        self.record.add("engine", self.id, "begins", identity, path)
        self.running += 1
        try:
            await self.run(method, path, fields, body, identity, writer)
        finally:
            self.running -= 1
        return self.state == "ready"

    async def run(self, method, path, fields, body, identity, writer):
        await asyncio.sleep(self.work)
        answer = self.fields(identity)
        answer["X-Server-Seal"] = f"seal.{identity}"
        writer.write(message("HTTP/1.1 200 OK", answer, f"answer of {self.id} to {identity}".encode()))
        await writer.drain()
        self.record.add("engine", self.id, "answered", identity)


class ModelEngine(Engine):
    """A sound model engine: each request is a stream of `events` events, one each `gap` seconds. It
    rejects requests that are larger than its `memory` in tokens, whose deadline has passed, or for
    which it has no slot; it has not run these."""

    def __init__(self, *arguments, events, gap, memory, **options):
        super().__init__(*arguments, **options)
        self.events, self.gap, self.memory = events, gap, memory
        self.rejected, self.finished = [], set()

    def rejects(self, fields):
        """Returns why a request is rejected, or `None`."""
        tokens = sum(int(count) for count in fields.get("x-token-counts", "0").split(","))
        if tokens > self.memory:
            return f"{tokens} tokens"
        if int(fields.get("x-deadline-ms", "1")) <= 0:
            return "X-Deadline-Ms: " + fields["x-deadline-ms"]
        return "no slot" if self.running >= self.slots else None

    async def answer(self, line, fields, body, writer):
        path = line.split(" ")[1]
        reason = None if path.startswith("/-/") else self.rejects(fields)
        if reason is None:
            return await super().answer(line, fields, body, writer)
        name = fields["x-attempt-id"]
        self.rejected.append(name)
        self.record.add("engine", self.id, "rejects", name, path, "for", reason)
        writer.write(message("HTTP/1.1 503 Service Unavailable",
                             {"X-Attempt-Id": name, "X-Not-Executed": "1"}))
        return True

    async def run(self, method, path, fields, body, name, writer):
        last = int(fields.get("last-event-id", "0"))
        head = {**self.fields(name), "X-Server-Seal": f"seal.{name}",
                "X-Weight-Versions": self.versions[fields["x-model"]],
                "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        lines = "".join(f"{field}: {value}\r\n" for field, value in head.items())
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        for number in range(last + 1, self.events + 1):
            await asyncio.sleep(self.gap)
            event = f"id: {number}\ndata: {name} {number}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record.add("engine", self.id, "finished", name)
        self.finished.add(name)


class Node:
    """A process of the system, with the settings of deploy/settings.json for a small deployment."""

    started = []

    def __init__(self, directory, name, zone, store):
        self.directory, self.name = directory, name
        ports = free_ports(4)
        self.front, self.ready, self.control, self.metrics = [(HOST, port) for port in ports]
        text = lambda address: "%s:%d" % tuple(address)
        self.settings = {
            "host": name, "data_centre": zone,
            "listen": {"callers": text(self.front), "health": text(self.ready),
                       "peers": text(self.control), "metrics": text(self.metrics)},
            "store": text(store), "seeds": [],
            "orders": None,
            "bounds": {"strict_keys": True, "withdrawn_key_ms": 5000, "stop_s": 8, "lease_ms": 3000,
                       "usage_window_s": 5, "keep_results_s": 120},
            "limits": {"memory_mb": 290, "cores": 0.5, "descriptors": 8200, "row_bytes": 65536,
                       "store": {"reads_per_s": 2000, "part_writes_per_s": 200}},
            "scheduling": {"adaptive": False},
        }
        self.process = None

    @property
    def file(self):
        return os.path.join(self.directory, self.name + ".json")

    def start(self, seeds):
        self.settings["seeds"] = ["%s:%d" % seed for seed in seeds]
        with open(self.file, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        log = open(os.path.join(self.directory, self.name + ".log"), "ab")
        # The command of deploy/system.toml with a settings file of this case.
        self.process = subprocess.Popen([PROGRAM, "--gateway", self.file], stdout=log, stderr=log,
                                        cwd=ROOT)
        Node.started.append(self.process)
        log.close()

    @staticmethod
    def end_all():
        for process in Node.started:
            if process.poll() is None:
                process.kill()
            process.wait()


async def start_nodes(nodes):
    """Starts all nodes, with the addresses of the first three as seeds, and waits until they are
    ready."""
    for node in nodes:
        node.start([other.control for other in nodes[:3]])
    await wait_ready(nodes)
    # Time in which the nodes read each other's rows.
    await asyncio.sleep(1.5)


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((HOST, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


async def call(address, method, path, fields, body=b"", timeout=5.0):
    """Sends one request on a new connection. Returns status, fields and body, or a text that says
    how the connection ended."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address, limit=1 << 24)
        try:
            writer.write(message(f"{method} {path} HTTP/1.1", fields, body))
            await writer.drain()
            line, answer, content = await read_message(reader)
            return int(line.split(" ")[1]), answer, content
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return "no answer", {}, b""
    except (ConnectionError, OSError, asyncio.IncompleteReadError) as error:
        return type(error).__name__, {}, b""


def identity():
    return "%016x" % random.getrandbits(64)


async def wait_ready(nodes, within=20):
    until = time.monotonic() + within
    for node in nodes:
        while True:
            status, _, _ = await call(node.ready, "GET", "/-/ready", {"Host": "ready"}, timeout=1)
            if status == 200:
                break
            if time.monotonic() > until:
                raise RuntimeError(f"{node.name} is not ready")
            await asyncio.sleep(0.05)
