"""Window arithmetic, the stored state and true time."""

import pytest

from waxwingferry.process.tests import fakes
from waxwingferry.process.usage import true_time
from waxwingferry.process.usage import windows


def test_windows_begin_at_multiples_of_their_length():
    """Guards against window ids that differ from the platform's."""
    assert windows.find_window(1_767_225_600.0, 5.0) == 353445120
    assert windows.find_window(1_767_225_604.999, 5.0) == 353445120
    assert windows.get_start_s(353445120, 5.0) == 1_767_225_600.0
    assert windows.find_newest_ended(1006.0, 5.0, 1.0) == 200
    assert windows.find_newest_ended(1005.9, 5.0, 1.0) == 199
    assert windows.find_oldest_retained(1061.0, 5.0, 60.0) == 201


def test_merged_counts_are_bounded_and_have_no_zeros():
    """Guards against a report that faulty nodes make too large."""
    assert windows.merge([{"b": 1, "c": 0}, {"a": 2, "b": 3}]) == {
        "a": 2,
        "b": 4,
    }
    many = {f"w{number}": 1 for number in range(6000)}
    merged = windows.merge([many, {"w5999": 1}])
    assert len(merged) == windows.MAX_REPORTED_WORKSPACES
    assert merged["w5999"] == 2


def test_a_state_survives_the_row():
    """Guards against counts that change on the way through the row."""
    reports = [windows.Report(7, {"a": 1}), windows.Report(8, {})]
    state, given_up = windows.store_reports(windows.State(7), reports, -1)
    assert windows.parse_state(windows.format_state(state)) == state
    assert given_up == []
    state, _ = windows.store_reports(state, [windows.Report(9, {})], 7)
    assert [item.window for item in state.pending] == [8, 9]
    assert state.confirmed == 7
    with pytest.raises(ValueError, match="window 11"):
        windows.store_reports(state, [windows.Report(11, {})], 7)


def test_what_an_incomplete_row_does_not_show_is_skipped():
    """Guards against windows sent again after a restore of the table."""
    reports = [windows.Report(7, {"a": 1})]
    state, _ = windows.store_reports(windows.State(7), reports, -1)
    data = windows.format_state(state)
    assert windows.open_state(data, False, 20) == state
    opened = windows.open_state(data, True, 20)
    assert (opened.next_window, opened.pending) == (20, state.pending)
    assert windows.open_state(data, True, 3).next_window == 8
    assert windows.open_state({"next": "x"}, False, 20) == windows.State(20)


@pytest.mark.parametrize(
    "data",
    [
        {},
        {"next": 5, "confirmed": 5, "pending": []},
        {"next": 5, "confirmed": 1, "pending": [[5, {}]]},
        {"next": 5, "confirmed": 1, "pending": [[3, {}], [2, {}]]},
        {"next": 5, "confirmed": 1, "pending": [[3, {"a": -1}]]},
        {"next": -1, "confirmed": -1, "pending": []},
        {
            "next": 99,
            "confirmed": 1,
            "pending": [[n, {}] for n in range(2, 40)],
        },
    ],
)
def test_malformed_states_are_refused(data):
    """Guards against a row of another writer that stops all reports."""
    with pytest.raises(windows.CountsError):
        windows.parse_state(data)


def test_true_time_is_the_median_and_moves_slowly():
    """Guards against window ids that follow clocks which jumped."""
    clock = fakes.Clock(1000.0)
    times = true_time.TrueTime(clock)
    times.update([50.0, 57.0], 5)
    assert times.offset_s is None
    times.update([50.0, 57.0, 50.1, 50.2, 43.0], 5)
    assert times.offset_s == 50.1
    times.update([90.0, 90.0, 90.0], 5)
    assert times.offset_s == pytest.approx(50.3)
    times.update([90.0, 90.0], 5)
    assert times.read_s() == pytest.approx(1050.3)


def test_a_small_group_has_a_true_time():
    """Guards against a group of two nodes that never reports."""
    clock = fakes.Clock(1000.0)
    times = true_time.TrueTime(clock)
    times.update([50.0, 51.0], 2)
    assert times.offset_s == 50.0
    # As soon as there are enough clocks, their median counts.
    times.update([40.0, 40.0, 40.0], 3)
    assert times.offset_s == 40.0
    clock.now_s += true_time.MAX_AGE_S + 1
    times.forget_if_old()
    assert times.offset_s is None
