"""Answers that never end keep whole machines from answering. Exits with 1 if the rule was broken, 0 if it
held, 2 if the case could not run."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-3"))
import standins
from standins import Deployment, Engine, Record, request, run, unique

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS, SECONDS, CALM = 24, 14.0, 2.0
ENDLESS = int(os.environ.get("ENDLESS", "1"))
TIMEOUT, SLACK = 2.0, 0.5  # timeoutMs of the route; CONFIG: 0.5 s after it
DEADLINE = 0.8  # quote-lookup of the site
CHUNK = b"1\r\nx\r\n"


class TroubledEngine(Engine):
    """A server of the plain service that answers some requests with a body that never ends, in
    chunks of one byte, until the caller closes."""

    lock = threading.Lock()
    from_time = float("inf")
    left = ENDLESS if TROUBLE else 0
    endless = []

    def run_request(self, stream, message, method, target, attempt):
        if not self.models and self.name == "i-a000" and time.monotonic() >= self.from_time:
            with TroubledEngine.lock:
                is_endless = TroubledEngine.left > 0
                TroubledEngine.left -= is_endless
            if is_endless:
                return self.send_without_end(stream, attempt)
        return super().run_request(stream, message, method, target, attempt)

    def send_without_end(self, stream, attempt):
        head = ["HTTP/1.1 200 -", "Content-Type: text/plain", "Transfer-Encoding: chunked"]
        head += [f"{name}: {value}" for name, value in self.head(attempt)]
        self.record(self.name, f"answers {attempt} without end")
        begin, sent = time.monotonic(), 0
        block = CHUNK * 10000
        try:
            stream.sock.sendall("\r\n".join(head).encode() + b"\r\n\r\n")
            while True:
                stream.sock.sendall(block)
                sent += len(block)
        finally:
            seconds = time.monotonic() - begin
            self.endless.append(seconds)
            self.record(self.name, f"the answer to {attempt} was ended by the caller after "
                                   f"{seconds:.1f} s and {sent / 1e6:.0f} MB")


def client(number, deployment, record, results, until):
    """Sends one look-up after the other, to one machine after the other."""
    while time.monotonic() < until:
        machine = deployment.machines[number % len(deployment.machines)]
        number += 1
        attempt = unique("c")
        begin = time.monotonic()
        headers = [("X-Attempt-Id", attempt), ("X-Deadline-Ms", int(DEADLINE * 1000))]
        answer = request(machine.callers, "GET", f"/quote/{attempt[:4]}", headers, timeout=12)
        seconds = time.monotonic() - begin
        results.append((begin, seconds, answer.status if answer else None, machine.name))
        if seconds > TIMEOUT:
            record("client", f"{attempt} at {machine.name}: {answer.status if answer else 'no answer'} "
                             f"after {seconds:.2f} s")
        time.sleep(0.02)


def main():
    record = Record(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
    standins.Engine = TroubledEngine
    with Deployment(record, machines=3, engines=3, apps=3) as deployment:
        results = []
        TroubledEngine.from_time = time.monotonic() + CALM
        until = time.monotonic() + SECONDS
        arguments = (deployment, record, results, until)
        clients = [threading.Thread(target=client, args=(n, *arguments)) for n in range(CLIENTS)]
        for one in clients:
            one.start()
        for one in clients:
            one.join()
        if not any(status == 200 for _, _, status, _ in results):
            record("case", "no request was served")
            return 2
        long = [seconds for _, seconds, _, _ in results if seconds > TIMEOUT]
        late = [seconds for seconds in long if seconds > TIMEOUT + SLACK]
        record("case", f"{len(results)} requests; {len(long)} lasted longer than {TIMEOUT} s, {len(late)} of "
                       f"them had no answer {SLACK} s later; longest {max(s for _, s, _, _ in results):.2f} s; "
                       f"{ENDLESS - TroubledEngine.left if TROUBLE else 0} answers without end")
        broken = len(late) >= 8 and len(late) > len(long) / 4
        print("CONFIG broken" if broken else "CONFIG held")
        return 1 if broken else 0


if __name__ == "__main__":
    run(main)
