"""A trainer whose only engine is lost for good is never given another one, though all others are
idle. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
from standins import Deployment, Record, Trainer, configuration, run

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENGINES, SLOTS = 12, 12
CONTACT = 3.0  # contactMs
WAIT = 5.0  # LOST: at no engine for 5 s of steady state


def main():
    here = os.path.dirname(os.path.abspath(__file__))
    record = Record(os.path.join(here, "record.txt"))
    config = configuration()
    config["services"][0]["engine"]["models"] = [{"name": "m0"}, {"name": "m1"}]
    arguments = {"models": ("m0", "m1"), "slots": SLOTS, "events": 24, "event_ms": 50}
    with Deployment(record, machines=3, engines=ENGINES, config=config,
                    engine_args=arguments) as deployment:
        large = Trainer(deployment, record, "aa-large", "m0", groups=24, steps=4)
        small = Trainer(deployment, record, "bb-small", "m1", groups=1, steps=12)
        large.start()
        small.start()
        large.join(40)
        if large.is_alive() or any(listed < items for _, listed, items, _ in large.finished):
            record("case", "the large trainer did not get its steps")
            return 2
        # The next step of the small trainer that has begun at an engine.
        done = len(small.finished)
        lost = wait_for_run(deployment, small, done)
        if lost is None:
            record("case", "the small trainer does not run")
            return 2
        step = len(small.finished)
        job, submitted = small.job, small.submitted_at
        crashed_at = time.monotonic()
        if TROUBLE:
            lost.crash()
            record(lost.name, "is lost for good")
        began_before = {item for engine in deployment.engines for item in engine.began}
        idle_since = None
        last_began = 0
        count = sum(len(engine.began) for engine in deployment.engines)
        while time.monotonic() < submitted + Trainer.DEADLINE and len(small.finished) == step:
            time.sleep(0.02)
            now = time.monotonic()
            engines = deployment.engines
            at_engine = any(engine is not lost and engine.active for engine in engines)
            at_engine = at_engine or (not TROUBLE and lost.active)
            begun = sum(len(engine.began) for engine in engines)
            if begun != count:
                count, last_began = begun, now
            idle_since = None if at_engine else idle_since or now
        small.stop = True
        end = time.monotonic()
        small.join(3)
        _, listed, items, took = small.finished[step] if len(small.finished) > step else (
            step, 0, 4, end - submitted)
        finished = {item for engine in deployment.engines for item in engine.finished}
        names = [f"{job}{n:05x}" for n in range(items)]
        owed = [name for name in names if name not in finished]
        steady = end - max(idle_since or end, crashed_at + CONTACT)
        record("case", f"step {step} of the small trainer: {listed} of {items} listed after "
                       f"{took:.1f} s; {len(owed)} items that no engine has finished have been at "
                       f"no engine for {steady:.1f} s of steady state; no item began in the last "
                       f"{end - last_began:.1f} s; the last version was named "
                       f"{end - small.named_at:.1f} s ago; engines with requests: "
                       f"{sum(1 for engine in deployment.engines if engine.active)}")
        broken = (listed < items and owed and any(name in began_before for name in names)
                  and steady >= WAIT and end - last_began >= 3 and end - small.named_at >= 6
                  and end - large.named_at >= 6)
        print("LOST broken" if broken else "LOST held")
        return 1 if broken else 0


def wait_for_run(deployment, trainer, done):
    """Returns the engine at which the items of the next step of a trainer run."""
    until = time.monotonic() + 30
    while time.monotonic() < until:
        time.sleep(0.02)
        if len(trainer.finished) <= done:
            continue
        for engine in deployment.engines:
            if engine.active and any(item.startswith(trainer.job) for item in engine.began):
                return engine
    return None


if __name__ == "__main__":
    run(main)
