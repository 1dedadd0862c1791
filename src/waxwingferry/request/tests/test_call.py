"""Deadlines of calls."""

from waxwingferry import boot_clock
from waxwingferry.request import call


def test_a_deadline_passes_while_the_machine_is_suspended(monkeypatch) -> None:
    """Guards against work for a caller who stopped waiting long ago."""
    now_s = boot_clock.read_s()
    deadline = call.make_deadline(1.0)
    assert 0 < deadline.remaining_s() <= 1.0
    monkeypatch.setattr(boot_clock, "read_s", lambda: now_s + 5)
    assert deadline.remaining_s() < 0
