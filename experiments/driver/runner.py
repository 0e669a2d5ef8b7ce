"""Runs an experiment: one deployment, then each variant with each seed."""

import dataclasses
import json
import os
import pathlib
import re
import shutil
import signal
import subprocess
import threading
import time

from . import measure, report
from .census import Census
from .deployment import BIN, Deployment
from .evaluate import judge, summaries
from .layout import write_example, write_generated
from .spec import Experiment, Fault, Variant, expand_faults

RUN_FOLDER = pathlib.Path("run/experiments")
LOAD_GRACE_S = 15.0


class OverTime(Exception):
    """The experiment took longer than its bound."""


def _deploy(experiment: Experiment) -> Deployment:
    folder = RUN_FOLDER / experiment.name
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    spec = experiment.deployment
    if "example" in spec:
        files = write_example(folder, spec, experiment.network)
    else:
        files = write_generated(folder, spec, experiment.network, [variant.settings for variant in experiment.variants])
    return Deployment(files, experiment.network, spec)


class FaultPlayer:
    """Applies a timeline; each fault runs on a thread of its own, so that long ones do not delay others."""

    def __init__(self, deployment: Deployment, faults: list[Fault]) -> None:
        self._deployment = deployment
        self._faults = faults
        self._threads: list[threading.Thread] = []
        self.failures: list[str] = []

    def play(self) -> None:
        began = time.monotonic()
        for fault in self._faults:
            time.sleep(max(0.0, began + fault.at_s - time.monotonic()))
            thread = threading.Thread(target=self._apply, args=(fault,), daemon=True)
            thread.start()
            self._threads.append(thread)

    def join(self) -> None:
        for thread in self._threads:
            thread.join()

    def _apply(self, fault: Fault) -> None:
        try:
            self._deployment.apply(fault)
        except Exception as error:  # The run fails with it; a silent thread would look like a run without the fault.
            self.failures.append(f"{fault.do} {fault.target}: {error}")


def _load_arguments(load: dict, variant: Variant, deployment: Deployment, run_s: float, seed: int,
                    base: pathlib.Path) -> list[str]:
    arguments = [str(BIN / "yuccaspoolload"), "--seed", str(seed), "--duration-ms", str(int(run_s * 1000)),
                 "--rate", str(load["rate"] * variant.rate_factor), "--output", f"{base}.json",
                 "--request-log", f"{base}.log", "--vocabulary", str(deployment.files.folder / "vocabulary.txt")]
    for key, value in load.items():
        if key == "resend_unknown":
            arguments += ["--resend-unknown"] if value else []
        elif key != "rate":
            arguments += [f"--{key.replace('_', '-')}", str(value)]
    for host in deployment.hosts():
        arguments += ["--ask", host.caller]
    return arguments


def _write_vocabulary(deployment: Deployment) -> None:
    words = ["sr626", "sr920", "cr2032", "za10", "za312", "za13", "za675", "centrs", "purvciems", "imanta",
             "kengarags", *[f"machine-{number}" for number in range(40)]]
    (deployment.files.folder / "vocabulary.txt").write_text("\n".join(words) + "\n")


def file_name(text: str) -> str:
    """The text with every other character than letters and digits replaced."""
    return re.sub(r"[^a-z0-9]+", "-", text.lower())


def _start_load(experiment: Experiment, variant: Variant, deployment: Deployment, seed: int) -> list[pathlib.Path]:
    bases = []
    for index, load in enumerate(experiment.load):
        base = deployment.files.folder / f"load-{file_name(variant.name)}-{seed}-{index}"
        arguments = _load_arguments(load, variant, deployment, experiment.run_s, seed + index, base)
        deployment.processes.start(f"load-{index}", arguments)
        bases.append(base)
    return bases


def _end_load(experiment: Experiment, deployment: Deployment, bases: list[pathlib.Path]) -> list[dict]:
    results = []
    for index, base in enumerate(bases):
        if experiment.until_faults_end:
            deployment.processes.signal(f"load-{index}", signal.SIGTERM)
        code = deployment.processes.wait(f"load-{index}", experiment.run_s + LOAD_GRACE_S)
        if code != 0:
            raise RuntimeError(f"the load generator ended with {code}")
        results.append(json.loads(pathlib.Path(f"{base}.json").read_text()))
    return results


def _start_census(experiment: Experiment, deployment: Deployment) -> Census | None:
    if not experiment.census:
        return None
    documents = experiment.deployment["services"][experiment.census["service"]]["documents"]
    census = Census(experiment.census, deployment.files, deployment.hosts(), documents)
    census.start()
    return census


def _log_figures(experiment: Experiment, deployment: Deployment, bases: list[pathlib.Path]) -> dict:
    figures: dict = {}
    requests = [line for base in bases for line in measure.read_lines(pathlib.Path(f"{base}.log"))]
    if any(load.get("execute_fraction", 0) > 0 for load in experiment.load):
        executed = [line["request"] for server in deployment.files.servers
                    for line in measure.read_lines(pathlib.Path(server.execution_log))]
        figures |= measure.compare_executions(requests, executed)
    if "no_replica" in experiment.phases:
        figures |= measure.answered_outside(requests, experiment.phases["no_replica"])
    if "slow_from_s" in experiment.phases:
        figures |= measure.of_phases(measure.timeline(requests), **experiment.phases)
    return figures


def _draining_figures(deployment: Deployment) -> dict:
    late = [leaf["last_after_draining_ms"] for leaf in deployment.server_stats().values() if leaf["after_draining"]]
    return {"last_after_draining_ms": max(late, default=0)}


def _run_once(experiment: Experiment, index: int, seed: int, deployment: Deployment) -> dict:
    variant = experiment.variants[index]
    deployment.variant = index
    deployment.bad_exits = 0
    hosts = [host.name for host in deployment.hosts()]
    faults = expand_faults(experiment.faults + variant.faults, seed, hosts,
                           [server.name for server in deployment.files.servers])
    before, cpu, began = deployment.counters(), deployment.daemon_cpu_s(), time.monotonic()
    census = _start_census(experiment, deployment)
    player = FaultPlayer(deployment, faults)
    deployment.begin()
    bases = _start_load(experiment, variant, deployment, seed)
    try:
        player.play()
        if experiment.until_faults_end:
            player.join()
        results = _end_load(experiment, deployment, bases)
        player.join()
    finally:
        tally = census.stop() if census else None
    if player.failures:
        raise RuntimeError("; ".join(player.failures))
    figures = measure.of_load(results[0])
    # A request that is cut off counts for any caller; the other figures are of the first load.
    figures["cut_off"] = sum(result["cut_off"] for result in results)
    figures |= measure.of_counters(before, deployment.counters())
    used = deployment.daemon_cpu_s() - cpu
    figures["daemon_cores"] = used / (time.monotonic() - began)
    figures["leaf_requests_per_core_s"] = figures["leaf_requests"] / used if used > 0 else 0.0
    if "leaf_ms" in experiment.phases:
        figures |= {f"added_{name}_ms": figures[f"{name}_ms"] - experiment.phases["leaf_ms"] for name in ("p50", "p99")}
    figures["bad_exits"] = deployment.bad_exits
    figures |= _log_figures(experiment, deployment, bases) | _draining_figures(deployment)
    run = {"variant": variant.name, "seed": seed, "events": deployment.events}
    if tally:
        figures |= {f"census_{key}": value for key, value in dataclasses.asdict(tally).items() if key != "samples"}
        run["samples"] = tally.samples
    run["figures"] = figures
    run["reasons"] = results[0]["reasons"]
    run["timeline"] = measure.timeline(measure.read_lines(pathlib.Path(f"{bases[0]}.log")))
    return run


def _commit() -> str:
    def git(*arguments: str) -> str:
        return subprocess.run(["git", *arguments], capture_output=True, text=True, check=True).stdout.strip()

    changed = git("status", "--porcelain", "--untracked-files=no", "--", "src", "standins", "experiments")
    return git("rev-parse", "--short", "HEAD") + (" with uncommitted changes" if changed else "")


def _load_average() -> str:
    return " ".join(f"{value:.1f}" for value in os.getloadavg())


def _raise_over_time(*_unused: object) -> None:
    raise OverTime("the experiment is over its time bound")


def run(experiment: Experiment, is_quick: bool) -> bool:
    """Runs, writes the report, and returns whether every target was met."""
    began, load_before = time.monotonic(), _load_average()
    data = {"name": experiment.name, "commit": _commit(), "quick": is_quick, "seeds": list(experiment.seeds),
            "date": time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime()), "cores": os.cpu_count()}
    signal.signal(signal.SIGALRM, _raise_over_time)
    signal.signal(signal.SIGTERM, _raise_over_time)
    signal.alarm(int(experiment.max_s))
    deployment = _deploy(experiment)
    runs = []
    try:
        _write_vocabulary(deployment)
        deployment.start()
        print(f"ready after {time.monotonic() - began:.1f} s", flush=True)
        for seed in experiment.seeds:
            for index, variant in enumerate(experiment.variants):
                runs.append(_run_once(experiment, index, seed, deployment))
                print(f"done: {variant.name}, seed {seed}, at {time.monotonic() - began:.1f} s", flush=True)
        cpu = deployment.all_cpu_s()
    finally:
        signal.alarm(0)
        deployment.processes.stop_all()
    elapsed = time.monotonic() - began
    data |= {"load_before": load_before, "load_after": _load_average(), "elapsed_s": elapsed,
             "cores_used": round(cpu / elapsed, 2), "runs": runs, "summaries": summaries(runs)}
    verdicts = [judge(target, runs) for target in experiment.targets]
    data["targets"] = [dataclasses.asdict(verdict) for verdict in verdicts]
    report.write(experiment, data, verdicts)
    print("\n".join(report.targets_table(verdicts) + report.table(data["summaries"], experiment.columns)))
    return all(verdict.met for verdict in verdicts)
