"""Batch jobs accepted by a machine that started while the store turned it away."""

import json
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

from standins import (  # noqa: E402
    Cluster, Engine, attempt_id, call, finish, is_ready, is_troubled, request_bytes, run_case,
    send_events, submission)

ACCOUNTS = [(f"tenant-{number}", f"key-{number}") for number in range(6)]
ITEMS = 4
ITEM_TTL_S = 30
# The store turns the machine away for this long; the site has 9 s.
TURNED_AWAY_S = 8.0
READ_S = 12.0


def main(record):
    runs = []

    def work(engine, peer, first, fields, body):
        runs.append(fields["x-attempt-id"])
        record.add(f"engine {engine.name} runs {fields['x-attempt-id']}")
        send_events(peer, fields, 24, 0.04)

    with Cluster() as cluster:
        route = {"itemTtlS": ITEM_TTL_S, "targetFinishMs": 7500}
        cluster.configure([("/plans/", "rollout", "writer", route)], [{"name": "writer"}],
                          ACCOUNTS)
        for number, zone in enumerate(cluster.zones):
            Engine(cluster.store, f"i-{number}", "writer", zone, work)
        cluster.start()
        node, other = cluster.gateways[0], cluster.gateways[1]
        time.sleep(3)
        began = record.now()
        if is_troubled():
            node.door.is_turned_away = True
            record.add(f"the store answers all calls of {node.name} with 503")
            node.signal(signal.SIGKILL)
            node.process.wait()
            record.add(f"SIGKILL to {node.name}")
            time.sleep(0.3)
            node.start()
        while not is_ready(node) and record.now() < began + 6:
            time.sleep(0.02)
        record.add(f"{node.name} answers GET /-/ready with 200: {is_ready(node)}")
        # By now the machine has read who the others are.
        time.sleep(1)
        jobs = {}
        for account, key in ACCOUNTS:
            job = attempt_id()
            items = [attempt_id() for _ in range(ITEMS)]
            data = request_bytes("POST", "/plans/" + job, job, 4000,
                                 submission("/plans/", items), key=key)
            while record.now() < began + TURNED_AWAY_S:
                status, body = call(node, data)
                record.add(f"client of {account} submits {job} to {node.name}: {status} {body!r}")
                if status == 202:
                    jobs[job] = (key, record.now(), items)
                    break
                time.sleep(0.5)
        node_door_opens = began + TURNED_AWAY_S
        if not jobs:
            raise RuntimeError("no job was accepted")
        aborted, listed, until = 0, {}, record.now() + READ_S
        while record.now() < until and len(listed) < len(jobs):
            if record.now() > node_door_opens and node.door.is_turned_away:
                node.door.is_turned_away = False
                record.add(f"the store serves {node.name} again")
            for job, (key, accepted, items) in jobs.items():
                if job in listed:
                    continue
                data = request_bytes("GET", f"/-/lots/{job}?after=0", attempt_id(), 2000, key=key)
                status, body = call(other, data)
                if status != 200:
                    record.add(f"client reads {job} at {other.name}: {status}")
                    continue
                page = json.loads(body)
                if page["next"] == page["total"]:
                    age = record.now() - accepted
                    states = [result["state"] for result in page["results"]]
                    listed[job] = states
                    early = states.count("aborted") if age < ITEM_TTL_S else 0
                    aborted += early
                    record.add(f"client reads {job} at {other.name} {age:.2f} s after its 202: "
                               f"{states}, engines ran {sum(item in runs for item in items)}")
            time.sleep(0.3)
        # What follows does not decide the case: a client ends a job and reads it again, long before
        # resultTtlS.
        job, (key, _, _) = next(iter(jobs.items()))
        status, _ = call(other, request_bytes("DELETE", f"/-/lots/{job}", attempt_id(), 2000, key=key))
        record.add(f"client ends {job} at {other.name}: {status}")
        for _ in range(4):
            time.sleep(2)
            read = request_bytes("GET", f"/-/lots/{job}?after=0", attempt_id(), 2000, key=key)
            record.add(f"client reads {job} at {other.name} again: {call(other, read)[0]}")
        return finish(record, aborted > 0, f"{len(jobs)} jobs accepted, {len(listed)} listed whole; "
                      f"{aborted} items aborted before itemTtlS, a 500, a 422 or an end")


run_case(main, FOLDER)
