"""Measures the cost and speed of gossip for the figures of docs/spread.md.

    PYTHONPATH=src python benchmarks/gossip_cost.py [--seed N]

Processor time is measured on real UDP sockets on loopback. Bytes and the time
until all members know of a change come from a simulation of all members in one
process, with a latency of 0.5 to 2 ms for a datagram and 20 ms for a fetch.
"""

import argparse
import json
import logging
import random
import time
import tracemalloc

import anyio
import anyio.lowlevel
import structlog

from waxwingferry.connection import serve
from waxwingferry.process.spreading import configuration
from waxwingferry.process.spreading import gossip
from waxwingferry.process.spreading import lease
from waxwingferry.process.spreading import members
from waxwingferry.process.spreading import peers
from waxwingferry.process.tests import fakes

MEMBER_COUNTS = (10, 50, 110, 220, 660)
DATAGRAM_COUNT = 4000
DATAGRAMS_PER_BURST = 50
STEADY_STATE_S = 10.0
CHANGE_COUNT = 10
CPU_BUDGET_CORES = 0.026
BYTES_BUDGET_PER_S = 22_000
IN_FORCE_BUDGET_S = 3.0
DOCUMENT = {"services": [{"name": "desk", "routes": [{"path_prefix": "/"}]}]}
SERVICE_COUNT = 22
FETCH_PORT = 26999
FETCH_COUNT = 100
LOSS_RATES = (0.0, 0.01, 0.1)
RETURNING_MEMBERS = 110


def make_pair(size: int, rng: random.Random):
    """Returns two nodes with real sockets that know all members."""
    pair = []
    for number in range(2):
        membership = members.Membership(f"n{number}")
        membership.announce(fakes.make_row(number))
        membership.apply_all(
            fakes.make_row(n) for n in range(size) if n != number
        )
        socket = peers.DatagramSocket("127.0.0.1", 0)
        gossiper = gossip.Gossiper(membership, lambda: 1, socket.send, rng)
        for record in membership.records.values():
            record.changed_s -= 2 * gossip.RECENT_S
        pair.append((membership, socket, gossiper))
    return pair


async def measure_datagrams(size: int, rows: int, rng: random.Random):
    """Returns the processor time to send and to receive a datagram."""
    sender, receiver = make_pair(size, rng)
    address = receiver[1].socket.getsockname()
    # The receiver sends no replies, so only one direction is measured.
    receiver[2].send = lambda *_: None
    for record in list(sender[0].records.values())[:rows]:
        record.changed_s = time.monotonic()
    sending_s = 0.0
    start_s = time.process_time()
    async with anyio.create_task_group() as group:
        group.start_soon(receiver[1].run, receiver[2].receive)
        for sent in range(
            DATAGRAMS_PER_BURST, DATAGRAM_COUNT + 1, DATAGRAMS_PER_BURST
        ):
            before_s = time.process_time()
            for _ in range(DATAGRAMS_PER_BURST):
                sender[2].tokens = gossip.BURST_BYTES
                sender[2].send_digest(address)
            sending_s += time.process_time() - before_s
            for _ in range(100):
                if receiver[2].counts.received >= sent:
                    break
                await anyio.lowlevel.checkpoint()
        group.cancel_scope.cancel()
    receiving_s = time.process_time() - start_s - sending_s
    received = receiver[2].counts.received
    sender[1].close()
    receiver[1].close()
    return sending_s / DATAGRAM_COUNT, receiving_s / received


def make_network(size: int, rng: random.Random):
    """Returns a simulated network whose nodes know each other."""
    network = fakes.Network(rng, fakes.Faults())
    for number in range(size):
        network.add(number)
    rows = [
        node.members.own
        for node in network.nodes.values()
        if node.members.own is not None
    ]
    for node in network.nodes.values():
        node.members.apply_all(rows)
        node.gossip.pending.clear()
        for record in node.members.records.values():
            record.changed_s -= 2 * gossip.RECENT_S
    return network


def measure_bytes(network) -> float:
    """Returns the mean bytes per second that a node sends and receives."""
    nodes = network.nodes.values()

    def total() -> int:
        counts = [node.gossip.counts for node in nodes]
        return sum(c.sent_bytes + c.received_bytes for c in counts)

    before = total()
    network.run(STEADY_STATE_S)
    return (total() - before) / STEADY_STATE_S / len(nodes)


def measure_spread(network, rng: random.Random) -> list[float]:
    """Returns the seconds until each change is in force on all nodes."""
    nodes = list(network.nodes.values())
    times_s = []
    first = max(node.configured.number for node in nodes) + 1
    for number in range(first, first + CHANGE_COUNT):
        rng.choice(nodes).configured.apply_if_newer(number, DOCUMENT)
        for node in nodes:
            network.schedule_dissemination(node)

        def in_force_everywhere(number=number) -> bool:
            return all(n.configured.number == number for n in nodes)

        times_s.append(network.run(30, in_force_everywhere))
        network.run(1)
    return times_s


def measure_mass_return(network, rng: random.Random, count: int):
    """Measures the announcement of many members at once.

    Returns the seconds until all nodes agree, the mean and the maximum of the
    bytes sent by a node, and whether all nodes agreed within the time limit.
    """
    nodes = list(network.nodes.values())
    before = [node.gossip.counts.sent_bytes for node in nodes]
    for node in rng.sample(nodes, count):
        wait_s = rng.uniform(0, lease.STARTUP_WRITE_JITTER_S)
        network.schedule(wait_s, node.members.announce, node.members.own)
        network.schedule(wait_s, network.schedule_dissemination, node)
    network.run(lease.STARTUP_WRITE_JITTER_S)

    def all_agree() -> bool:
        first = nodes[0].members.fingerprint
        return all(n.members.fingerprint == first for n in nodes)

    seconds = lease.STARTUP_WRITE_JITTER_S + network.run(60, all_agree)
    sent = [
        node.gossip.counts.sent_bytes - old
        for node, old in zip(nodes, before, strict=True)
    ]
    return seconds, sum(sent) / len(sent), max(sent), all_agree()


def measure_memory(size: int) -> int:
    """Returns the memory in bytes of one node's member table."""
    tracemalloc.start()
    membership = members.Membership("n0")
    membership.apply_all(fakes.make_row(n) for n in range(1, size))
    allocated_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return allocated_bytes


def table_bytes_per_s(size: int) -> float:
    """Returns the bytes per second to read renewed rows from the table."""
    row = members.format_row(fakes.make_row(1))
    stored = {"key": "members/n1", "value": row, "version": 10**6}
    return size / lease.RENEW_INTERVAL_S * len(json.dumps(stored))


async def measure_fetch(count: int) -> float:
    """Returns the processor time of both sides to fetch a document."""
    configured = configuration.Configuration(fakes.Table())
    configured.apply_if_newer(1, make_document(SERVICE_COUNT))
    membership = members.Membership("n0")

    async def handle(connection, head) -> None:
        await peers.answer_request(
            connection, head.target, configured, membership
        )

    async with anyio.create_task_group() as group:
        group.start_soon(serve.Server(handle).serve, "127.0.0.1", FETCH_PORT)
        await anyio.sleep(0.2)
        client = peers.PeerClient()
        start_s = time.process_time()
        for _ in range(count):
            await client.fetch_document(("127.0.0.1", FETCH_PORT))
        processor_s = time.process_time() - start_s
        group.cancel_scope.cancel()
    return processor_s / count


def make_document(services: int) -> dict:
    """Returns a document of the size expected in two years."""
    return {
        "services": [
            {
                "name": f"s{number}",
                "routes": [
                    {"path_prefix": f"/s{number}/{route}/"}
                    for route in range(10)
                ],
            }
            for number in range(services)
        ]
    }


def print_costs(rng: random.Random) -> None:
    """Prints processor time and bytes for each number of members."""
    print(
        "members  send us  recv us  with 8 rows  cpu %  gossip B/s  table B/s"
    )
    for size in MEMBER_COUNTS:
        send_s, receive_s = anyio.run(measure_datagrams, size, 0, rng)
        costs_with_rows = anyio.run(measure_datagrams, size, 8, rng)
        network = make_network(size, rng)
        gossip_bytes = measure_bytes(network)
        table_bytes = table_bytes_per_s(size)
        # Each node sends and receives one digest a second on average.
        cores = (send_s + receive_s) / gossip.DIGEST_INTERVAL_S
        print(
            f"{size:7} {send_s * 1e6:8.0f} {receive_s * 1e6:8.0f}"
            f" {costs_with_rows[0] * 1e6:5.0f}+{costs_with_rows[1] * 1e6:<5.0f}"
            f" {cores * 100:7.3f} {gossip_bytes:11.0f} {table_bytes:10.0f}"
        )
        assert cores < CPU_BUDGET_CORES
        assert gossip_bytes + table_bytes < BYTES_BUDGET_PER_S


def print_spread(rng: random.Random) -> None:
    """Prints how fast changes reach all members."""
    size = MEMBER_COUNTS[-1]
    network = make_network(size, rng)
    for loss in LOSS_RATES:
        network.faults.loss = loss
        times_s = sorted(measure_spread(network, rng))
        print(
            f"{size} members, loss {loss:.0%}: a document is in force "
            f"everywhere after {times_s[len(times_s) // 2]:.2f} s (median), "
            f"{times_s[-1]:.2f} s (worst of {len(times_s)})"
        )
        assert times_s[-1] < IN_FORCE_BUDGET_S
    network.faults.loss = 0.0
    seconds, mean, most, all_agree = measure_mass_return(
        network, rng, RETURNING_MEMBERS
    )
    print(
        f"{size} members, {RETURNING_MEMBERS} return: all agree "
        f"({all_agree}) after "
        f"{seconds:.1f} s; {mean / 1000:.0f} KB sent a node, "
        f"{most / 1000:.0f} KB at most"
    )


def main() -> None:
    """Prints all figures; fails if one exceeds its budget."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    error_logger = structlog.make_filtering_bound_logger(logging.ERROR)
    structlog.configure(wrapper_class=error_logger)
    rng = random.Random(parser.parse_args().seed)
    print_costs(rng)
    print_spread(rng)
    fetch_processor_s = anyio.run(measure_fetch, FETCH_COUNT)
    print(
        f"a fetch of a document with {SERVICE_COUNT} services: "
        f"{fetch_processor_s * 1000:.1f} ms for both sides together"
    )
    print(f"member table of 660: {measure_memory(660) / 1e6:.2f} MB")


if __name__ == "__main__":
    main()
