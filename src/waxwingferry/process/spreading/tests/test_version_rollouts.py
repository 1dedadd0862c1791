"""Tests which nodes judge version rollouts, and who hears of decisions."""

import random
from typing import Any

import msgspec
import pytest

from waxwingferry.process import metrics
from waxwingferry.process.spreading import configuration
from waxwingferry.process.spreading import gossip
from waxwingferry.process.spreading import members
from waxwingferry.process.spreading import version_rollouts
from waxwingferry.process.tests import fakes
from waxwingferry.request import receive
from waxwingferry.version import judgement
from waxwingferry.version import messages
from waxwingferry.version import revision
from waxwingferry.version import rollout

pytestmark = pytest.mark.anyio

ORDER = revision.RolloutOrder("desk", "v2", 16.0, 7)
COUNTS = messages.TargetCounts(
    "n2", "desk", "v2", 7, [judgement.RouteCount("r1", 4)]
)


class RolloutNode:
    """Version rollouts of node n2, and the datagrams that it sends.

    Attributes:
        sent: Ports that datagrams were sent to, and their first bytes.
    """

    def __init__(self):
        self.clock = fakes.Clock()
        self.membership = members.Membership("n2", self.clock)
        self.membership.announce(fakes.make_row(2))
        self.membership.apply_all(fakes.make_row(item) for item in range(5))
        configured = configuration.Configuration(fakes.Table())
        services = {"desk": revision.Service("desk")}
        configured.revision = revision.Revision(
            1, {}, [], services, rollouts={"desk": ORDER}
        )
        self.sent: list[tuple[int, bytes]] = []
        gossiper = gossip.Gossiper(
            self.membership,
            lambda: 1,
            lambda address, data: self.sent.append((address[1], data[:1])),
            random.Random(1),
            clock=self.clock,
        )
        receiver = receive.Receiver(
            "inc", lambda: False, lambda: None, metrics.Metrics()
        )
        store: Any = None
        self.rollouts = version_rollouts.make_rollouts(
            self.membership, configured, receiver, gossiper, store, 0.1, 50.0
        )

    def remove(self, number: int, state: str) -> None:
        """Lets a node announce its leave, as it does before it is removed."""
        row = fakes.make_row(number, state=state, change=2, stopping=True)
        self.membership.apply(row)

    def list_receivers(self) -> list[int]:
        """Returns the nodes that were sent something since the last call."""
        found = sorted(port - 10_000 for port, _ in self.sent)
        self.sent.clear()
        return found


# The version before was completed, and its targets stopped with their nodes.
async def test_judges_that_were_taken_away_are_replaced():
    """Guards against a bad version that no living node judges.

    Its order was not answered, and it got 350 requests too many (EXPOSURE).
    """
    node = RolloutNode()
    assert node.rollouts.judges()[: rollout.JUDGE_COUNT] == ["n0", "n1"]
    # A node whose target was ready announces the state "leaving".
    node.membership.apply(fakes.make_row(0, state="leaving", change=2))
    node.membership.apply(fakes.make_row(1, state="leaving", change=2))
    assert node.rollouts.judges()[: rollout.JUDGE_COUNT] == ["n2", "n3"]


async def test_new_judges_get_the_counts_that_the_earlier_ones_had():
    """Guards against evidence that ends with the nodes that had it."""
    node = RolloutNode()
    node.rollouts._push_counts(COUNTS)
    assert node.list_receivers() == [0, 1]
    node.rollouts._push_counts(COUNTS)
    assert node.list_receivers() == []
    node.remove(0, "draining")
    node.rollouts._push_counts(COUNTS)
    assert node.list_receivers() == [1]
    progress = node.rollouts._find_progress("desk")
    assert progress is not None
    assert progress.counts["n2"] == COUNTS


async def test_a_stopping_node_hears_of_decisions_but_judges_none():
    """Guards against requests that a stopping node sends to a bad version."""
    node = RolloutNode()
    node.remove(3, "ready")
    node.rollouts._broadcast(messages.Stop("desk", 7))
    assert node.list_receivers() == [0, 1, 3, 4]
    assert "n3" not in node.rollouts.judges()


def test_the_exposure_of_a_node_that_is_cut_off_is_not_given_to_others():
    """Guards against parts of the exposure that add up to more than all."""
    node = RolloutNode()
    node.membership.mark_suspect("n4")
    assert node.rollouts.count_nodes() == 5
    node.remove(4, "ready")
    assert node.rollouts.count_nodes() == 4


def test_the_own_row_counts_after_a_restart_without_a_target():
    """Guards against a judge that others choose but that does not judge."""
    membership = members.Membership("n0", fakes.Clock())
    earlier = fakes.make_row(0, incarnation="earlier")
    membership.apply(msgspec.structs.replace(earlier, stopping=True))
    assert membership.list_role_names() == ["n0"]
