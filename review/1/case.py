"""CONFIG: a core machine that loses its disk twice, the second time as it joins again, is never a member again. When
another machine loses its disk much later, the acknowledged configuration can't be read or changed any more."""

import json
import os
import re
import sys
import time
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from deployment import BOUNDS, ZONES, Deployment, Record, ask, config, entry  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CORES = 4
# How long a machine that lost its disk is down: for_s of after_ack_wipe in the site file.
DOWN_S = 3.0
# Undisturbed time, far beyond catchUpS and contactMs, before another machine loses its disk.
CALM_S = 20.0
# How long the operator asks for the configuration at the end; the pages name contactMs.
READ_S = 10.0


def leader(deployment):
    """Returns the core machine that leads, by its metrics."""
    for at in range(CORES):
        reply = deployment.call(at, "GET", "/metrics")
        if reply and re.search(rb"^gentian_state_leader_count 1", reply[1], re.MULTILINE):
            return at
    return None


def joins(deployment, name):
    """Returns how often the machine's joining was begun, by the logs of the others."""
    count = 0
    for at in range(CORES):
        with open(os.path.join(deployment.folder, f"core-{at}.log"), encoding="utf-8", errors="replace") as file:
            count += sum("member joins" in line and f'"{name}"' in line for line in file)
    return count


def start_and_join(deployment, name):
    """Starts a machine; returns whether its joining is begun within 2 s."""
    begun = joins(deployment, name)
    deployment.start(name)
    until = time.monotonic() + 2.0
    while joins(deployment, name) == begun:
        if time.monotonic() > until:
            return False
        time.sleep(0.001)
    deployment.record.line(f"joins    {name}")
    return True


def lose_disk(deployment, name):
    deployment.kill(name)
    deployment.wipe(name)
    deployment.record.line(f"trouble  {name} is down and has lost its disk")


def read(deployment):
    """Returns the version that any core machine reads back, asked for READ_S."""
    until = time.monotonic() + READ_S
    while time.monotonic() < until:
        for at in range(CORES):
            reply = deployment.call(at, "GET", "/gentianspring/config")
            deployment.record.line(f"operator GET at core-{at}: {reply[0] if reply else 'no answer'}")
            if reply and reply[0] == 200:
                return json.loads(reply[1])["version"]
        time.sleep(0.3)
    return None


def play(deployment):
    record = deployment.record
    replicas = [deployment.replica("till", zone) for zone in ZONES]
    deployment.platform.set([entry(replica) for replica in replicas])
    deployment.start_all()
    if not deployment.publish(config(1, "till")) or not deployment.wait_ready():
        return 2
    time.sleep(BOUNDS["contactMs"] / 1000.0 + BOUNDS["catchUpS"])

    # Right after a change was acknowledged, the machine that leads loses its disk.
    first = leader(deployment)
    if first is None or not deployment.publish(config(2, "till")):
        return 2
    name = f"core-{first}"
    lose_disk(deployment, name)
    time.sleep(DOWN_S)
    if not start_and_join(deployment, name):
        record.line("the machine doesn't join")
        return 2
    if TROUBLE:
        # It is lost once more while it joins. No other machine is disturbed. Where its answer was quicker than this
        # script, it joins yet another time, and is lost at that moment.
        for _ in range(2):
            lose_disk(deployment, name)
            time.sleep(DOWN_S)
            if not start_and_join(deployment, name):
                break
    if not deployment.publish(config(3, "till")):
        return 2
    record.line(f"all {CORES} core machines run; nothing is disturbed for {CALM_S:.0f} s")
    time.sleep(CALM_S)
    if any(deployment.processes[f"core-{at}"].poll() is not None for at in range(CORES)):
        record.line("a process has ended by itself")
        return 2
    before = sum(ask(deployment, at % deployment.fronts, f"/lookup/{at}", method="GET", body=b"")[0] == 200
                 for at in range(20))

    # The last fault: right after a change was acknowledged, the machine that leads now loses its disk.
    newest = 4
    second = leader(deployment)
    if second is None or second == first or not deployment.publish(config(newest, "till")):
        record.line(f"leader before the last fault: {second}")
        return 2
    other = f"core-{second}"
    lose_disk(deployment, other)
    time.sleep(DOWN_S)
    deployment.start(other)
    time.sleep(BOUNDS["recoveryS"])
    version = read(deployment)
    changed = deployment.publish(config(5, "till"), limit=8.0)
    # A host of the front that starts now gets no configuration either.
    deployment.kill("front-0")
    deployment.start("front-0")
    time.sleep(BOUNDS["contactMs"] / 1000.0)
    after = sum(ask(deployment, 0, f"/lookup/{at}", method="GET", body=b"")[0] == 200 for at in range(20))
    record.line(f"result   version {newest} was acknowledged; read back: {version}; a further change is acknowledged: "
                f"{changed}; requests served before {before} of 20, by an entry host that was restarted {after} of 20")
    if version is None or version < newest:
        record.line("BROKEN   the newest acknowledged configuration doesn't come")
        return 1
    return 0


def main():
    record = Record(os.path.join(HERE, "record.txt"))
    deployment = None
    try:
        deployment = Deployment(record, cores=CORES, fronts=2)
        result = play(deployment)
    except Exception:
        record.line(traceback.format_exc())
        result = 2
    finally:
        if deployment is not None:
            deployment.stop()
    record.line(f"exit     {result}")
    return result


if __name__ == "__main__":
    sys.exit(main())
