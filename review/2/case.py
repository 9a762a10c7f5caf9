"""A planned stop while requests of some seconds are in progress."""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

from standins import (  # noqa: E402
    Closed, Cluster, Engine, attempt_id, finish, is_troubled, open_connection, request_bytes,
    run_case, seal)

GRACE_S = 8.0
# The engine's part of graceS in which the pages permit to cut it off.
LAST_SIXTH_S = GRACE_S * 5 / 6
# When the engines answer, in seconds after the SIGTERM: inside graceS, before its last sixth.
ANSWERS_AT_S = [6.50, 6.55, 6.58, 6.60, 6.62]
REQUEST_LEAD_S = 1.0
CONTACT_S = 3.0


def main(record):
    begun = set()

    def work(engine, peer, first, fields, body):
        identity, seconds = fields["x-attempt-id"], float(body)
        began = record.now()
        record.add(f"engine {engine.name} begins {identity} ({first}), takes {seconds:.2f} s")
        begun.add(identity)
        until = began + seconds
        while record.now() < until:
            if peer.is_closed():
                record.add(f"engine {engine.name}: connection of {identity} closed, work dropped")
                raise Closed
            time.sleep(0.005)
        peer.answer(200, seal(fields), b"done")
        record.add(f"engine {engine.name} has answered {identity}")

    with Cluster() as cluster:
        long = {"timeoutMs": 20000, "targetLatencyMs": 15000}
        cluster.configure([("/draft/", "non_idempotent", "writer", long)], [{"name": "writer"}])
        for number, zone in enumerate(cluster.zones):
            Engine(cluster.store, f"i-{number}", "writer", zone, work)
        cluster.start()
        node = cluster.gateways[0]
        time.sleep(CONTACT_S)
        outcomes = {}

        def client(answer_at):
            identity = attempt_id()
            peer = open_connection(node.callers)
            peer.connection.settimeout(30)
            body = f"{REQUEST_LEAD_S + answer_at:.3f}".encode()
            peer.send(request_bytes("POST", "/draft/1", identity, 20000, body))
            sent = record.now()
            record.add(f"client sends {identity} to {node.name}")
            try:
                head, fields = peer.head()
                answer = peer.body(fields)
                outcomes[identity] = (sent, record.now(), f"{head} {answer!r}")
            except (Closed, OSError) as error:
                outcomes[identity] = (sent, record.now(), None)
                record.add(f"client: connection of {identity} ends without an answer ({error!r})")
                return
            record.add(f"client gets the answer to {identity}: {outcomes[identity][2]}")

        clients = [threading.Thread(target=client, args=(at,)) for at in ANSWERS_AT_S]
        for thread in clients:
            thread.start()
        time.sleep(REQUEST_LEAD_S)
        stopped = record.now()
        if is_troubled():
            node.signal(signal.SIGTERM)
            record.add(f"SIGTERM to {node.name}")
        for thread in clients:
            thread.join(30)
        if is_troubled():
            node.process.wait(GRACE_S)
            record.add(f"{node.name} has ended with {node.process.returncode}, "
                       f"{record.now() - stopped:.2f} s after the SIGTERM")
        lost = 0
        for identity, (_, ended, answer) in outcomes.items():
            # Passed on to an engine that did not break it off, cut before the last sixth of
            # graceS began.
            if answer is None and identity in begun and ended - stopped < LAST_SIXTH_S:
                lost += 1
            elif answer is not None and not answer.startswith("HTTP/1.1 200"):
                record.add(f"{identity} was answered with {answer}")
        return finish(record, lost > 0, f"{lost} of {len(ANSWERS_AT_S)} requests were cut without "
                      f"an answer before the last sixth of graceS ({LAST_SIXTH_S:.2f} s)")


run_case(main, FOLDER)
