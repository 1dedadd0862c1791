"""Rules of duties: tokens, separation of holders, and who takes over."""

import dataclasses
from typing import Any

from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from waxwingferry.process import duties
from waxwingferry.process import duty_rows
from waxwingferry.process import metrics
from waxwingferry.process import platform
from waxwingferry.process.tests import duty_simulation

NODES = st.sampled_from(duty_simulation.NAMES)
DURATIONS = st.sampled_from([0.3, 0.8, 2.0, 4.0, 12.0])
# Time after a fault; 0 lets the next one come at the same instant.
PAUSES = st.sampled_from([0.0, 0.1, 0.5, 1.0, 3.0, 6.0])
SETTINGS = settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    database=None,
)


class DutyMachine(stateful.RuleBasedStateMachine):
    """Faults of nodes, links and table; the API checks the rules."""

    duty_class: type[duties.Duty] = duties.Duty

    def __init__(self):
        super().__init__()
        self.simulation = duty_simulation.Simulation(self.duty_class)
        self.copy: tuple[platform.Row | None, int] = (None, 0)
        self.simulation.advance(10.0)

    def teardown(self):
        """Ends the coroutines."""
        self.simulation.close()

    @stateful.rule(duration_s=DURATIONS)
    def advance(self, duration_s):
        """Lets time pass."""
        self.simulation.advance(duration_s)

    @stateful.rule(
        name=NODES,
        duration_s=DURATIONS,
        at=st.sampled_from(["", "sleep", "send", "read", "write"]),
        pause_s=PAUSES,
    )
    def freeze(self, name, duration_s, at, pause_s):
        """Freezes a machine now, or when it next begins to wait."""
        node = self.simulation.nodes[name]
        if at:
            node.freeze_at = (at, duration_s)
        else:
            node.freeze(duration_s)
        self.simulation.advance(pause_s)

    @stateful.rule(name=NODES, duration_s=DURATIONS, pause_s=PAUSES)
    def cut(self, name, duration_s, pause_s):
        """Cuts a machine off from the table and the API."""
        self.simulation.nodes[name].cut(duration_s)
        self.simulation.advance(pause_s)

    @stateful.rule(
        name=NODES,
        fault=st.sampled_from(["", "response lost"]),
        delay_s=st.sampled_from([0.0, 0.5, 1.2, 2.0, 4.0, 9.0]),
        pause_s=PAUSES,
    )
    def delay_write(self, name, fault, delay_s, pause_s):
        """Delays the next write, or loses its response as well."""
        self.simulation.nodes[name].next_write = (fault, delay_s)
        self.simulation.advance(pause_s)

    @stateful.rule(name=NODES, dead=st.frozensets(NODES), pause_s=PAUSES)
    def change_view(self, name, dead, pause_s):
        """Makes a node take others for ended, so that views differ."""
        self.simulation.nodes[name].dead = dead - {name}
        self.simulation.advance(pause_s)

    @stateful.rule(name=NODES, pause_s=PAUSES)
    def restart(self, name, pause_s):
        """Kills a process and starts another one under the same name."""
        self.simulation.nodes[name].start()
        self.simulation.advance(pause_s)

    @stateful.rule(name=NODES, pause_s=PAUSES)
    def leave(self, name, pause_s):
        """Stops a duty, as a node does that leaves."""
        self.simulation.nodes[name].duty.stop()
        self.simulation.advance(pause_s)

    @stateful.rule(pause_s=PAUSES)
    def copy_table(self, pause_s):
        """Copies the table."""
        server = self.simulation.server
        self.copy = (server.row, server.number)
        self.simulation.advance(pause_s)

    @stateful.rule(pause_s=PAUSES)
    def restore_table(self, pause_s):
        """Restores the table from the copy."""
        self.simulation.server.restore(self.copy)
        self.simulation.advance(pause_s)


DutyMachine.TestCase.settings = SETTINGS
TestRules = DutyMachine.TestCase


class WithoutWait(duties.Duty):
    """Acts at once after a takeover."""

    def _begin_holding(self, row, version, began_s):
        super()._begin_holding(row, version, began_s)
        self.act_from_s = self.clock()


class WithoutWindow(duties.Duty):
    """Acts as long as it believes to hold the duty."""

    def may_act(self):
        """See duties.Duty."""
        return self.holds()


class UnconditionalTable:
    """Table that ignores the conditions of writes."""

    def __init__(self, table):
        self.table = table
        self.read = table.read

    async def transact(self, writes):
        """See platform.Table."""
        write = dataclasses.replace(writes[0], if_version=None)
        return await self.table.transact([write])


class WithoutCondition(duties.Duty):
    """Writes whatever the row is."""

    def __init__(self, *args):
        super().__init__(*args)
        table: Any = UnconditionalTable(self.rows.table)
        self.rows.table = table


class WithoutEra(duties.Duty):
    """Ignores that the table was restored."""

    def _get_era(self):
        return 0


class WithoutGap(duties.Duty):
    """Takes the state for complete after a restore."""

    def _make_takeover_row(self, old):
        row = super()._make_takeover_row(old)
        return dataclasses.replace(row, incomplete=False)


@pytest.mark.parametrize(
    "mutant",
    [WithoutWait, WithoutWindow, WithoutCondition, WithoutEra, WithoutGap],
)
def test_the_rules_fail_without_the_margin_or_the_condition(mutant):
    """Guards against a state machine that finds no violation."""
    machine = type("Mutant", (DutyMachine,), {"duty_class": mutant})
    with pytest.raises(AssertionError, match=r"token|holders|reports"):
        stateful.run_state_machine_as_test(
            machine, settings=settings(SETTINGS, phases=[Phase.generate])
        )


@pytest.fixture
def simulation():
    """Nodes of which n3 holds the duty."""
    simulation = duty_simulation.Simulation()
    simulation.advance(12.0)
    assert find_holders(simulation) == ["n3"]
    yield simulation
    simulation.close()


def find_holders(simulation):
    """Returns the names of the nodes that believe to be the holder."""
    return [n.name for n in simulation.nodes.values() if n.duty.holds()]


def test_a_standby_node_makes_no_call_to_the_table(simulation):
    """Guards against calls to the table by nodes that don't need it."""
    assert simulation.nodes["n1"].client.calls == 0
    assert simulation.nodes["n2"].client.calls == 0
    # n2 becomes the candidate, but the holder is live for it.
    simulation.nodes["n2"].duty.is_candidate = lambda: True
    simulation.advance(100.0)
    assert 8 <= simulation.nodes["n2"].client.calls <= 11
    assert find_holders(simulation) == ["n3"]


@pytest.mark.parametrize("end", ["killed", "left", "cut", "restarted"])
def test_the_duty_goes_on_when_its_holder_ends(simulation, end):
    """Guards against a duty that stays with a process that has ended."""
    node = simulation.nodes["n3"]
    ended_s = simulation.now_s
    match end:
        case "killed":
            node.process += 1
            node.duty.stop()
            node.freeze(1000.0)
        case "left":
            node.duty.stop()
            for other in ("n1", "n2"):
                simulation.nodes[other].dead = frozenset(["n3"])
        case "cut":
            node.cut(20.0)
        case "restarted":
            node.start()
    simulation.advance(12.0)
    expected = "n3" if end == "restarted" else "n2"
    assert simulation.nodes[expected].duty.holding == duties.Holding(
        expected, 2
    )
    first_s = next(s for s, _ in simulation.api.calls if s > ended_s + 1)
    assert first_s >= ended_s + duty_simulation.LEASE_S
    assert set(simulation.api.tokens[-5:]) == {2}
    simulation.advance(20.0)
    assert find_holders(simulation) == [expected]


@pytest.mark.parametrize("frozen_s", [0.0, 2.0, 8.0])
def test_the_wait_after_a_takeover_is_that_of_the_clock(simulation, frozen_s):
    """Guards against a wait that trusts the length of its sleeps."""
    simulation.nodes["n3"].freeze(100.0)
    # It would take over from n2 while n2 is frozen.
    simulation.nodes["n1"].duty.is_candidate = lambda: False
    duty = simulation.nodes["n2"].duty
    duty.sleep = lambda delay_s: duty_simulation.Wait("sleep", delay_s / 9)
    while not duty.holds():
        simulation.advance(0.05)
    taken_s = simulation.now_s
    simulation.nodes["n2"].freeze(frozen_s)
    simulation.advance(20.0)
    first_s = min(s for s, name in simulation.api.calls if name == "n2")
    wait_s = max(duty_simulation.LEASE_S, frozen_s)
    assert wait_s - 0.1 <= first_s - taken_s <= wait_s + 1.0


def test_a_live_holder_that_is_cut_off_from_the_table_is_replaced(simulation):
    """Guards against a duty that nobody performs while its holder lives."""
    node = simulation.nodes["n3"]
    node.cut(100.0)
    # The other nodes still reach it.
    node.unreachable_since_s = simulation.now_s + 100.0
    simulation.nodes["n2"].duty.is_candidate = lambda: True
    simulation.advance(30.0)
    assert simulation.nodes["n2"].duty.holding == duties.Holding("n2", 2)


def test_an_outage_of_the_table_moves_no_duty(simulation):
    """Guards against a takeover because nobody could change the row."""
    simulation.nodes["n2"].duty.is_candidate = lambda: True
    simulation.advance(5.0)
    for node in simulation.nodes.values():
        node.cut_until_s = simulation.now_s + 60.0
        node.unreachable_since_s = simulation.now_s + 60.0
    number = simulation.nodes["n3"].duty.state["number"]
    calls = simulation.nodes["n3"].client.calls
    simulation.advance(60.0)
    # Guards against calls without a pause to a table that does not answer.
    assert simulation.nodes["n3"].client.calls - calls < 25
    simulation.advance(30.0)
    assert find_holders(simulation) == ["n3"]
    assert simulation.api.tokens[-1] == 1
    assert simulation.nodes["n3"].duty.state["number"] > number


def test_a_write_that_is_applied_late_is_no_conflict(simulation):
    """Guards against a holder that gives the duty up to itself."""
    simulation.nodes["n3"].next_write = ("", 4.0)
    simulation.advance(20.0)
    assert simulation.nodes["n3"].duty.holding == duties.Holding("n3", 1)
    assert simulation.api.tokens[-1] == 1


def test_two_candidates_change_the_holder_once(simulation):
    """Guards against nodes that take the duty from each other for ever."""
    simulation.nodes["n2"].dead = frozenset(["n3"])
    simulation.nodes["n3"].dead = frozenset(["n2"])
    simulation.advance(120.0)
    assert find_holders(simulation) == ["n2"]
    assert max(simulation.api.tokens) == 2


@pytest.mark.parametrize("holder_lives", [True, False])
def test_tokens_rise_over_a_restore(simulation, holder_lives):
    """Guards against tokens that a restored table gives out again."""
    server = simulation.server
    copy = (server.row, server.number)
    simulation.nodes["n3"].start()
    simulation.advance(12.0)
    assert simulation.nodes["n3"].duty.holding == duties.Holding("n3", 2)
    if not holder_lives:
        simulation.nodes["n3"].freeze(1000.0)
    server.restore(copy)
    simulation.advance(3.0)
    name = "n3" if holder_lives else "n2"
    duty = simulation.nodes[name].duty
    simulation.advance(1.5)
    assert duty.holds()
    assert platform.get_era(duty.holding.token) == 1
    # A state that is older than the one that n3 acted on.
    assert server.row.value.get("incomplete", False) != holder_lives
    simulation.advance(10.0)
    assert simulation.api.tokens[-1] == duty.holding.token
    assert not duty.state_incomplete


@pytest.mark.parametrize(
    "value",
    [
        {},
        {"holder": "n1", "incarnation": "1", "token": "7", "state": {}},
        {"holder": "n1", "incarnation": "1", "token": -1, "state": {}},
        {"holder": "n1", "incarnation": "1", "token": True, "state": {}},
        {"holder": "n1", "incarnation": "1", "token": 7, "state": []},
        None,
    ],
)
def test_a_malformed_row_is_replaced_with_a_higher_token(value):
    """Guards against a process that ends, and a token that goes back."""
    row = platform.Row("duties/usage", value, 40, malformed=value is None)
    stored = duty_rows.interpret(row)
    assert stored.malformed
    assert stored.version == 40
    assert duty_rows.make_next_token(stored.token_floor, 0) == 41


def test_the_metrics_show_the_holding(simulation):
    """Guards against metrics that don't follow the duty."""
    counters = metrics.Metrics()
    simulation.nodes["n3"].duty.update_gauges(counters)
    text = counters.render()[0].decode()
    assert 'waxwingferry_duty_token{duty="usage"} 1' in text
    assert 'waxwingferry_duty_held{duty="usage"} 1' in text
