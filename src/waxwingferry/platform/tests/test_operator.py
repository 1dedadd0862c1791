"""The operator's rows as the product's revision."""

import pytest

from waxwingferry.platform import boot
from waxwingferry.platform import operator
from waxwingferry.platform.tests import standin

pytestmark = pytest.mark.anyio

BOUNDS = boot.Bounds(0.2, 56, 0.1, 50, 1.5, 5)
CONFIG = {
    "version": "r7",
    "services": [
        {
            "name": "desk",
            "health-path": "/health",
            "max-connections": 220,
            "warmup": "3s",
            "warmup-per-s": 6.9,
        },
        {"name": "registry"},
    ],
    "limits": {"max-header-bytes": 16384, "header-timeout": "3000ms"},
    "virtual-hosts": [
        {
            "authority": "A.example",
            "paths": [
                {
                    "name": "r1",
                    "prefix": "/a/",
                    "route-type": "unsafe",
                    "timeout": "1500ms",
                    "target-latency": "800ms",
                    "priority": 1,
                    "service": "desk",
                    "max-attempts": 2,
                },
                {
                    "name": "r2",
                    "prefix": "/a/b/",
                    "route-type": "safe",
                    "timeout": "1.2s",
                    "target-latency": "600ms",
                    "weighted-targets": [
                        {"service": "desk", "weight": 90},
                        {"service": "registry", "weight": 10},
                    ],
                    "max-attempts": 3,
                },
            ],
        }
    ],
}


async def test_a_configuration_is_decoded():
    """Guards against routes, times and kinds read wrongly."""
    async with standin.run_store() as (made, table):
        made.put("op", "config", CONFIG)
        document = operator.OperatorDocument(table, BOUNDS)
        assert await document.read()
        found = document.revision
        assert found is not None
        first = found.match_route("POST", "/a/x?q=1", "a.example")
        assert first is not None
        assert (first.name, first.idempotent) == ("r1", False)
        assert (first.deadline_s, first.objective_s) == (1.5, 0.8)
        longer = found.match_route("GET", "/a/b/", "a.example")
        assert longer is not None
        assert longer.idempotent
        assert [part.weight for part in longer.weighted_services] == [
            90.0,
            10.0,
        ]
        assert found.match_route("GET", "/a/", "b.example") is None
        assert found.services["desk"].warmup_rate_per_s == 6.9
        assert found.caller_limits.head_s == 3.0


async def test_an_order_with_an_empty_value_counts():
    """Guards against a zone that stays in because its row says nothing.

    Rows without a value were taken for unreadable ones, and a zone got 152
    requests after its evacuation.
    """
    async with standin.run_store() as (made, table):
        made.put("op", "config", CONFIG)
        made.put("op", "evacuate/rimouski-b", {})
        document = operator.OperatorDocument(table, BOUNDS)
        await document.read()
        assert document.revision is not None
        assert document.revision.domains_out == {"rimouski-b"}
        made.remove("op", "evacuate/rimouski-b")
        await document.watch()
        assert document.revision.domains_out == set()


async def test_a_removed_order_is_seen_after_the_history_is_gone():
    """Guards against an order kept because its removal left no version."""
    async with standin.run_store() as (made, table):
        made.put("op", "config", CONFIG)
        made.put("op", "evacuate/a", {})
        document = operator.OperatorDocument(table, BOUNDS)
        await document.read()
        made.remove("op", "evacuate/a")
        made.oldest = made.ver
        await document.watch()
        assert document.revision is not None
        assert document.revision.domains_out == set()


async def test_a_rollout_is_ordered_with_the_version_of_its_row():
    """Guards against a repeated order taken for one that was decided."""
    async with standin.run_store() as (made, table):
        made.put("op", "config", CONFIG)
        order = {"service": "desk", "target": "v2", "duration": "12s"}
        version = made.put("op", "rollout/desk", order)
        made.put("op", "rollout/registry", {"service": "registry"})
        document = operator.OperatorDocument(table, BOUNDS)
        await document.read()
        assert document.revision is not None
        assert list(document.revision.rollouts) == ["desk"]
        rollout_order = document.revision.rollouts["desk"]
        assert (
            rollout_order.version,
            rollout_order.duration_s,
            rollout_order.number,
        ) == (
            "v2",
            12.0,
            version,
        )


async def test_a_configuration_not_understood_leaves_the_last_one():
    """Guards against a node without routes because of one bad document."""
    async with standin.run_store() as (made, table):
        made.put("op", "config", CONFIG)
        document = operator.OperatorDocument(table, BOUNDS)
        await document.read()
        number = document.number
        made.put("op", "config", {"version": "r9"})
        await document.watch()
        assert document.number == number
