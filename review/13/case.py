"""Batch jobs of legal size end the processes of the machines that own them, one after the other.
Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
from standins import MB, Deployment, Record, request, run, submit, unique

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 130  # memory_mb of the machines of derwent-coach
MAX_BODY = 33554432  # its maxBodyBytes
JOBS = 4
ITEMS = 150_000 if TROUBLE else 100
SECONDS = 60


def batch_job(identifier, step):
    """A batch job of about 10 MB: of many small items, or without trouble of few large ones."""
    body = "AAAA" if TROUBLE else "A" * 100_000
    items = [{"id": f"{identifier}{n:05x}", "path": "/trim/", "body": body, "tokens": 9}
             for n in range(ITEMS)]
    text = {"step": step, "model": "m0", "minVersion": 0, "targetGroups": 1, "requests": items}
    return json.dumps(text, separators=(",", ":")).encode()


def main():
    record = Record(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
    with Deployment(record, machines=3, engines=3, memory_mb=MEMORY_MB) as deployment:
        machines = deployment.machines
        accepted = []
        for number in range(JOBS):
            identifier = unique(f"a{number}")
            body = batch_job(identifier, number)
            assert len(body) <= MAX_BODY
            for attempt in range(12):
                answer = submit(machines[(number + attempt) % 3], identifier, body)
                status = answer and answer.status
                record("trainer", f"submits {identifier}, {ITEMS} items, {len(body) / MB:.1f} MB, "
                                  f"at {machines[(number + attempt) % 3].name}: {status}")
                if status == 202:
                    accepted.append(identifier)
                    break
                time.sleep(1)
        if not accepted:
            record("case", "no batch job was accepted")
            return 2
        until = time.monotonic() + SECONDS
        while time.monotonic() < until:
            time.sleep(1)
            worst = sorted(machine.memory_ends for machine in machines)
            if worst[-2] >= 3 and TROUBLE:
                break
            if not TROUBLE and all(is_complete(machines, one) for one in accepted):
                break
        for machine in machines:
            record("case", f"{machine.name}: {machine.memory_ends} processes ended for memory, "
                           f"{machine.other_ends} for other reasons, most memory "
                           f"{machine.peak / MB:.1f} MB")
        began = {item for engine in deployment.engines for item in engine.began}
        record("case", f"{len(accepted)} batch jobs were accepted, {len(began)} items have run")
        # "on a tenth of the machines in use (two at least) processes end by themselves three times"
        broken = sum(m.memory_ends + m.other_ends >= 3 for m in machines) >= 2
        print("Fault: broken" if broken else "Fault: held")
        return 1 if broken else 0


def is_complete(machines, identifier):
    answer = request(machines[0].callers, "GET", f"/-/lots/{identifier}?after=0")
    return answer is not None and answer.status == 200 and \
        len(json.loads(answer.body)["results"]) == ITEMS


if __name__ == "__main__":
    run(main)
