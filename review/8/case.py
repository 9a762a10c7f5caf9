"""A configuration makes the route of batch jobs public; the trainer goes on with its key."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from standins import ModelEngine, Node, Store, identity, run_case, start_nodes
from trainer import Step, configuration, item, route

ZONES = ["hobart", "glenorchy", "kingston"]
SERVICES = [{"name": "llm", "engine": {"models": [{"name": "m0"}]}}]
GROUPS, SIZE, WANTED = 6, 4, 5
CONFIG_APPLY, SETTLE = 2.0, 1.0


def new_step(record, nodes, number):
    items = [item(identity(), f"/trim/{group}-{one}", "m0", 1016, 480, f"s{number}g{group}")
             for group in range(GROUPS) for one in range(SIZE)]
    return Step(record, nodes, "/trim/", "m0", number, items, WANTED)


async def case(record, directory, has_trouble):
    store = await Store().start()
    store.put("op", "config", configuration(1, [route("trim", "rollout", "llm")], SERVICES))
    engines = [await ModelEngine(store, record, f"i-llm-{zone}", "llm", zone, slots=12,
                                 models=("m0",), events=8, gap=0.04, memory=79_189).start()
               for zone in ZONES]
    nodes = [Node(directory, f"edge-{zone}-1", zone, store.address) for zone in ZONES]
    await start_nodes(nodes)
    first = new_step(record, nodes, 0)
    if not await first.submit() or not await first.finish():
        raise RuntimeError("the step before the change was not served")
    await first.end()
    changed = route("trim", "rollout", "llm", **({"public": True} if has_trouble else
                                                 {"timeoutMs": 9000}))
    store.put("op", "config", configuration(2, [changed], SERVICES))
    record.add("the store acknowledges version 2 of the configuration")
    await asyncio.sleep(CONFIG_APPLY + 1.0)
    second = new_step(record, nodes, 1)
    if not await second.submit():
        raise RuntimeError("the step after the change was not accepted")
    broken = []
    whole = False
    while time.monotonic() < second.accepted + 12 and not whole:
        await asyncio.sleep(0.5)
        status = await second.read()
        if status in (404, 410) and time.monotonic() > second.accepted + SETTLE:
            broken.append(status)
            record.add("BROKEN:", status, "for an accepted batch job")
        whole = len(second.whole()) >= WANTED
    ended = await second.end()
    ran = {name for engine in engines for _, name, _ in engine.arrivals}
    ran &= {one["id"] for one in second.body["requests"]}
    print(f"step after the change: {len(ran)} of {GROUPS * SIZE} items ran,",
          f"{len(second.results)} results read, answers 404 or 410 after {SETTLE} s: {len(broken)};",
          f"the end of the batch job: {ended}")
    return not broken


if __name__ == "__main__":
    run_case(case, HERE)
