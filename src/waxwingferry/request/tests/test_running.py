"""Tests of the recognition of nested calls by their request IDs."""

from waxwingferry.request import running


def test_nested_call_takes_over_its_parent_only_while_that_runs():
    """A call must not be taken for nested once its parent has ended."""
    requests = running.RunningRequests()
    parent = running.Parent("member-a", 1, 2)
    assert requests.find_parent("r1.c1") is None
    with requests.track("r1", parent):
        assert requests.find_parent("r1.c1") is parent
        assert requests.find_parent("r1") is None
        assert requests.find_parent("r2.c1") is None
        assert requests.find_parent("r1.") is None
    assert requests.find_parent("r1.c1") is None
    assert not requests.parents


def test_request_that_runs_twice_is_tracked_until_both_ended():
    """The end of one run must not hide the other one."""
    requests = running.RunningRequests()
    with requests.track("r1", running.Parent(priority=2)):
        with requests.track("r1", running.Parent(priority=1)):
            pass
        parent = requests.find_parent("r1.c1")
        assert parent is not None
        assert parent.priority == 2


def test_request_without_id_is_not_tracked():
    """Requests without an ID must not become the parent of any call."""
    requests = running.RunningRequests()
    with requests.track("", running.Parent()):
        assert requests.find_parent(".c1") is None
