"""A drill of the store, after which it turns one machine away for some seconds, and a change of the configuration."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-3"))

import site3  # noqa: E402

CONFIG_APPLY = 2.0  # `ConfigApply`
MAX_SKEW = 5.0  # `MaxSkew`, by which an unstable core stretches it
AWAY = 1.0  # how long the store is away
COPY_AGE = 5.0  # how old the copy is when the store goes away
TURNED_AWAY = 1  # the index of the machine that the store turns away
CHANGE_AFTER = 2.0  # when the operator makes the change, after the store is back
STILL_AWAY = 1.0  # how long the machine is turned away after that


class StorePath(site3.Server):
    """The path of one machine to the store, which may reject this machine with 503."""

    def __init__(self, store):
        super().__init__()
        self.store, self.rejected = store, False

    async def handle(self, request, writer):
        if not self.store.up:
            site3.reset(writer)
            return False
        if not self.rejected:
            return await self.store.handle(request, writer)
        writer.write(site3.encode("HTTP/1.1 503 X", [("Store-Era", self.store.era)], b"{}"))
        await writer.drain()


async def give_paths(site):
    """Gives each machine a path of its own to the store. Returns the paths."""
    paths = []
    for gateway in site.gateways:
        path = StorePath(site.store)
        await path.open()
        gateway.settings = with_store(gateway.settings, path.address)
        paths.append(path)
    return paths


def with_store(settings, address):
    def changed():
        made = settings()
        made["Platform"]["Address"] = address
        return made
    return changed


async def clients(site, gateway, answers):
    while True:
        answers.append(asyncio.create_task(site.call(gateway, "safe")))
        await asyncio.sleep(0.2)


def configuration(target, timeout):
    services = [site3.service("status"), site3.service("rack")]
    return services + [site3.route("safe", target), site3.route("unsafe", "status", timeout=timeout)]


async def case(site):
    record, store = site.record, site.store
    await store.open()
    site.configure(1, configuration("status", "1500ms"))
    for index in range(8):
        name = ["status", "rack"][index % 2]
        backend = site.add_backend(f"i-{index}", service=name, zone=site.zones[index % 3])
        await backend.start(phase=site3.HEARTBEAT * (1 + index / 8))
    for zone in site.zones:
        site.add_gateway(zone)
    paths = await give_paths(site)
    turned_away = paths[TURNED_AWAY]
    await site.start_gateways()
    answers = []
    traffic = [asyncio.create_task(clients(site, gateway, answers)) for gateway in site.gateways]
    await asyncio.sleep(6)
    # Two changes that the copy will lack.
    site.configure(2, configuration("status", "1400ms"))
    await asyncio.sleep(2)
    site.configure(3, configuration("status", "1300ms"))
    await asyncio.sleep(2)
    if site3.TROUBLE:
        at = record.now()
        record("the store goes away")
        await store.go_away()
        for path in paths:
            for writer in list(path.writers):
                site3.reset(writer)
        turned_away.rejected = True
        await asyncio.sleep(AWAY)
        await store.come_back(from_copy_of=at - COPY_AGE)
        record(f"the store is back, Store-Era {store.era}; it rejects {site.gateways[TURNED_AWAY].name}")
        # What the operator wrote is written again: the newest configuration, which is whole.
        site.configure(3, configuration("status", "1300ms"))
    else:
        await asyncio.sleep(AWAY)
    await asyncio.sleep(CHANGE_AFTER)
    # The next change moves the route to another service.
    site.configure(4, configuration("rack", "1300ms"))
    acknowledged = record.now()
    await asyncio.sleep(STILL_AWAY)
    record("the store serves all machines")
    turned_away.rejected = False
    await asyncio.sleep(CONFIG_APPLY + MAX_SKEW + 7)
    for task in traffic:
        task.cancel()
    sent = {identity: at for identity, at, _ in await asyncio.gather(*answers)}
    late = acknowledged + CONFIG_APPLY + MAX_SKEW
    broken = [
        f"CONFIG: {identity}, sent {sent[identity] - acknowledged:.3f} s after the ack of r4, is run by "
        f"{backend.name} of {backend.service}"
        for backend in site.backends
        if backend.service == "status"
        for _, identity in backend.runs
        if sent[identity] > late
    ]
    for path in paths:
        await path.close()
    record(f"versions in force at the end: {[await version(gateway) for gateway in site.gateways]}")
    return broken


async def version(gateway):
    answer = await gateway.get(gateway.admin, "/config")
    return answer.body.decode()[:40] if answer else None


site3.main(HERE, case)
