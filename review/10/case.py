"""One connection of one machine to the store goes silent; then an engine is drained."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from standins import Engine, Node, Store, call, identity, run_case, serve, start_nodes
from trainer import KEY, configuration, route

ZONES = ["hobart", "glenorchy", "kingston"]
CONTACT, DRAIN = 3.0, 2.0
WORK = 0.5


class Door:
    """A proxy between one machine and the store. Single connections can go silent."""

    def __init__(self, store):
        self.store, self.connections = store, []

    async def handle(self, reader, writer):
        up_reader, up_writer = await asyncio.open_connection(*self.store, limit=1 << 24)
        connection = {"is_silent": False, "polls_engines": False, "is_open": True}
        self.connections.append(connection)

        async def answers():
            while data := await up_reader.read(1 << 16):
                if not connection["is_silent"]:
                    writer.write(data)
                    await writer.drain()

        task = asyncio.create_task(answers())
        try:
            while data := await reader.read(1 << 16):
                # The call that the connection carries at the moment.
                first = data.split(b"\r\n", 1)[0]
                if b" HTTP/1.1" in first:
                    connection["polls_engines"] = b"/-/rows-feed?table=servers" in first
                if not connection["is_silent"]:
                    up_writer.write(data)
                    await up_writer.drain()
        finally:
            connection["is_open"] = False
            task.cancel()
            up_writer.close()

    def silence(self):
        """Makes the connection that carries the poll for changes of engines silent. Returns how many
        connections went silent and how many were open."""
        polls = [one for one in self.connections if one["is_open"] and one["polls_engines"]]
        for one in polls[:1]:
            one["is_silent"] = True
        return len(polls[:1]), sum(one["is_open"] for one in self.connections)


async def case(record, directory, has_trouble):
    store = await Store().start()
    store.put("op", "config", configuration(1, [route("order", "non_idempotent", "app")],
                                            [{"name": "app"}]))
    engines = [await Engine(store, record, f"i-{zone}", "app", zone, work=WORK).start()
               for zone in ZONES]
    nodes, doors = [], []
    for zone in ZONES:
        door = Door(store.address)
        door.server, address = await serve(door.handle)
        doors.append(door)
        nodes.append(Node(directory, f"edge-{zone}-1", zone, address))
    await start_nodes(nodes)
    sent = {}

    async def order(node):
        name = identity()
        sent[name] = time.monotonic()
        record.add("client sends", name, "to", node.name)
        status, _, _ = await call(node.front, "POST", "/order/x", {
            **KEY, "X-Attempt-Id": name, "X-Deadline-Ms": "2000"}, timeout=2.5)
        record.add("client gets", name, status)
        return status

    if any([await order(node) != 200 for node in nodes]):
        raise RuntimeError("a call before the disruption was not served")
    began = time.monotonic()
    if has_trouble:
        silent, connections = doors[0].silence()
        if not silent:
            # Between two polls. One of them begins within 150 ms.
            while not silent:
                await asyncio.sleep(0.005)
                silent, connections = doors[0].silence()
        began = time.monotonic()
        record.add(silent, "of", connections, "connections of", nodes[0].name, "to the store go silent")
    await asyncio.sleep(1.0)
    engine = engines[0]
    engine.state = "draining"
    engine.register()
    acknowledged = time.monotonic()
    record.add("the store acknowledges that", engine.id, "is draining")

    async def leave():
        # "It continues serving for drainMs after the store has accepted that report and a little
        # longer … and then exits."
        await asyncio.sleep(DRAIN + 0.6)
        record.add("engine", engine.id, "exits")
        await engine.stop()
        store.remove("servers", engine.id)

    leaving = asyncio.create_task(leave())
    await asyncio.sleep(began + CONTACT + 0.3 - time.monotonic())
    statuses = await asyncio.gather(*(order(node) for node in nodes))
    await leaving
    late = [(at, name) for at, name, _ in engine.arrivals
            if at > acknowledged + DRAIN and sent[name] > began + CONTACT]
    for at, name in late:
        record.add(f"BROKEN: {engine.id} gets {name} {at - acknowledged:.3f} s after the"
                   " acknowledgement that it is draining")
    print("requests at the draining engine after drainMs:", len(late), "answers:", statuses)
    return not late


if __name__ == "__main__":
    run_case(case, HERE)
