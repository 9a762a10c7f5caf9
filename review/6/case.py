"""One group of a step is larger than the memory of the engines, which reject it as if full."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from standins import ModelEngine, Node, Store, identity, run_case, start_nodes
from trainer import Step, configuration, item, route

ZONES = ["lein-north", "lein-south", "lein-west"]
# The sheet of Knotwise: 9 engines, 16 requests at once, memory for 51,899 tokens; 28 groups of 4
# items, 255 + 16 tokens in, 22 events out; the trainer waits for 90%.
ENGINES, SLOTS, MEMORY = 9, 16, 51_899
GROUPS, SIZE, WANTED = 28, 4, 25
PROMPT, OUTPUT, EVENTS, GAP = 271, 1320, 22, 0.036
LARGE_PROMPT = 60_000
STEPS = 4
# "has been at no engine for 5 s of steady state"
NO_ENGINE = 5.0


def new_group(name, prompt):
    names = [identity() for _ in range(SIZE)]
    return [item(one, f"/walkthru/{one}", "m0", prompt, OUTPUT, name) for one in names]


async def case(record, directory, has_trouble):
    store = await Store().start()
    store.put("op", "config", configuration(
        1, [route("walkthru", "rollout", "llm")],
        [{"name": "llm", "coldStartS": 3, "coldPerS": 16.0, "engine": {"models": [{"name": "m0"}]}}]))
    engines = [await ModelEngine(store, record, f"i-{number}", "llm", ZONES[number % 3], slots=SLOTS,
                                 models=("m0",), events=EVENTS, gap=GAP, memory=MEMORY).start()
               for number in range(ENGINES)]
    nodes = [Node(directory, f"edge-{zone}-1", zone, store.address) for zone in ZONES]
    await start_nodes(nodes)
    held, carried = True, []
    for number in range(STEPS):
        groups = list(carried)
        while len(groups) < GROUPS:
            is_large = has_trouble and number == 0 and not groups
            prompt = LARGE_PROMPT if is_large else PROMPT
            groups.append(new_group(f"s{number}g{len(groups)}", prompt))
        items = [one for group in groups for one in group]
        step = Step(record, nodes, "/walkthru/", "m0", number, items, WANTED)
        if not await step.submit():
            raise RuntimeError("the step was not accepted")
        occupied = asyncio.create_task(occupation(engines))
        in_time = await step.finish()
        now = time.monotonic()
        occupied.cancel()
        if not in_time:
            starved = check(record, engines, step, items, now)
            held = held and not starved
            print(f"step {number} ran out of time with {len(step.whole())} of {WANTED} groups;",
                  f"{starved} items of usual size had been at no engine")
        else:
            print(f"step {number}: {len(step.whole())} groups after {now - step.accepted:.1f} s")
        await step.end()
        # Groups that were not complete come again, first, at most half of those that are wanted.
        done = step.done()
        left = [group for group in groups if not done.issuperset(one["id"] for one in group)]
        carried = left[:WANTED // 2]
        await asyncio.sleep(0.5)
        store.put("op", "version/m0", {"model": "m0", "version": number + 2})
        record.add("trainer names version", number + 2)
        await asyncio.sleep(0.5)
    print("rejections", sum(len(engine.rejected) for engine in engines))
    return held


BUSY = []


async def occupation(engines):
    """Records the share of the engines' slots that are in use."""
    BUSY.clear()
    while True:
        running = sum(engine.running for engine in engines)
        BUSY.append((time.monotonic(), running / (ENGINES * SLOTS)))
        await asyncio.sleep(0.05)


def check(record, engines, step, items, now):
    """Returns how many items of usual size that no engine has finished had been at no engine for
    the last seconds, while the engines were under half full and others of the step had begun."""
    finished = set().union(*(engine.finished for engine in engines))
    last = {}
    for engine in engines:
        for at, name, _ in engine.arrivals:
            last[name] = max(at, last.get(name, 0.0))
    most = max((share for at, share in BUSY if at > now - NO_ENGINE), default=1.0)
    begun = [one for one in items if one["id"] in last]
    if most >= 0.5 or not begun:
        return 0
    starved = [one for one in items if one["headers"]["X-Token-Counts"] == f"{PROMPT},{OUTPUT}"
               and one["id"] not in finished and last.get(one["id"], 0.0) < now - NO_ENGINE]
    for one in starved:
        record.add("BROKEN: unfinished and at no engine for 5 s:", one["id"], one["group"])
    record.add("largest share of slots in use in these 5 s: %.2f" % most)
    return len(starved)


if __name__ == "__main__":
    run_case(case, HERE)
