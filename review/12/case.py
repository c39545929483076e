"""Machines join, the store has a drill, and later the first machines are stopped and started in turn."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-3"))

import site3  # noqa: E402

RATE, BURST = 100, 10  # `RatePerS` and `Burst` of the tenant
WINDOW, OVER, SLACK = 5.0, 0.1, 20  # `QuotaWindow`, `QuotaOver`, `QuotaSlack`
BOUNDS = {"QuotaWindow": "5s", "QuotaOver": OVER, "QuotaSlack": SLACK}
AWAY = 1.0  # how long the store is away
JOINING = 3  # machines that join in each zone
PER_SECOND = 30  # requests a second to each machine
GRACE = 6.0  # `Grace`
KEY = ("Authorization", "Bearer key-1")


async def clients(site, gateway, per_second):
    while True:
        asyncio.create_task(site.call(gateway, "safe", fields=[KEY]))
        await asyncio.sleep(1 / per_second)


async def restart(site, gateway):
    """Stops and starts a machine as the platform does in planned work."""
    gateway.signal(signal.SIGTERM)
    for _ in range(int(GRACE / 0.05)):
        await asyncio.sleep(0.05)
        if gateway.process.poll() is not None:
            break
    gateway.kill()
    gateway.start()
    await site.wait(f"{gateway.name} is ready", gateway.is_ready)


async def owners(site):
    """Records which machines grant tokens of the tenant, and whom each one asks. Only for the reader."""
    for gateway in site.gateways:
        quotas = (await gateway.dump()).get("quotas", {})
        asked = [owner["vm"] for used in quotas.get("used", []) for owner in used["owners"]]
        site.record(f"{gateway.name}: grants {bool(quotas.get('owned'))}, asks {asked}")


async def case(site):
    record, store = site.record, site.store
    await store.open()
    tenant = {"Type": "Tenants", "Metadata": {"Name": "acme"},
              "Spec": {"ApiKeys": ["key-1"], "RatePerS": RATE, "Burst": BURST}}
    site.configure(1, [site3.service("status"), site3.route("safe", "status"), tenant])
    for index in range(8):
        backend = site.add_backend(f"i-{index}", zone=site.zones[index % 3], slots=16, work=0.01)
        await backend.start(phase=0.15 * index)
    for zone in site.zones:
        site.add_gateway(zone, bounds=BOUNDS)
    await site.start_gateways()
    first, copy = list(site.gateways), record.now()
    for _ in range(JOINING):
        for zone in site.zones:
            site.add_gateway(zone, bounds=BOUNDS).start()
    for gateway in site.gateways:
        await site.wait(f"{gateway.name} is ready", gateway.is_ready)
    await asyncio.sleep(4)
    if site3.TROUBLE:
        record("the store goes away")
        await store.go_away()
        await asyncio.sleep(AWAY)
        await store.come_back(from_copy_of=copy)
        record(f"the store is back, Store-Era {store.era}, from a copy of {copy:.3f} s")
    # More than `Contact`, and than the 10 s after which machines that have joined grant tokens.
    await asyncio.sleep(12)
    for gateway in site.gateways:
        asyncio.create_task(clients(site, gateway, PER_SECOND))
    await asyncio.sleep(7)
    for gateway in first:
        await restart(site, gateway)
        await asyncio.sleep(7)
        await owners(site)
    runs = sorted(at for backend in site.backends for at, _ in backend.runs)
    if not runs:
        raise site3.CannotRun("nothing was served")
    allowed = (RATE * WINDOW + BURST) * (1 + OVER) + SLACK
    most, start = max((sum(at <= run < at + WINDOW for run in runs), at) for at in runs)
    record(f"most requests in {WINDOW} s: {most}, from {start:.3f} s; {allowed:.0f} are allowed")
    if most <= allowed:
        return []
    return [f"QUOTA: {most} requests run in the {WINDOW} s from {start:.3f} s, {allowed:.0f} are allowed"]


site3.main(HERE, case)
