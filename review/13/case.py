"""A faulty backend sends the beginning of a 421, and then the answer of the request, which it has run."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-3"))

import site3  # noqa: E402

SECONDS = 8


class FaultyBackend(site3.Backend):
    """Before the answer to a POST, which it has run, it sends a head of another answer that breaks off."""

    async def run(self, request, identity, common, writer):
        if not site3.TROUBLE or request.start.startswith("GET"):
            return await super().run(request, identity, common, writer)
        self.runs.append((self.record.now(), identity))
        self.record(f"backend {self.name} runs {identity}; the beginning of a 421 goes before its answer")
        await asyncio.sleep(self.work)
        writer.write(f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {self.name}".encode())
        await writer.drain()
        fields = common + [("Response-Signature", f"sig.{self.name}.{identity}")]
        writer.write(site3.encode("HTTP/1.1 200 OK", fields, f"{self.name} {identity}\n".encode()))


async def clients(site, gateway, kind, answers):
    while True:
        answers.append(asyncio.create_task(site.call(gateway, kind)))
        await asyncio.sleep(0.1)


async def case(site):
    store = site.store
    await store.open()
    site.configure(1, [site3.service("status"), site3.route("safe", "status"), site3.route("unsafe", "status")])
    for index in range(4):
        backend = site.add_backend(f"i-{index}", zone=site.zones[index % 3])
        if index == 0:
            backend.__class__ = FaultyBackend
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
    runs, broken, good = {}, [], 0
    for backend in site.backends:
        for at, identity in backend.runs:
            runs.setdefault(identity, []).append(backend.name)
    for identity, _, answer in await asyncio.gather(*answers):
        status = answer.start.split(" ")[1] if answer else None
        good += status == "200"
        if identity not in site.unsafe:
            continue
        if len(runs.get(identity, [])) > 1:
            broken.append(f"TWICE: {identity} runs on {runs[identity]}")
        if status in ("429", "503", "408", "421") and identity in runs:
            broken.append(f"REFUSED: {identity} gets {status} and ran on {runs[identity]}")
    if good == 0:
        raise site3.CannotRun("nothing was served")
    return broken


site3.main(HERE, case)
