"""Runs transfers while nodes, targets, connections and the platform fail.

At random times, nodes and targets are killed (SIGKILL) or paused and resumed
(SIGSTOP, SIGCONT), connections between nodes are cut or go silent, and the
platform is down, slow or loses answers. Callers retry with the same
idempotency key through another node. The targets' ledgers persist across
restarts and show how often each transfer ran, and with which body.
"""

import random
import signal
import time

import anyio
import httpx

from waxwingferry.bench import callers
from waxwingferry.bench import cluster
from waxwingferry.bench import experiment
from waxwingferry.bench import transfers
from waxwingferry.emulator import relay

TARGET_COUNT = 4
CALLER_COUNT = 16
LATE_ARRIVAL_WAIT_S = 3.0


class FaultInjector:
    """Injects one fault after the other.

    Args:
        running: The processes.
        relays: Relays between the nodes.
        rng: Source of all random choices.
        client: HTTP client for the control requests to the emulators.
    """

    def __init__(
        self,
        running: cluster.Cluster,
        relays: list[relay.Relay],
        rng: random.Random,
        client: httpx.AsyncClient,
    ):
        self.running = running
        self.relays = relays
        self.rng = rng
        self.client = client
        self.fault_counts: dict[str, int] = {}

    async def run(self, duration_s: float) -> None:
        """Injects faults for a time, then clears the faults of the platform."""
        faults = (
            self.kill_node,
            self.kill_target,
            self.freeze_node,
            self.freeze_target,
            self.cut,
            self.silence,
            self.fail_platform,
        )
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            await anyio.sleep(self.rng.uniform(0.1, 0.4))
            fault = self.rng.choice(faults)
            self.fault_counts[fault.__name__] = (
                self.fault_counts.get(fault.__name__, 0) + 1
            )
            await fault()
        await self.running.set_platform_faults(self.client)

    def _pick_instance(self) -> cluster.Instance:
        return self.rng.choice(self.running.instances)

    async def kill_node(self) -> None:
        """Kills a node and restarts it."""
        instance = self._pick_instance()
        assert instance.node is not None
        instance.node.kill()
        instance.node.wait()
        self.running.start_node(instance)

    async def kill_target(self) -> None:
        """Kills a target and restarts it."""
        instance = self._pick_instance()
        assert instance.target is not None
        instance.target.kill()
        instance.target.wait()
        self.running.start_target(instance)

    async def _pause_process(self, process) -> None:
        process.send_signal(signal.SIGSTOP)
        try:
            await anyio.sleep(self.rng.choice((0.1, 0.7, 2.5)))
        finally:
            process.send_signal(signal.SIGCONT)

    async def freeze_node(self) -> None:
        """Pauses a node for a random time."""
        await self._pause_process(self._pick_instance().node)

    async def freeze_target(self) -> None:
        """Pauses a target for a random time."""
        await self._pause_process(self._pick_instance().target)

    async def cut(self) -> None:
        """Cuts the connections to a random node."""
        self.rng.choice(self.relays).cut()

    async def silence(self) -> None:
        """Makes the open connections to a random node silent permanently."""
        self.rng.choice(self.relays).silence()

    async def fail_platform(self) -> None:
        """Injects a random fault into the platform for a random time."""
        faults = self.rng.choice(
            (
                {"down": True},
                {"lose_share": 0.5},
                {"fail_share": 0.5},
                {"delay_s": 0.3},
                {"lose_answers": 3},
            )
        )
        seed = self.rng.randrange(1000)
        await self.running.set_platform_faults(self.client, **faults, seed=seed)
        await anyio.sleep(self.rng.uniform(0.2, 1.0))
        await self.running.set_platform_faults(self.client)


async def run(options: experiment.Options) -> experiment.Report:
    """Runs the experiment."""
    report = experiment.Report()
    rng = random.Random(options.seed)
    running = cluster.Cluster(
        {"registry": TARGET_COUNT},
        transfers.DOCUMENT,
        behaviour={"service_time_ms": 100.0, "cut_share": 0.02},
        first_port=options.first_port,
        seed=options.seed,
    )
    async with cluster.run_behind_relays(running) as relays:
        await _run_load(running, relays, rng, options, report)
    return report


async def _run_load(
    running: cluster.Cluster,
    relays: list[relay.Relay],
    rng: random.Random,
    options: experiment.Options,
    report: experiment.Report,
) -> None:
    load = transfers.TransferCallers(
        running.instances, rng, upload_sizes=callers.UPLOAD_SIZES
    )
    async with httpx.AsyncClient(trust_env=False, timeout=5) as client:
        injector = FaultInjector(running, relays, rng, client)
        async with anyio.create_task_group() as group:
            group.start_soon(load.run, CALLER_COUNT, options.duration_s)
            group.start_soon(injector.run, options.duration_s)
        # A refusal as not run must also hold for attempts that arrive late, so
        # the ledgers are read only after they had time to arrive.
        await anyio.sleep(LATE_ARRIVAL_WAIT_S)
        events = await transfers.read_events(client, running.instances)
    load.check(running.read_ledgers(), report)
    faults = experiment.Table("faults", ["fault", "n"])
    faults.rows = [[*item] for item in sorted(injector.fault_counts.items())]
    report.tables = [
        load.table("transfers by outcome"),
        faults,
        transfers.events_table(events),
    ]
    report.figures = {"events": events, "faults": injector.fault_counts}
