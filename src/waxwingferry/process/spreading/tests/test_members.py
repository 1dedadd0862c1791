"""Targets that entries learn from member rows."""

import random

import msgspec
import pytest

from waxwingferry.process import target
from waxwingferry.process.choice import routing
from waxwingferry.process.spreading import members
from waxwingferry.process.tests import fakes


def test_replaced_process_gets_no_calls_until_the_next_row():
    """Guards against attempts at processes that have ended.

    After a restart of all nodes, 231 attempts in two seconds went to ended
    processes, until the rows of their successors arrived.
    """
    membership = members.Membership("n0", fakes.Clock())
    membership.apply(fakes.make_row(1))
    router = routing.Router(random.Random(1))
    membership.candidates["n1"].mark_replaced()
    targets = membership.by_service["desk"]
    assert router.choose(targets, frozenset(), set()) is None
    membership.apply(fakes.make_row(1, generation=2, incarnation="next"))
    chosen = router.choose(membership.by_service["desk"], frozenset(), set())
    assert chosen is membership.candidates["n1"]
    assert chosen.incarnation == "next"


# An entry that had passed on an answer of a leaving target sent requests
# there again, once the target's node had restarted and announced it as ready.
def test_a_leave_that_an_entry_saw_outlives_the_target_node():
    """Guards against requests to a target that said that it leaves."""
    membership = members.Membership("n0", fakes.Clock())
    membership.apply(fakes.make_row(1, target="i-1:7"))
    router = routing.Router(random.Random(1))
    membership.record_leaving("i-1:7")
    restarted = fakes.make_row(
        1, target="i-1:7", generation=2, incarnation="next"
    )
    membership.apply(restarted)
    targets = membership.by_service["desk"]
    assert router.choose(targets, frozenset(), set()) is None
    membership.apply(
        fakes.make_row(1, target="i-1:8", generation=3, incarnation="third")
    )
    chosen = router.choose(membership.by_service["desk"], frozenset(), set())
    assert chosen is membership.candidates["n1"]


@pytest.mark.parametrize(
    "change",
    [
        {"host": "a..b"},
        {"host": "n1.example"},
        {"host": "10.0.0.256"},
        {"host": "10.0.0"},
        {"host": "10.0.0.1."},
        {"host": "10.0.0.1\n"},
        {"host": ""},
        {"host": None},
        {"peer_port": 0},
        {"peer_port": -1},
        {"peer_port": 65536},
        {"peer_port": 10**9},
        {"peer_port": 10**400},
        {"peer_port": "80"},
    ],
)
def test_a_row_without_a_usable_address_is_rejected(change):
    """Guards against addresses that sockets refuse or have to resolve."""
    value = {**members.format_row(fakes.make_row(1)), **change}
    with pytest.raises(members.RowError):
        members.parse_row("n1", value)


@pytest.mark.parametrize("host", ["10.0.0.1", "255.255.255.255", "fe80::1"])
def test_ip_addresses_are_accepted(host):
    """Guards against sound rows that are rejected."""
    value = {**members.format_row(fakes.make_row(1)), "host": host}
    assert members.parse_row("n1", value).host == host


@pytest.mark.parametrize(
    "name",
    ["a:\u00b2", "x\u6f22", "a\r\nb: c", "a\x00", "a" * 64, 7, ["a"], None],
)
@pytest.mark.parametrize("field", ["incarnation", "target"])
def test_a_row_with_an_odd_incarnation_is_rejected(field, name):
    """Guards against requests that fail because a header field is invalid."""
    value = {**members.format_row(fakes.make_row(1)), field: name}
    with pytest.raises(members.RowError):
        members.parse_row("n1", value)


def test_a_row_without_a_target_is_accepted():
    """Guards against sound rows that are rejected."""
    value = members.format_row(fakes.make_row(1, target=""))
    assert members.parse_row("n1", value).target == ""


# The start of a node reads the time from its own row.
@pytest.mark.parametrize("started", ["\u00b2", "9" * 5000, "-1", ""])
def test_an_odd_start_time_in_an_incarnation_counts_as_unknown(started):
    """Guards against a node that ends at each start by its own row."""
    assert target.split_incarnation(f"i-1:{started}") == ("i-1", 0)


def test_some_nodes_probe_the_connections_to_the_table():
    """Guards against silent connections that no node, or every one, probes."""
    rows = [fakes.make_row(number) for number in range(9)]

    def list_probers(rows):
        found = []
        for own in rows:
            membership = members.Membership(own.node, fakes.Clock())
            membership.announce(own)
            membership.apply_all(rows)
            if membership.is_prober():
                found.append(own.node)
        return found

    assert list_probers(rows) == ["n7", "n8"]
    assert list_probers(rows[:1]) == ["n0"]
    # n1 and n5 are in the same failure domain.
    assert list_probers([rows[0], rows[1], rows[5]]) == ["n0", "n5"]
    rows[8] = fakes.make_row(8, state="leaving")
    assert list_probers(rows) == ["n6", "n7"]
    # 195 nodes that started together all polled for a short time only.
    assert not members.Membership("n0", fakes.Clock()).is_prober()


def test_one_node_is_the_candidate_for_duties():
    """Guards against duties that no node, or every one, takes over."""
    rows = [fakes.make_row(number) for number in range(4)]
    rows[3] = fakes.make_row(3, state="draining")

    def make_membership(own):
        membership = members.Membership(own.node, fakes.Clock())
        membership.announce(own)
        membership.apply_all(rows)
        return membership

    known = [make_membership(own) for own in rows]
    assert [item.is_duty_candidate() for item in known] == [
        False,
        False,
        True,
        False,
    ]
    known[1].mark_suspect("n2")
    assert known[1].is_duty_candidate()
    assert not known[0].is_duty_candidate()
    known[1].clear_suspect("n2")
    assert not known[1].is_duty_candidate()
    known[0].apply(fakes.make_row(1, state="leaving", change=2))
    known[0].records["n2"].age_s = members.LEASE_TTL_S + 1
    assert known[0].is_duty_candidate()
    # Nodes that start together don't know each other before they announce
    # themselves.
    assert not members.Membership("n0", fakes.Clock()).is_duty_candidate()


@pytest.mark.parametrize(
    ("change", "live"),
    [
        ({}, True),
        ({"state": "draining", "change": 2}, True),
        ({"state": "leaving", "change": 2}, False),
        ({"incarnation": "next", "generation": 2}, False),
    ],
)
def test_the_holder_of_a_duty_is_one_process_of_a_live_node(change, live):
    """Guards against a duty that stays with a process that has ended."""
    membership = members.Membership("n0", fakes.Clock())
    row = fakes.make_row(1)
    membership.apply(row)
    membership.apply(fakes.make_row(1, **change))
    assert membership.is_live("n1", row.incarnation) == live
    assert not membership.is_live("n9", row.incarnation)
    membership.mark_suspect("n1")
    assert not membership.is_live("n1", row.incarnation)


def test_a_target_that_leaves_gets_no_work_after_its_node_restarts():
    """Guards against a leave that the row of a restarted node undoes.

    The node had ended before it could write the leave to the table.
    """
    membership = members.Membership("n0", fakes.Clock())
    membership.apply(fakes.make_row(1, target="i-1:10"))
    membership.apply(
        fakes.make_row(1, target="i-1:10", state="draining", change=2)
    )
    restarted = fakes.make_row(
        1, target="i-1:10", incarnation="next", generation=2
    )
    membership.apply(restarted)
    assert membership.candidates["n1"].state == "draining"
    assert [row.state for row in membership.find_rows("n1")] == ["draining"]
    membership.apply(
        msgspec.structs.replace(restarted, change=3, target="i-1:20")
    )
    assert membership.candidates["n1"].state == "ready"


def test_a_process_can_withdraw_the_leave_that_it_announced():
    """Guards against a target that gets no work after its drain was ended.

    Targets of the project's own protocol may report that they are ready again.
    """
    membership = members.Membership("n0", fakes.Clock())
    row = fakes.make_row(1, target="i-1:10", state="draining")
    membership.apply(row)
    membership.apply(msgspec.structs.replace(row, state="ready", change=2))
    assert membership.candidates["n1"].state == "ready"
    membership.record_leaving("i-1:10")
    membership.apply(msgspec.structs.replace(row, change=3))
    membership.apply(msgspec.structs.replace(row, state="ready", change=4))
    assert membership.candidates["n1"].state == "draining"
