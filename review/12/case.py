"""A drill of the store: it comes back from a copy some seconds old, and then a backend leaves."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-3"))

import site3  # noqa: E402

DRAIN = 2.0  # `Drain`
CONTACT = 3.0  # `Contact`
AWAY = 1.0  # how long the store is away
COPY_AGE = 7.0  # how old the copy is when the store goes away
SERVES_ON = 8.0  # how long the backend serves on after its entry is gone
BACKENDS = 8


async def clients(site, gateway, kind):
    while True:
        asyncio.create_task(site.call(gateway, kind))
        await asyncio.sleep(0.15)


async def case(site):
    record, store = site.record, site.store
    await store.open()
    site.configure(1, [site3.service("status"), site3.route("safe", "status"), site3.route("unsafe", "status")])
    for index in range(BACKENDS):
        backend = site.add_backend(f"i-{index}", zone=site.zones[index % 3])
        await backend.start(phase=site3.HEARTBEAT * (1 + index / BACKENDS))
    for zone in site.zones:
        site.add_gateway(zone)
    await site.start_gateways()
    traffic = [
        asyncio.create_task(clients(site, gateway, kind))
        for gateway in site.gateways
        for kind in ("safe", "unsafe")
    ]
    await asyncio.sleep(12)
    if site3.TROUBLE:
        at = record.now()
        record("the store goes away")
        await store.go_away()
        await asyncio.sleep(AWAY)
        await store.come_back(from_copy_of=at - COPY_AGE)
        record(f"the store is back, Store-Era {store.era}")
    else:
        await asyncio.sleep(AWAY)
    # The store is stable, and the machines are in touch, `Contact` after the end of the drill.
    await asyncio.sleep(CONTACT + 0.5)
    leaving = site.backends[0]
    offset, acknowledged = leaving.withdraw(), record.now()
    record(f"the entry of {leaving.name} is removed, acknowledged with offset {offset}")
    await asyncio.sleep(SERVES_ON)
    record(f"backend {leaving.name} ends")
    await leaving.end()
    for task in traffic:
        task.cancel()
    await asyncio.sleep(2)
    late = [(at, identity) for at, identity in leaving.runs if at > acknowledged + DRAIN + 0.05]
    return [
        f"DRAIN: {identity} reaches {leaving.name} {at - acknowledged:.3f} s after the ack"
        for at, identity in late
    ]


site3.main(HERE, case)
