"""A runner that is taken away at short notice ends answers that have no length."""
import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standin2 as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NOTICE_S = 2
PIECES = 40
# Six seconds of work. One in twenty answers of i-a has no length, and none of the others'.
LONG = "%d-150-close" % PIECES
QUICK = "%d-1-length" % PIECES

scene = s.Scene(HERE)


def main():
    scene.store.put("config", "main", s.config(7, [
        s.route("stream", "streaming", "portal", resumable=True),
        s.route("safe", "safe", "portal"), s.route("unsafe", "unsafe", "portal")],
        [s.service("portal")]))
    runners = {name: scene.runner(name, "portal", notice_ms=NOTICE_S * 1000, framed=name != "i-a")
               for name in ("i-a", "i-b", "i-c", "i-d", "i-e", "i-f", "i-g")}
    instance = scene.instance("front-0", scene.host(0))
    if not scene.wait_ready(instance):
        return 2
    time.sleep(3)
    answers = []

    def ask(path, method):
        answer = s.ask(instance.front, path, method)
        answers.append((time.time() - scene.started, path, answer))
        return answer
    # Quick requests, all with a length, so that few of all answers have none.
    def quick():
        while sum(a.headers.get("bendsaddle-server-stamp") == "i-a.1" for _, _, a in answers) < 200:
            ask("/safe/" + QUICK, "GET")
    threads = [threading.Thread(target=quick) for _ in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    threads = []
    started = len(scene.runs("i-a"))

    def at_runner():
        return sum(line["what"] == "runs" and line["target"].endswith("close")
                   for line in scene.runs("i-a")[started:])
    kinds = [("/stream/", "GET"), ("/safe/", "GET"), ("/unsafe/", "POST")]
    while at_runner() < 6 and len(threads) < 90:
        path, method = kinds[len(threads) % 3]
        threads.append(threading.Thread(target=ask, args=(path + LONG, method)))
        threads[-1].start()
        time.sleep(0.05)
    time.sleep(0.3)
    if TROUBLE:
        runners["i-a"].send_signal(signal.SIGUSR1)
        scene.note("i-a says that it drains, with %d s left" % NOTICE_S)
        time.sleep(NOTICE_S)
        runners["i-a"].kill()
        scene.note("i-a is gone")
    for thread in threads:
        thread.join()
    runs = [line for line in scene.runs("i-a") if line["what"] == "runs"]
    without = sum(line["target"].endswith("close") for line in runs)
    scene.note("i-a ran %d requests, %d of them answered without a length" % (len(runs), without))
    false = 0
    for at, path, answer in answers:
        whole = b"".join(s.piece(answer.request, number, path.startswith("/stream/"))
                         for number in range(1, PIECES + 1))
        wrong = answer.status == 200 and answer.end == "whole" and answer.body != whole
        false += wrong
        if path.endswith(LONG):
            scene.note("at %.3f %s %s: %s, ends as %s, %d of %d bytes, by %s%s" % (
                at, answer.request, path, answer.status, answer.end, len(answer.body), len(whole),
                answer.headers.get("bendsaddle-server-stamp"), ", NOT WHOLE" if wrong else ""))
    scene.note("%d answers look whole and are not" % false)
    return 1 if false else 0


code = 2
try:
    code = main()
finally:
    scene.end()
    scene.write_record(["MIXED held", "MIXED was broken", "the case could not run"][code])
sys.exit(code)
