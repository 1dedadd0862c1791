"""Reads the metrics counters of running nodes."""

import collections
import re

import httpx

from waxwingferry.bench import cluster

_COUNTER_LINE = re.compile(r"waxwingferry_(\w+?)_total\{(.*)\} ([0-9.e+]+)")
_LABEL_PAIR = re.compile(r'(\w+)="([^"]*)"')


async def read_counters(
    client: httpx.AsyncClient, running: cluster.Cluster
) -> collections.Counter[str]:
    """Returns counters summed over all nodes, keyed "name:label values"."""
    counters: collections.Counter[str] = collections.Counter()
    for instance in running.instances:
        port = instance.ports["admin"]
        reply = await client.get(f"http://127.0.0.1:{port}/metrics")
        for name, labels, value in _COUNTER_LINE.findall(reply.text):
            values = [text for _, text in _LABEL_PAIR.findall(labels)]
            counters[f"{name}:{' '.join(values)}"] += int(float(value))
    return counters


def sum_counters(counters: collections.Counter[str], name: str) -> int:
    """Returns the sum of a counter over all its label values."""
    prefix = name + ":"
    return sum(n for key, n in counters.items() if key.startswith(prefix))
