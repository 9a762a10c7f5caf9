"""A trainer: it submits steps as batch jobs, reads their results at all nodes and ends them."""

import asyncio
import json
import time

from standins import call, identity

HOST_NAME = "a.example"
KEY = {"Host": HOST_NAME, "Api-Key": "key-1"}
# `deadline ms` of the sheets: the trainer gives a step up after this time.
DEADLINE = 12.0


def configuration(version, routes, services):
    """Returns a configuration with one tenant, with the limits of a small deployment."""
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "tenant", "apiKeys": ["key-1"]}],
    }


def route(name, kind, service, **options):
    """Returns a route with the terms of a sheet."""
    terms = {
        "rollout": {"timeoutMs": 10000, "targetLatencyMs": 500, "targetFinishMs": 7500,
                    "itemTtlS": 40},
        "idempotent": {"timeoutMs": 1500, "targetLatencyMs": 150},
        "non_idempotent": {"timeoutMs": 2000, "targetLatencyMs": 800},
        "streaming": {"timeoutMs": 12000, "targetLatencyMs": 400},
    }[kind]
    return {"name": name, "host": HOST_NAME, "prefix": f"/{name}/", "kind": kind, "service": service,
            "attempts": 3, **terms, **options}


def item(name, path, model, prompt, output, group):
    return {"id": name, "path": path, "headers": {"X-Model": model,
            "X-Token-Counts": f"{prompt},{output}"}, "body": "aGVsbG8=", "tokens": prompt + output,
            "group": group}


class Step:
    """A step of a trainer."""

    def __init__(self, record, nodes, path, model, number, items, wanted):
        self.record, self.nodes, self.wanted = record, nodes, wanted
        self.job, self.results, self.reads = identity(), [], 0
        self.path = path + self.job
        self.groups = {}
        for one in items:
            self.groups.setdefault(one["group"], []).append(one["id"])
        self.body = {"step": number, "model": model, "minVersion": max(1, number),
                     "targetGroups": wanted, "requests": items}

    async def submit(self):
        """Submits the step until it is accepted. Returns whether it was."""
        for node in self.nodes:
            status, _, _ = await call(node.front, "POST", self.path, {
                **KEY, "X-Attempt-Id": self.job, "Content-Type": "application/json"},
                json.dumps(self.body).encode())
            self.record.add("trainer submits step", self.body["step"], "as", self.job, "to",
                            node.name, "and gets", status)
            self.accepted = time.monotonic()
            if status == 202:
                return True
        return False

    async def read(self):
        """Reads results at the next node. Returns the status."""
        node = self.nodes[self.reads % len(self.nodes)]
        self.reads += 1
        target = f"/-/lots/{self.job}?after={len(self.results)}"
        status, _, page = await call(node.front, "GET", target, {**KEY, "X-Wait-Ms": "1000"},
                                     timeout=2.5)
        new = json.loads(page)["results"] if status == 200 else []
        self.results += new
        self.record.add("trainer reads at", node.name, "status", status,
                        *(f"{one['id']}={one['state']}" for one in new))
        return status

    def done(self):
        """Returns the items that are completed."""
        return {one["id"] for one in self.results if one["state"] == "completed"}

    def whole(self):
        """Returns the names of the groups that are complete."""
        done = self.done()
        return [group for group, members in self.groups.items() if done.issuperset(members)]

    async def finish(self, within=DEADLINE):
        """Reads until the wanted groups are complete or the time is up. Returns whether they are."""
        while time.monotonic() < self.accepted + within:
            await self.read()
            if len(self.whole()) >= self.wanted:
                return True
            await asyncio.sleep(0.3)
        return False

    async def end(self):
        """Ends the batch job. Returns the status."""
        status, _, _ = await call(self.nodes[0].front, "DELETE", f"/-/lots/{self.job}", KEY)
        self.record.add("trainer ends step", self.body["step"], "and gets", status)
        return status
