"""A runner leaves while the store is down and serves on; the store is down once more."""
import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standin2 as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
INSTANCES = 6
LOAD_S = 6
MODELS = ["m%d" % number for number in range(40)]
# A stream of 17 events in 20 s: shorter than its deadline, and no gap of two seconds.
STREAM = "/chat/17-1200-chunked"
QUICK = "/chat/3-30-chunked"
RECOVERY_S = 12
DRAIN_S = 2

scene = s.Scene(HERE)
down = [False]


def ask(instance, path, model, deadline_ms=25000):
    answer = s.ask(instance.front, path, "POST", deadline_ms,
                   ["Bendsaddle-Model: " + model, "Bendsaddle-Token-Usage: 800,60"], timeout=30)
    scene.note("%s %s for %s at %s: %s, %s, by %s" % (
        answer.request, path, model, instance.name, answer.status, answer.end,
        answer.headers.get("bendsaddle-server-stamp")))
    return answer


def served(answer):
    return answer.status == 200 and answer.end == "whole"


def ask_cold(instances, models):
    """A request at each instance, each for a model that no runner holds; how many were served.

    A client comes back once, as told, within its deadline."""
    results = []

    def one(instance, model):
        until = time.monotonic() + 25
        answer = ask(instance, QUICK, model)
        if answer.status == 503 and "retry-after" in answer.headers:
            wait = float(answer.headers["retry-after"])
            if wait < (until - time.monotonic()) / 3:
                time.sleep(wait)
                answer = ask(instance, QUICK, model, int((until - time.monotonic()) * 1000))
        results.append(served(answer))
    threads = []
    for instance in instances:
        threads.append(threading.Thread(target=one, args=(instance, models.pop())))
        threads[-1].start()
        time.sleep(1.5)
    for thread in threads:
        thread.join()
    return sum(results), len(results)


def late_runs(instances, runner):
    """p-1 says that it drains; requests that reach it later than `drain_ms` after the store has that."""
    runner.send_signal(signal.SIGUSR1)
    while scene.store.objects[("servers", "p-1")]["spec"]["state"] != "draining":
        time.sleep(0.005)
    told_at = time.time()
    scene.note("the store has acknowledged that p-1 drains")
    sent = {}

    def send(instance):
        while time.time() < told_at + DRAIN_S + 4:
            answer = s.ask(instance.front, "/app/3-30-length", deadline_ms=4000)
            sent[answer.request] = instance.name
            time.sleep(0.1)
    threads = [threading.Thread(target=send, args=(instance,)) for instance in instances]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    late = [line for line in scene.runs("p-1")
            if line["what"] == "runs" and line["at"] > told_at + DRAIN_S]
    for line in late:
        scene.note("%s reaches p-1 %.3f s after that, from %s" % (
            line["request"], line["at"] - told_at, sent.get(line["request"])))
    scene.note("%d of %d requests reached p-1 too late" % (len(late), len(sent)))
    return len(late)


def set_store(is_down):
    if TROUBLE:
        down[0] = is_down
        scene.note("the store is %s" % ("down" if is_down else "back"))


def main():
    store = scene.store
    store.fault = lambda peer, method, path: "busy" if down[0] else None
    store.put("config", "main", s.config(
        7, [s.route("chat", "streaming", "lm", timeout_ms=25000, target_latency_ms=2500,
                    max_attempts=1), s.route("app", "safe", "app", timeout_ms=4000)],
        [s.engine("lm", MODELS, LOAD_S), s.service("app")]))
    runners = {name: scene.runner(name, "lm", engine={"load_time_s": LOAD_S}, models=["m0"])
               for name in ("i-x", "i-y", "i-z", "i-w")}
    runners.update({name: scene.runner(name, "app", slots=6) for name in ("p-1", "p-2", "p-3")})
    instances = []
    for number in range(INSTANCES):
        instance = scene.instance("front-%d" % number, scene.host(number))
        instance.name = "front-%d" % number
        instances.append(instance)
    ready = all(scene.wait_ready(instance) for instance in instances)
    scene.note("ready: %s" % ready)
    if not ready:
        return 2
    time.sleep(8)
    models = MODELS[1:]
    before = ask_cold(instances, models)
    scene.note("before: %d of %d requests for models that had to be loaded were served" % before)
    if before[0] * 4 < before[1]:
        return 2

    # Streams on i-x from every instance, and no other traffic.
    streams = []
    for instance in instances:
        for _ in range(30):
            answers = []
            thread = threading.Thread(target=lambda i=instance, a=answers: a.append(
                ask(i, STREAM, "m0")))
            known = len([line for line in scene.runs("i-x") if line["what"] == "runs"])
            thread.start()
            streams.append(thread)
            time.sleep(0.15)
            if len([line for line in scene.runs("i-x") if line["what"] == "runs"]) > known:
                break
    scene.note("%d streams run" % len(streams))
    set_store(True)
    # i-x leaves as planned without a word, and serves on until its streams have ended.
    runners["i-x"].send_signal(signal.SIGUSR2)
    time.sleep(0.5)
    store.remove("servers", "i-x")
    scene.note("the entry of i-x goes")
    time.sleep(3.9)
    set_store(False)
    time.sleep(3.0)
    set_store(True)
    time.sleep(4.4)
    set_store(False)
    back_at = time.monotonic()
    for thread in streams:
        thread.join()
    time.sleep(max(0, back_at + RECOVERY_S - time.monotonic()))
    runners["i-x"].kill()
    scene.note("all %d instances run: %s; say that they are ready: %s" % (
        INSTANCES, all(instance.poll() is None for instance in instances),
        sum(scene.wait_ready(instance, 1) for instance in instances)))
    renewed = store.objects[("bendsaddle-leases", "orders-0")]["metadata"]["revision"]
    after = ask_cold(instances, models)
    scene.note("from %d s after the store was back: %d of %d were served" % (RECOVERY_S, *after))
    late = late_runs(instances, runners["p-1"])
    now = store.objects[("bendsaddle-leases", "orders-0")]["metadata"]["revision"]
    scene.note("the lease of orders was %s meanwhile" % ("written" if now > renewed else "not written"))
    for instance in instances:
        with open(instance.log, errors="replace") as file:
            for line in file:
                if "panicked" in line:
                    scene.note("%s: %s" % (instance.name, line.strip()))
    return 1 if late > 0 else 0


code = 2
try:
    code = main()
finally:
    scene.end()
    scene.write_record(["DRAIN held", "DRAIN was broken", "the case could not run"][code])
sys.exit(code)
