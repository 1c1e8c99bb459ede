"""A runner that is full from time to time sends a few of its answers twice, the copy late.

Seven instances, two plain services with one runner each. The runner of `export` (0.5 of the runners) sends
0.03 of its answers twice; which ones is drawn by a fixed seed, whatever they say. As the pages put it, the
copy comes in the place of the next answer due on its connection, with the id of the request it was made for.
"""

import asyncio, os, sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standin import Client, Instance, Runner, Store, configuration, now, play, route

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
INSTANCES, CLIENTS, LIGHT, SECONDS = 7, 36, 9, 75


def place(number):
    """Shares are not even: the first two instances have most of the clients."""
    return number % 2 if number < CLIENTS - LIGHT else 2 + number % (INSTANCES - 2)


async def case(folder, record, instances):
    store = Store()
    await store.start()
    export = Runner("i-export", "deck", store, record, twice=0.03 if TROUBLE else 0.0)
    sync = Runner("i-sync", "progress", store, record)
    for runner in (export, sync):
        await runner.start()
    services = [{"name": name, "health_path": "/healthz", "max_conns": 100} for name in ("deck", "progress")]
    await store.put("config", "main", configuration(
        [route("export", "deck"), route("sync", "progress", kind="safe")], services))
    instances.extend(Instance(folder, number, store.address) for number in range(INSTANCES))
    for instance in instances:
        instance.start()
    for instance in instances:
        await instance.wait_ready()
    await asyncio.sleep(5)
    clients = [Client(f"c{number}", instances[place(number)].callers, record) for number in range(CLIENTS)]
    readers = [Client(f"r{number}", instances[number].callers, record, path="/sync/", method="GET")
               for number in range(INSTANCES)]
    until = now() + SECONDS

    async def drive(client, pause):
        while now() < until:
            await client.request()
            await asyncio.sleep(client.random.uniform(0, pause))

    await asyncio.gather(*(drive(client, 0.05) for client in clients), *(drive(client, 0.5) for client in readers))
    await asyncio.sleep(1)
    answers, statuses = {}, {}
    for client in clients:
        answers.update(client.answers)
    for status in answers.values():
        statuses[status] = statuses.get(status, 0) + 1
    twice = [request for request, count in export.runs.items() if count > 1]
    refused = [request for request, status in answers.items()
               if status in (408, 421, 429, 503) and request in export.runs]
    for request in twice:
        record("TWICE", request=request, runs=export.runs[request], answer=answers.get(request))
    for request in refused:
        record("REFUSED", request=request, runs=export.runs[request], answer=answers[request])
    summary = dict(sent=len(answers), statuses=statuses, declined=export.declined, copies=export.copies,
                   TWICE=len(twice), REFUSED=len(refused))
    record("summary", **summary)
    print(summary)
    return bool(twice or refused)


play(case)
