"""A faulty backend breaks an answer off within its head and then answers 500 on the same connection."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-3"))

import site3  # noqa: E402

EVERY = 4  # the faulty backend breaks off one answer in so many
SECONDS = 8


class FaultyBackend(site3.Backend):
    """Its handler starts a 200, fails, and its server then sends the 500 of the failed request."""

    async def run(self, request, identity, common, writer):
        if not site3.TROUBLE or len(self.runs) % EVERY:
            return await super().run(request, identity, common, writer)
        self.runs.append((self.record.now(), identity))
        self.record(f"backend {self.name} runs {identity} and fails: its answer is 500")
        self.failed.add(identity)
        await asyncio.sleep(self.work)
        # The answer is cut off before the end of its head.
        writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {identity}\r\nInstance-Id: {self.name}".encode())
        await writer.drain()
        fields = common + [("Response-Signature", f"sig.{self.name}.{identity}")]
        writer.write(site3.encode("HTTP/1.1 500 Internal Server Error", fields, b"the work has failed\n"))


async def clients(site, gateway, kind, answers):
    while True:
        answers.append(asyncio.create_task(site.call(gateway, kind)))
        await asyncio.sleep(0.1)


async def case(site):
    store, failed = site.store, set()
    await store.open()
    site.configure(1, [site3.service("status"), site3.route("safe", "status"), site3.route("unsafe", "status")])
    for index in range(4):
        backend = site.add_backend(f"i-{index}", zone=site.zones[index % 3])
        if index == 0:
            backend.__class__, backend.failed = FaultyBackend, failed
        await backend.start(phase=0.3 * index)
    for zone in site.zones:
        site.add_gateway(zone)
    await site.start_gateways()
    answers = []
    traffic = [
        asyncio.create_task(clients(site, gateway, kind, answers))
        for gateway in site.gateways
        for kind in ("safe", "unsafe")
    ]
    await asyncio.sleep(SECONDS)
    for task in traffic:
        task.cancel()
    broken, good = [], 0
    for identity, _, answer in await asyncio.gather(*answers):
        status = answer.start.split(" ")[1] if answer else None
        if status != "200":
            continue
        good += 1
        whole = answer.body.decode().endswith(f" {identity}\n")
        if answer.get("response-signature") is None or not whole:
            broken.append(f"MIXED: {identity} gets 200 with the body {answer.body!r}"
                          + (", its backend answered 500" if identity in failed else ""))
            site.record(f"answer to {identity}: {answer.start!r} {answer.fields}")
    if good == 0:
        raise site3.CannotRun("nothing was served")
    return broken


site3.main(HERE, case)
