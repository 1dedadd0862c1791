"""Gossip under loss, delay, duplication, reordering, partitions and pauses."""

import itertools
import random

import msgspec
import pytest
import structlog.testing

from waxwingferry import decoding
from waxwingferry.process.protection import crash_suspects
from waxwingferry.process.spreading import configuration
from waxwingferry.process.spreading import crash_reports
from waxwingferry.process.spreading import gossip
from waxwingferry.process.spreading import members
from waxwingferry.process.spreading import version_rollouts
from waxwingferry.process.tests import fakes
from waxwingferry.version import judgement
from waxwingferry.version import messages

CONTENT = {"services": [{"name": "desk", "routes": [{"path_prefix": "/"}]}]}
NODES = 24


def _make_network(seed: int, faults: fakes.Faults, nodes=NODES):
    network = fakes.Network(random.Random(seed), faults)
    for number in range(nodes):
        network.add(number)
    return network


def _agree(network) -> bool:
    nodes = list(network.nodes.values())
    first = nodes[0]
    return all(
        node.configured.number == first.configured.number
        and node.members.fingerprint == first.members.fingerprint
        and len(node.members.records) == len(nodes)
        for node in nodes
    )


def _check_order(network) -> None:
    for node in network.nodes.values():
        assert node.revisions == sorted(set(node.revisions))


def _apply_random_fault(network, rng, numbers) -> None:
    """Applies a random change, partition or pause."""
    addresses = list(network.nodes)
    match rng.randrange(5):
        case 0:
            writer = network.nodes[rng.choice(addresses)]
            writer.configured.apply_if_newer(next(numbers), CONTENT)
        case 1:
            network.groups = {a: rng.randrange(2) for a in addresses}
        case 2:
            network.groups = {}
        case 3:
            node = network.nodes[rng.choice(addresses)]
            node.paused_until_s = network.clock.now_s + rng.uniform(0, 20)
        case 4:
            node = network.nodes[rng.choice(addresses)]
            state = rng.choice(["ready", "draining"])
            row = msgspec.structs.replace(node.members.own, state=state)
            node.members.announce(row)


@pytest.mark.parametrize("seed", range(12))
def test_revisions_only_increase_and_all_nodes_converge(seed):
    """Guards against a revision that decreases, and permanent partitions."""
    faults = fakes.Faults(loss=0.2, duplicate=0.1, delay_s=(0.0, 2.0))
    network = _make_network(seed, faults)
    rng = random.Random(seed + 1000)
    numbers = itertools.count(1)
    network.run(5)
    for _ in range(25):
        _apply_random_fault(network, rng, numbers)
        network.run(rng.uniform(0, 3))
        _check_order(network)
    network.groups = {}
    network.faults = fakes.Faults(loss=0.2)
    network.run(20)
    network.run(120, lambda: _agree(network))
    assert _agree(network)
    _check_order(network)


def test_nodes_converge_after_a_long_partition_without_the_platform():
    """Guards against rows that are too old to be sent in digests."""
    network = _make_network(2, fakes.Faults())
    network.run(20, lambda: _agree(network))
    network.groups = {a: index % 2 for index, a in enumerate(network.nodes)}
    for node in network.nodes.values():
        node.members.announce(node.members.own)
    network.run(3 * gossip.RECENT_S)
    assert not _agree(network)
    network.groups = {}
    network.run(3 * gossip.SYNC_INTERVAL_S, lambda: _agree(network))
    assert _agree(network)


# A row that is older than those in digests was fetched by nobody: the nodes
# that lacked it agreed with each other, and its node only fetched theirs.
def test_a_node_that_was_cut_off_becomes_known_without_the_platform():
    """Guards against a node that none of the others knows."""
    network = _make_network(4, fakes.Faults())
    lonely = ("127.0.0.1", 10_009)
    network.groups = {lonely: 1}
    network.run(2 * gossip.RECENT_S)
    network.groups = {}
    network.run(3 * gossip.SYNC_INTERVAL_S, lambda: _agree(network))
    assert _agree(network)


def test_leave_spreads_without_the_platform():
    """Guards against calls sent to a node that announced its leave."""
    network = _make_network(3, fakes.Faults())
    network.run(10, lambda: _agree(network))
    leaving = network.nodes[("127.0.0.1", 10_005)]
    row = msgspec.structs.replace(leaving.members.own, state="leaving")
    leaving.members.announce(row)

    def leave_known() -> bool:
        return all(
            node.members.candidates["n5"].state == "leaving"
            for node in network.nodes.values()
        )

    assert network.run(3, leave_known) < 3


def test_delayed_rows_of_an_earlier_process_are_ignored():
    """Guards against a row that a node sent before its restart."""
    network = _make_network(4, fakes.Faults(), 3)
    node = network.nodes[("127.0.0.1", 10_000)]
    node.members.apply(fakes.make_row(1, generation=5, incarnation="new"))
    old = gossip.Datagram("n1", "news", 0, 0, [fakes.make_row(1, change=99)])
    node.gossip.receive(msgspec.json.encode(old), ("127.0.0.1", 10_001))
    assert node.members.candidates["n1"].incarnation == "new"


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b"\xff\xfe",
        b"[]",
        b'{"sender": "n1"}',
        b"[" * 1100,
        msgspec.json.encode(gossip.Datagram("n1", "news", -1, 0)),
        msgspec.json.encode(gossip.Datagram("no name", "news", 1, 0)),
    ],
)
def test_malformed_datagrams_are_counted_and_dropped(data):
    """Guards against an exception that ends the receiver task."""
    network = _make_network(5, fakes.Faults(), 1)
    node = network.nodes[("127.0.0.1", 10_000)]
    node.gossip.receive(data, ("127.0.0.1", 10_001))
    assert node.gossip.counts.malformed == 1


def _nest(prefix: bytes) -> bytes:
    """Returns the longest datagram with MessagePack arrays in each other."""
    depth = gossip.MAX_DATAGRAM_BYTES - len(prefix) - 1
    return prefix + b"\x91" * depth + b"\x01"


@pytest.mark.parametrize(
    "data",
    [
        _nest(b"\x01\x97\xa1a\x01\x01\x01\x01\xc0"),
        b"\x01\x95\xa1\xff\x01\x01\x01\x01",
        b"\x01\x95\xa1a\xcf" + b"\xff" * 8 + b"\x01\x01\x01",
        b"\x01\x95\xa1a\xcb\x7f\xf0" + bytes(6) + b"\x01\x01\x01",
        _nest(b"\x02"),
        _nest(b"\x03\x95\xa1a\xa1b\x01\xa9completed"),
        _nest(b"\x04\x93\xa1a\x01"),
        _nest(b"\x05\x94\xa1a\xa1b\x01"),
        _nest(b"\x06\x91\x92\x01"),
        b"\x06\x91",
        b"\x06\x91\x92\x01\x91\x94\x01\xd3" + b"\xff" * 8 + b"\xc2\xc2",
        b'{"x":' + b"[" * 1190,
    ],
)
def test_odd_datagrams_are_counted_and_logged_once(data):
    """Guards against a datagram that ends the process."""
    network = _make_network(1, fakes.Faults(), nodes=1)
    node = network.nodes[("127.0.0.1", 10_000)]
    for kind, type_byte in version_rollouts.TYPE_BYTES.items():
        node.gossip.handlers[type_byte] = version_rollouts.make_handler(
            kind, lambda item: None
        )
    crash_reports.CrashReports(crash_suspects.CrashSuspects(), node.gossip)
    with structlog.testing.capture_logs() as lines:
        for _ in range(3):
            node.gossip.receive(data, ("127.0.0.1", 9))
    assert node.gossip.counts.malformed == 3
    assert [line["event"] for line in lines] == ["malformed datagram dropped"]


@pytest.mark.parametrize(
    ("failed", "steps"),
    [
        (0, [1]),
        (0, [0] * (judgement.BUCKET_COUNT + 1)),
        (-5, [0] * judgement.BUCKET_COUNT),
        (0, [-1] * judgement.BUCKET_COUNT),
        (2**63, [0] * judgement.BUCKET_COUNT),
    ],
)
def test_odd_counts_of_a_rollout_are_malformed(failed, steps):
    """Guards against a judge that ends by the counts of another node."""
    routes = [judgement.RouteCount("r1", failed, steps)]
    counts = messages.TargetCounts("n2", "desk", "v2", 7, routes)
    found: list[messages.TargetCounts] = []
    handler = version_rollouts.make_handler(messages.TargetCounts, found.append)
    with pytest.raises(decoding.DecodingError):
        handler(msgspec.msgpack.encode(counts))
    assert not found


def test_oversized_datagrams_are_counted_and_dropped():
    """Guards against decoding a datagram that was truncated at the limit."""
    network = _make_network(5, fakes.Faults(), 1)
    node = network.nodes[("127.0.0.1", 10_000)]
    data = b" " * (gossip.MAX_DATAGRAM_BYTES + 1)
    node.gossip.receive(data, ("127.0.0.1", 10_001))
    assert node.gossip.counts.oversized == 1


def test_corrupted_datagrams_never_raise():
    """Guards against input for which the decoder raises another error."""
    network = _make_network(5, fakes.Faults(), 1)
    node = network.nodes[("127.0.0.1", 10_000)]
    rng = random.Random(5)
    good = msgspec.json.encode(
        gossip.Datagram("n1", "digest", 1, 0, [fakes.make_row(1)])
    )
    for _ in range(2000):
        data = bytearray(good)
        for _ in range(rng.randrange(1, 6)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        node.gossip.receive(bytes(data), ("127.0.0.1", 10_001))


def test_longest_row_fits_in_a_datagram():
    """Guards against an update that can never be sent."""
    names = "node service version region failure_domain host incarnation"
    longest = dict.fromkeys(names.split(), "x" * 63)
    network = _make_network(6, fakes.Faults(), 2)
    node = network.nodes[("127.0.0.1", 10_000)]
    node.members.apply(fakes.make_row(7, **longest, generation=2**53))
    node.gossip.send_pending()
    assert not [
        item for item in node.gossip.pending.values() if not item.passes
    ]


# The assertion that some row fits ended the process with all requests.
def test_a_row_that_fits_in_no_datagram_costs_only_itself():
    """Guards against nodes that end by names of another writer."""
    membership = members.Membership("n0")
    sent: list[bytes] = []
    gossiper = gossip.Gossiper(
        membership,
        lambda: 1,
        lambda address, data: sent.append(data),
        random.Random(1),
    )
    membership.on_newer_row = gossiper.add_row
    name = "a" + "\U00020000" * 62
    row = {
        "service": "desk",
        "version": "v1",
        "region": "r1",
        "failure_domain": "d1",
        "host": "10.0.0.1",
        "peer_port": 7380,
        "incarnation": "i1",
        "state": "ready",
        "slots": 6,
    }
    odd = {"service": name, "version": name, "region": name}
    odd["failure_domain"] = name
    membership.apply(members.parse_row(name, {**row, **odd}))
    membership.apply(members.parse_row("n2", row))
    with structlog.testing.capture_logs() as lines:
        gossiper.send_pending()
    assert [line["node"] for line in lines] == [name]
    assert any(b'"n2"' in data for data in sent)
    assert not any(name.encode() in data for data in sent)
    assert name not in gossiper.pending


def test_simultaneous_start_stays_within_the_byte_budget():
    """Guards against excessive gossip when 60 nodes start together."""
    network = _make_network(7, fakes.Faults(), 60)
    seconds = network.run(60, lambda: _agree(network))
    assert _agree(network)
    for node in network.nodes.values():
        allowed = gossip.BURST_BYTES + seconds * gossip.BYTES_PER_S
        assert node.gossip.counts.sent_bytes <= allowed


def test_document_that_cannot_be_parsed_is_rejected():
    """Guards against a crash if a newer version wrote the document."""
    configured = configuration.Configuration(fakes.Table())
    assert configured.apply_if_newer(1, CONTENT)
    assert not configured.apply_if_newer(2, {"unknown": True})
    assert configured.number == 1
    assert configured.apply_if_newer(3, CONTENT)


@pytest.mark.parametrize("length", range(1, 64))
def test_full_digest_fits_in_a_datagram(length):
    """Guards against a size estimate without the field name of the rows.

    A node failed on the size assertion when rows filled a datagram up to the
    last bytes.
    """
    network = fakes.Network(random.Random(1), fakes.Faults())
    node = network.add(0)
    for number in range(1, 20):
        version = "v" * (length if number % 2 else 1)
        node.members.apply(fakes.make_row(number, version=version))
    node.gossip.send_digest(("127.0.0.1", 10_001), "reply")
    assert node.gossip.counts.sent_bytes > 0


@pytest.mark.parametrize(("wide", "informed"), [(False, 4), (True, 23)])
def test_a_new_document_is_announced_to_all_that_may_miss_it(wide, informed):
    """Guards against changes that arrive late where the table is silent.

    Then most nodes don't know of a change, so they don't pass it on either.
    """
    network = _make_network(1, fakes.Faults())
    network.run(30, lambda: _agree(network))
    node = next(iter(network.nodes.values()))
    node.gossip.pending.clear()
    node.gossip.announces_widely = lambda: wide
    receivers = []
    node.gossip.send = lambda address, data: receivers.append(address)
    node.configured.apply_if_newer(1, CONTENT)
    node.gossip.send_pending()
    assert len(receivers) == informed
    node.gossip.send_pending()
    assert len(receivers) == informed + gossip.FANOUT
