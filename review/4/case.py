"""A request on a streaming route that crashes each engine that begins to run it."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

from standins import (  # noqa: E402
    Closed, Cluster, Engine, attempt_id, finish, is_troubled, open_connection, request_bytes,
    run_case, seal)

ENGINES = 4
DOWN_S = 2.5
RETRIES = 22
PAUSE_S = 1.2
CONTACT_S = 3.0
MAX_RETRIES = 3
CRASHING = b"crashing prompt"


def main(record):
    crashes = []
    reached = []

    def work(engine, peer, first, fields, body):
        identity = fields["x-attempt-id"]
        if body == CRASHING:
            reached.append((record.now(), identity))
            record.add(f"engine {engine.name} begins {identity} ({first})")
        if body == CRASHING and is_troubled():
            crashes.append(record.now())
            record.add(f"engine {engine.name} crashes, crash {len(crashes)} of this request")
            engine.crash(DOWN_S)
            raise Closed
        fields = seal(fields) + [("Content-Type", "text/event-stream"),
                                 ("Transfer-Encoding", "chunked")]
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in fields]
        peer.send("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(1, 6):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            peer.send(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(0.02)
        peer.send(b"0\r\n\r\n")

    with Cluster() as cluster:
        route = {"timeoutMs": 5000, "targetLatencyMs": 500, "attempts": 1, "resumable": False}
        cluster.configure([("/chat/", "streaming", "writer", route)], [{"name": "writer"}])
        for number in range(ENGINES):
            zone = cluster.zones[number % len(cluster.zones)]
            Engine(cluster.store, f"i-{number}", "writer", zone, work)
        cluster.start()
        time.sleep(CONTACT_S)
        for number in range(RETRIES):
            node = cluster.gateways[number % len(cluster.gateways)]
            identity = attempt_id()
            try:
                peer = open_connection(node.callers)
                peer.connection.settimeout(6)
                peer.send(request_bytes("POST", "/chat/7", identity, 5000, CRASHING))
                record.add(f"client sends {identity} to {node.name}")
                head, fields = peer.head()
                answer = f"{head} {peer.body(fields)[:80]!r}"
                peer.connection.close()
            except (Closed, OSError) as error:
                answer = repr(error)
            record.add(f"client: {identity} ends with {answer}")
            time.sleep(PAUSE_S)
        late = 0
        if len(crashes) >= 3:
            late = sum(at > crashes[2] + CONTACT_S for at, _ in reached)
        return finish(record, late > MAX_RETRIES, f"{len(crashes)} crashes; {late} retries reached "
                      f"engines later than contactMs after the third one, {MAX_RETRIES} may")


run_case(main, FOLDER)
