"""A configuration adds a route whose prefix is longer than that of an open batch job's route."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from standins import Engine, ModelEngine, Node, Store, identity, run_case, start_nodes
from trainer import DEADLINE, Step, configuration, item, route

ZONES = ["hobart", "glenorchy", "kingston"]
SLOTS, MEMORY, EVENTS, GAP = 4, 79_189, 8, 0.06
# 13 groups of 8 items, as `fitout-rollout` of Derwent; the trainer waits for 90%.
GROUPS, SIZE, WANTED = 13, 8, 11
SERVICES = [{"name": "llm", "engine": {"models": [{"name": "m0"}]}}, {"name": "app"}]
ROUTES = [route("fitout", "rollout", "llm"), route("quote", "idempotent", "app")]
ADDED = route("prices", "idempotent", "app", prefix="/fitout/3/")


async def case(record, directory, has_trouble):
    store = await Store().start()
    store.put("op", "config", configuration(1, ROUTES, SERVICES))
    engines = []
    for zone in ZONES:
        engines.append(await ModelEngine(store, record, f"i-llm-{zone}", "llm", zone, slots=SLOTS,
                                         models=("m0",), events=EVENTS, gap=GAP,
                                         memory=MEMORY).start())
        await Engine(store, record, f"i-app-{zone}", "app", zone, slots=6).start()
    nodes = [Node(directory, f"edge-{zone}-1", zone, store.address) for zone in ZONES]
    await start_nodes(nodes)
    # Items of half of the groups have paths below /fitout/3/, the others below /fitout/4/.
    items = [item(identity(), f"/fitout/{3 + group % 2}/{group}-{number}", "m0", 1016, 480, f"g{group}")
             for group in range(GROUPS) for number in range(SIZE)]
    step = Step(record, nodes, "/fitout/", "m0", 0, items, WANTED)
    if not await step.submit():
        raise RuntimeError("the step was not accepted")
    if has_trouble:
        await asyncio.sleep(0.3)
        store.put("op", "config", configuration(2, ROUTES + [ADDED], SERVICES))
        record.add("the store acknowledges version 2 of the configuration, which adds /fitout/3/")
    in_time = await step.finish()
    now = time.monotonic()
    finished = set().union(*(engine.finished for engine in engines))
    arrivals = [entry for engine in engines for entry in engine.arrivals]
    recent = {name for at, name, _ in arrivals if at > now - 5.0}
    running = sum(engine.running for engine in engines)
    starved = [one for one in items if one["id"] not in finished and one["id"] not in recent]
    if in_time or running * 2 >= SLOTS * len(engines):
        starved = []
    for one in starved:
        record.add("BROKEN: unfinished and at no engine for 5 s:", one["id"], one["path"])
    print(f"{len(step.whole())} of {WANTED} groups after {now - step.accepted:.1f} s;",
          f"{len(starved)} of {len(items)} items unfinished and at no engine for 5 s, {running} running;",
          "rejections", sum(len(engine.rejected) for engine in engines))
    if not in_time:
        # What the trainer would read if it waited on.
        while time.monotonic() < step.accepted + 45 and len(step.results) < len(items):
            await step.read()
            await asyncio.sleep(1)
        states = [one["state"] for one in step.results]
        print("at last:", {state: states.count(state) for state in set(states)})
    return not starved


if __name__ == "__main__":
    run_case(case, HERE)
