"""Lets operators change the document concurrently while answers are lost.

Each operator changes a separate entry of the latest document through random
nodes. Half of the platform's answers to writes are lost. Of concurrent
changes one is accepted; the other operators get a conflict and retry.
"""

import dataclasses
import random
import time

import anyio
import anyio.to_thread
import httpx

from waxwingferry.bench import callers
from waxwingferry.bench import cluster
from waxwingferry.bench import experiment
from waxwingferry.bench.experiments import propagation
from waxwingferry.cli import client
from waxwingferry.process import program

SERVICES = {"registry": 3, "desk": 2}
DOMAINS = ("d1", "d2")
OPERATOR_COUNT = 6
LOST_ANSWER_SHARE = 0.5


@dataclasses.dataclass
class Operator:
    """One operator and the results of their changes.

    Attributes:
        accepted: Weight set by each accepted revision.
        conflicts: Changes refused because of a newer revision.
        unknown_outcomes: Changes that may or may not have been written.
    """

    name: str
    rng: random.Random
    accepted: dict[int, float] = dataclasses.field(default_factory=dict)
    conflicts: int = 0
    unknown_outcomes: int = 0

    def run_changes(
        self, instances: list[cluster.Instance], end_s: float
    ) -> None:
        """Changes the operator's own weight until end_s."""
        weight = 1.0
        while time.monotonic() < end_s:
            weight += 1
            operator_client = propagation.make_operator_client(
                instances, self.rng
            )
            try:
                self._change(operator_client, weight)
            except client.ConflictError:
                self.conflicts += 1
            except program.CommandError:
                self.unknown_outcomes += 1
            time.sleep(self.rng.uniform(0, 0.1))

    def _change(self, operator_client: client.Client, weight: float) -> None:
        base, content = operator_client.get_document()
        weights = content["services"][0]["member_weights"]
        weights[self.name] = weight
        why = f"{self.name} {weight}"
        self.accepted[operator_client.put_document(content, base, why)] = weight


async def run(options: experiment.Options) -> experiment.Report:
    """Runs the experiment."""
    document = callers.make_document(list(SERVICES), DOMAINS)
    rng = random.Random(options.seed)
    operators = [
        Operator(f"operator{number}", random.Random(rng.random()))
        for number in range(OPERATOR_COUNT)
    ]
    async with cluster.run_cluster(
        SERVICES,
        document,
        domains=DOMAINS,
        first_port=options.first_port,
        seed=options.seed,
    ) as running:
        async with httpx.AsyncClient(trust_env=False) as http:
            await running.set_platform_faults(
                http, lose_share=LOST_ANSWER_SHARE, seed=options.seed
            )
            end_s = time.monotonic() + options.duration_s
            async with anyio.create_task_group() as group:
                for operator in operators:
                    group.start_soon(
                        anyio.to_thread.run_sync,
                        operator.run_changes,
                        running.instances,
                        end_s,
                    )
            await running.set_platform_faults(http)
            history = await _read_history(running, http)
        return _check_history(operators, history)


async def _read_history(running, http) -> dict[int, dict]:
    """Returns all rows of the document history by revision."""
    reply = await http.get(
        f"{running.platform_url}/table/rows",
        params={"prefix": "document/history/"},
    )
    values = [row["value"] for row in reply.json()["rows"]]
    return {value["revision"]: value for value in values}


def _check_history(
    operators: list[Operator], history: dict[int, dict]
) -> experiment.Report:
    report = experiment.Report()
    report.check(
        "revisions have no gap",
        sorted(history) == list(range(2, len(history) + 2)),
        str(sorted(history)),
    )
    for operator in operators:
        for revision, weight in operator.accepted.items():
            why = history.get(revision, {}).get("why")
            report.check(
                "an accepted change is in the history",
                why == f"{operator.name} {weight}",
                f"{operator.name} {revision}: {why}",
            )
        _check_not_undone(operator, history, report)
    accepted = sum(len(operator.accepted) for operator in operators)
    unknown_outcomes = sum(operator.unknown_outcomes for operator in operators)
    report.check(
        "every revision was told to its operator",
        accepted <= len(history) <= accepted + unknown_outcomes,
        f"{accepted} accepted, {unknown_outcomes} unknown, {len(history)} rows",
    )
    report.tables.append(
        experiment.Table(
            "changes by operator",
            ["operator", "accepted", "conflicts", "undecided"],
            [
                [o.name, str(len(o.accepted)), o.conflicts, o.unknown_outcomes]
                for o in operators
            ],
        )
    )
    report.figures["accepted"] = accepted
    report.figures["conflicts"] = sum(o.conflicts for o in operators)
    report.figures["undecided"] = unknown_outcomes
    return report


def _check_not_undone(operator: Operator, history, report) -> None:
    """Checks that no other operator's change altered an operator's weight."""
    weight = None
    for revision in sorted(history):
        row = history[revision]
        weights = row["document"]["services"][0]["member_weights"]
        if row["why"].startswith(f"{operator.name} "):
            weight = weights[operator.name]
        report.check(
            "no change undoes another's",
            weights.get(operator.name) == weight,
            f"revision {revision}: {operator.name}",
        )
