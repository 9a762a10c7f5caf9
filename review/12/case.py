"""After enough machines have been replaced, no batch job of a lost machine is taken over. Exits
with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

import base64
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
from standins import Deployment, Machine, Record, job, request, run, submit, unique

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REPLACED = 660  # "220 are restarted or replaced" on an ordinary day: three days
AT_ONCE = 40
ITEMS, DEADLINE = 48, 12.0
CONTACT, WAIT = 3.0, 5.0


def replace_machines(deployment, record):
    """Starts machines, each with a name of its own, and removes them for good once they are in the
    store."""
    for first in range(0, REPLACED, AT_ONCE):
        machines = []
        for number in range(first, min(first + AT_ONCE, REPLACED)):
            machine = Machine(number % 180 + 10, deployment.store, record, deployment.directory.name,
                              130, name=f"edge-old-{number}")
            machine.launch()
            machines.append(machine)
        until = time.monotonic() + 10
        while time.monotonic() < until:
            with deployment.store.changed:
                rows = deployment.store.rows
                if all(("member", "m", machine.name) in rows for machine in machines):
                    break
            time.sleep(0.02)
        for machine in machines:
            machine.process.kill()
            machine.process.wait()
    record("platform", f"{REPLACED} machines were replaced one after the other")


def owner_of(deployment, identifier):
    """Returns the machine whose name the system's own row of the job holds. The check does not
    depend on it."""
    with deployment.store.changed:
        for (table, _, key), (value, _) in deployment.store.rows.items():
            if table == "job" and key == identifier:
                head = json.loads(base64.b64decode(value).split(b"\n", 1)[1])
                return next(m for m in deployment.machines if m.name == head["owner"]["host"])
    return None


def main():
    record = Record(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
    arguments = {"events": 24, "event_ms": 120}
    with Deployment(record, machines=3, engines=3, engine_args=arguments) as deployment:
        if TROUBLE:
            replace_machines(deployment, record)
        # Well over the time of all periodic calls and of contactMs.
        time.sleep(8)
        identifier = unique("aa")
        answer = submit(deployment.machines[0], identifier, job(identifier, ITEMS, 600))
        if answer is None or answer.status != 202:
            record("case", f"the batch job is not accepted: {answer and answer.status}")
            return 2
        submitted = time.monotonic()
        record("trainer", f"submits {identifier}: 202")
        time.sleep(1)
        owner = owner_of(deployment, identifier)
        began = {item for engine in deployment.engines for item in engine.began}
        owner.stop()
        lost = time.monotonic()
        record(owner.name, "is lost for good")
        others = [machine for machine in deployment.machines if machine is not owner]
        listed, last_at_engine = 0, lost
        while time.monotonic() < submitted + DEADLINE:
            time.sleep(0.2)
            if any(engine.active for engine in deployment.engines):
                last_at_engine = time.monotonic()
            answer = request(others[0].callers, "GET", f"/-/lots/{identifier}?after=0")
            if answer is not None and answer.status == 200:
                results = json.loads(answer.body)["results"]
                if len(results) != listed:
                    record("trainer", f"{len(results)} results are listed")
                listed = len(results)
            if listed == ITEMS:
                break
        end = time.monotonic()
        finished = {item for engine in deployment.engines for item in engine.finished}
        owed = [f"{identifier}{n:05x}" for n in range(ITEMS)]
        owed = [item for item in owed if item not in finished]
        steady = end - max(last_at_engine, lost + CONTACT)
        record("case", f"{listed} of {ITEMS} listed {end - submitted:.1f} s after the submission; "
                       f"{len(began)} items had begun; {len(owed)} items that no engine has "
                       f"finished have been at no engine for {steady:.1f} s of steady state; "
                       f"machines of the system that run: {len(others)}")
        broken = listed < ITEMS and bool(owed) and bool(began) and steady >= WAIT
        print("LOST broken" if broken else "LOST held")
        return 1 if broken else 0


if __name__ == "__main__":
    run(main)
