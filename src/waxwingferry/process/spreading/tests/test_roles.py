"""Which nodes are given a role or a share, and who takes their place."""

import random

import msgspec
import pytest

from waxwingferry.process import metrics
from waxwingferry.process.spreading import configuration
from waxwingferry.process.spreading import gossip
from waxwingferry.process.spreading import lease
from waxwingferry.process.spreading import members
from waxwingferry.process.spreading import peers
from waxwingferry.process.spreading import synchronizer
from waxwingferry.process.tests import fakes

pytestmark = pytest.mark.anyio

NODES = 6


def make_membership(own: int = 0) -> members.Membership:
    """Returns what node n<own> knows of n0 to n5."""
    membership = members.Membership(f"n{own}", fakes.Clock())
    membership.announce(fakes.make_row(own))
    membership.apply_all(fakes.make_row(number) for number in range(NODES))
    return membership


def get_clock(membership: members.Membership) -> fakes.Clock:
    """Returns the clock that a test sets."""
    assert isinstance(membership.clock, fakes.Clock)
    return membership.clock


def make_synchronizer(
    membership: members.Membership,
) -> synchronizer.Synchronizer:
    """Returns the synchronizer of a node that knows a membership."""
    table, rng = fakes.Table(), random.Random(1)
    gossiper = gossip.Gossiper(
        membership, lambda: 1, lambda *_: None, rng, (), membership.clock
    )
    return synchronizer.Synchronizer(
        configuration.Configuration(table),
        membership,
        lease.Lease(table, membership, rng, membership.clock),
        gossiper,
        peers.PeerClient(),
        metrics.Metrics(),
        rng,
        (),
        membership.clock,
    )


async def run_checks(
    membership: members.Membership, monkeypatch, live: set[str], duration_s: int
) -> None:
    """Lets a node check others for a time in which it hears from nobody.

    Args:
        membership: What the node knows.
        monkeypatch: The pytest fixture.
        live: Nodes that accept connections.
        duration_s: Length of that time.
    """
    ports = {
        record.row.peer_port
        for node, record in membership.records.items()
        if node in live
    }
    clock = get_clock(membership)

    async def is_alive(address):
        return address[1] in ports

    class SleepError(Exception):
        pass

    end_s = clock() + duration_s

    async def sleep(delay_s):
        clock.now_s += delay_s
        if clock() > end_s:
            raise SleepError

    monkeypatch.setattr(peers, "is_alive", is_alive)
    monkeypatch.setattr(synchronizer.anyio, "sleep", sleep)
    with pytest.raises(SleepError):
        await make_synchronizer(membership).run_suspect_checks()


# Their targets had drained, so nobody sent them work and no refused connection
# made them suspects. A config was in force 17 s late (CONFIG).
async def test_probers_that_are_gone_for_good_are_replaced(monkeypatch):
    """Guards against silent connections that no living node looks for."""
    membership = make_membership(own=3)
    for number in (4, 5):
        row = fakes.make_row(number, state="draining", change=2)
        membership.apply(row)
    assert not membership.is_prober()
    await run_checks(
        membership, monkeypatch, {"n0", "n1", "n2", "n3"}, duration_s=20
    )
    assert membership.is_prober()


async def test_a_quiet_node_that_lives_keeps_its_role(monkeypatch):
    """Guards against nodes that lose their role because nothing happens."""
    membership = make_membership(own=3)
    await run_checks(
        membership,
        monkeypatch,
        {f"n{number}" for number in range(NODES)},
        duration_s=60,
    )
    assert membership.rank_probers()[:2] == ["n5", "n4"]


async def test_few_nodes_check_a_silent_one(monkeypatch):
    """Guards against checks that grow with the square of the cluster."""
    membership = make_membership(own=3)
    membership.apply_all(fakes.make_row(number) for number in range(200))
    get_clock(membership).now_s += members.SILENCE_LIMIT_S + 1
    checking = make_synchronizer(membership)
    rounds = 300
    checks = sum(len(checking._choose_silent()) for _ in range(rounds))
    silent = len(membership.find_silent())
    assert 0 < silent <= 3 * members.CHECKED_RANKS
    # All nodes together check each of them twice in a round.
    assert checks / rounds < 2 * silent * synchronizer.SILENT_CHECKS / 200


@pytest.mark.parametrize("state", ["ready", "draining"])
def test_a_node_that_stops_gives_up_its_role(state):
    """Guards against a role of a node that was taken away as planned.

    The row of a node whose target drained never said that the node leaves.
    """
    membership = make_membership()
    row = fakes.make_row(5, state=state, change=2)
    membership.apply(msgspec.structs.replace(row, stopping=True))
    assert membership.rank_probers()[:2] == ["n4", "n3"]
    assert "n5" not in membership.list_role_names()
    membership.apply(fakes.make_row(5, generation=2, incarnation="next"))
    assert "n5" in membership.list_role_names()


def test_a_node_that_was_cut_off_keeps_its_share():
    """Guards against shares of a limit that add up to more than the limit.

    A node that can't be reached goes on with its share; one that left doesn't.
    """
    membership = make_membership()
    membership.mark_suspect("n4")
    assert membership.count_members() == NODES
    assert "n4" not in membership.list_role_names()
    membership.apply(fakes.make_row(4, change=2, stopping=True))
    assert membership.count_members() == NODES - 1
    membership.age_leases()
    membership.records["n5"].age_s = members.LEASE_TTL_S + 1
    membership.age_leases()
    assert membership.count_members() == NODES - 2


def test_a_stopped_node_gets_no_messages():
    """Guards against messages to processes that ended long ago."""
    membership = make_membership()
    membership.apply(fakes.make_row(5, change=2, stopping=True))
    assert "n5" in {row.node for row in membership.peers()}
    get_clock(membership).now_s += members.STOP_TIME_S + 1
    assert "n5" not in {row.node for row in membership.peers()}


def test_a_row_of_an_earlier_version_has_no_leave():
    """Guards against rows that a newer version of the program can't read."""
    value = members.format_row(fakes.make_row(1))
    del value["stopping"]
    assert not members.parse_row("n1", value).stopping
