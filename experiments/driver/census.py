"""Checks reported coverage from outside: lookups that match every document, whose hits show the shards covered."""

import http.client
import json
import threading
import time
from dataclasses import dataclass, field

from .layout import Files, Host

# Every document of the stand-ins has exactly one of these sizes.
ALL_SIZES = ["sr626", "sr920", "cr2032", "za10", "za312", "za13", "za675"]
MAX_SAMPLES = 5


@dataclass
class Tally:
    checked: int = 0
    partial: int = 0
    failed: int = 0
    wrong_coverage: int = 0
    mixed_snapshots: int = 0
    incomplete_hits: int = 0
    samples: list = field(default_factory=list)


def covered_fraction(hits: list[dict], weights: dict[int, int]) -> float:
    """The weight of the shards that appear among the hits, as a share of the layout's weight."""
    shards = {hit["fields"]["shard"] for hit in hits}
    return sum(weights[shard] for shard in shards) / sum(weights.values())


def check(answer: dict, weights: dict, service: str, documents: int, tally: Tally) -> None:
    """Compares one answer's report with its hits."""
    snapshot, coverage, hits = answer["snapshot"], answer["coverage"], answer["hits"]
    tally.checked += 1
    tally.partial += 0 if coverage["complete"] else 1
    own = covered_fraction(hits, weights[(service, snapshot["layout"])])
    wrong = abs(own - coverage["fraction"]) > 1e-6 or coverage["complete"] != (coverage["fraction"] >= 1)
    mixed = any(hit["fields"]["version"] != snapshot["index_version"] for hit in hits)
    short = coverage["complete"] and len({hit["document"] for hit in hits}) != documents
    tally.wrong_coverage += wrong
    tally.mixed_snapshots += mixed
    tally.incomplete_hits += short
    if (wrong or mixed or short) and len(tally.samples) < MAX_SAMPLES:
        tally.samples.append({"snapshot": snapshot, "coverage": coverage, "computed": own, "hits": len(hits)})


class Census:
    """Sends such lookups one after the other until it is stopped."""

    def __init__(self, spec: dict, files: Files, hosts: list[Host], documents: int) -> None:
        self._spec = spec
        self._files = files
        self._hosts = hosts
        self._documents = documents
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.tally = Tally()

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> Tally:
        self._stop.set()
        self._thread.join()
        return self.tally

    def _run(self) -> None:
        number = 0
        while not self._stop.is_set():
            began = time.monotonic()
            self._one(self._hosts[number % len(self._hosts)])
            number += 1
            self._stop.wait(max(0.0, 1 / self._spec["rate"] - (time.monotonic() - began)))

    def _one(self, host: Host) -> None:
        body = json.dumps({"caller": self._spec["caller"], "service": self._spec["service"],
                           "query": {"terms": ALL_SIZES}, "limit": 1000})
        connection = http.client.HTTPConnection(*host.caller.split(":"), timeout=3)
        try:
            connection.request("POST", "/v1/query", body, {"Yp-Deadline-Ms": "1500"})
            answer = json.loads(connection.getresponse().read())
        except (OSError, ValueError, http.client.HTTPException):
            self.tally.failed += 1
            return
        finally:
            connection.close()
        if answer.get("outcome") == "answered":
            check(answer, self._files.weights, self._spec["service"], self._documents, self.tally)
        else:
            self.tally.failed += 1
            if len(self.tally.samples) < MAX_SAMPLES:
                self.tally.samples.append(answer)
