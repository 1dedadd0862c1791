"""Injects random faults, also overlapping ones, into a running cluster."""

from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import random
import signal
import subprocess
import time
from typing import Any

import anyio
import anyio.to_thread
import httpx

from waxwingferry.bench import cluster
from waxwingferry.emulator import relay

OUT_GRACE_S = 3.0
# Maximum delay of traffic between nodes; exceeds the timeout of a probe.
MAX_DELAY_S = 0.4


@dataclasses.dataclass(slots=True)
class Fault:
    """One injected fault.

    Attributes:
        name: Kind of the fault.
        victim: Name of the affected instance, platform, failure domain or
            document.
        begin_s: Wall-clock time of the injection.
        end_s: Wall-clock time of the recovery, or 0 while the fault is active.
    """

    name: str
    victim: str
    begin_s: float
    end_s: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class StatedRate:
    """A rate that a target stated in its responses.

    Attributes:
        instance: Name of the target's instance.
        rate_per_s: Stated requests per second.
        begin_s: Wall-clock time from which all responses stated it.
        end_s: Wall-clock time until which they did.
    """

    instance: str
    rate_per_s: float
    begin_s: float
    end_s: float


class Injector:
    """Injects random faults and reverts them.

    Args:
        running: Cluster to disturb.
        client: Client for control and admin requests.
        rng: Source of all random choices.
        relays: Relays in front of the nodes, in the order of the instances.

    Attributes:
        faults: All faults injected so far.
        affected: Names of instances with an active fault, "platform" and
            "domain" while such a fault is active.
        turned_cold: Names of targets that became cold without a restart.
        accepted: Wall-clock time and number of each accepted revision.
        race_winners: Number of accepted changes in each race of operators.
        stated_rates: Rates that targets stated.
        actions: Injecting methods by kind of fault.
        relays_by_name: Relays by name of the instance.
    """

    def __init__(
        self,
        running: cluster.Cluster,
        client: httpx.AsyncClient,
        rng: random.Random,
        relays: list[relay.Relay],
    ):
        self.running = running
        self.client = client
        self.rng = rng
        self.faults: list[Fault] = []
        self.affected: set[str] = set()
        self.turned_cold: set[str] = set()
        self.accepted: list[tuple[float, int]] = []
        self.race_winners: list[int] = []
        self.stated_rates: list[StatedRate] = []
        self.actions: dict[str, Callable[[], Coroutine[Any, Any, None]]] = {
            "kill node": self.kill_node,
            "freeze node": self.freeze_node,
            "restart node": self.restart_node,
            "kill target": self.kill_target,
            "freeze target": self.freeze_target,
            "target turns cold": self.turn_target_cold,
            "target slow": self.slow_target,
            "target sheds": self.make_target_shed,
            "answers cut": self.cut_answers,
            "answers crossed": self.cross_answers,
            "target drains": self.drain_target,
            "target states a rate": self.state_rate,
            "target states that it leaves": self.state_leave,
            "platform down": self.stop_platform,
            "platform slow": self.slow_platform,
            "platform loses answers": self.lose_platform_answers,
            "domain out": self.take_domain_out,
            "operators race": self.race_operators,
            "path delayed": self.delay_path,
            "path cut inwards": self.block_path_in,
            "path cut outwards": self.block_path_out,
            "connections reset": self.reset_connections,
            "connections silent": self.silence_connections,
            "all nodes killed": self.kill_all_nodes,
        }
        self.relays_by_name = {
            instance.name: path
            for instance, path in zip(running.instances, relays, strict=True)
        }

    async def run(self, duration_s: float, mean_pause_s: float) -> None:
        """Injects faults for the given duration and reverts all of them."""
        end_s = time.monotonic() + duration_s
        names = list(self.actions)
        self.rng.shuffle(names)
        action_number = 0
        async with anyio.create_task_group() as group:
            while time.monotonic() < end_s:
                # A shuffled round-robin, so that each kind of fault occurs.
                action_name = names[action_number % len(names)]
                action_number += 1
                group.start_soon(self.actions[action_name])
                await anyio.sleep(self.rng.expovariate(1 / mean_pause_s))

    def _start_fault(self, name: str, victim: str) -> Fault:
        fault = Fault(name, victim, time.time())
        self.faults.append(fault)
        return fault

    def _reserve_instance(self) -> cluster.Instance | None:
        """Returns an unaffected instance and marks it as affected.

        Returns None if at most half of the instances are unaffected.
        """
        free = [
            m for m in self.running.instances if m.name not in self.affected
        ]
        if len(free) <= len(self.running.instances) // 2:
            return None
        instance = self.rng.choice(free)
        self.affected.add(instance.name)
        return instance

    def _end_fault(self, instance: cluster.Instance, fault: Fault) -> None:
        fault.end_s = time.time()
        self.affected.discard(instance.name)

    async def _sleep_random(self, low_s: float, high_s: float) -> None:
        await anyio.sleep(self.rng.uniform(low_s, high_s))

    async def _signal_and_wait(
        self, process: subprocess.Popen | None, signal_number
    ) -> None:
        assert process is not None
        process.send_signal(signal_number)
        await anyio.to_thread.run_sync(process.wait, 30)

    async def kill_node(self) -> None:
        """Kills a node with SIGKILL and restarts it."""
        if instance := self._reserve_instance():
            fault = self._start_fault("kill node", instance.name)
            await self._signal_and_wait(instance.node, signal.SIGKILL)
            await self._sleep_random(0.1, 2.0)
            self.running.start_node(instance)
            self._end_fault(instance, fault)

    async def restart_node(self) -> None:
        """Stops a node gracefully, with further signals, and restarts it."""
        if instance := self._reserve_instance():
            fault = self._start_fault("restart node", instance.name)
            async with anyio.create_task_group() as group:
                group.start_soon(self._send_signals, instance.node)
                await self._signal_and_wait(instance.node, signal.SIGTERM)
                group.cancel_scope.cancel()
            self.running.start_node(instance)
            self._end_fault(instance, fault)

    async def _send_signals(self, process: subprocess.Popen | None) -> None:
        """Tells a node that stops to reload or to stop, until cancelled."""
        assert process is not None
        while True:
            await self._sleep_random(0.1, 1.0)
            process.send_signal(
                self.rng.choice((signal.SIGHUP, signal.SIGTERM))
            )

    async def kill_target(self) -> None:
        """Kills a target with SIGKILL and restarts it; it is cold then."""
        if instance := self._reserve_instance():
            fault = self._start_fault("kill target", instance.name)
            await self._signal_and_wait(instance.target, signal.SIGKILL)
            await self._sleep_random(0.1, 2.0)
            self.running.start_target(instance)
            self._end_fault(instance, fault)

    async def _freeze(self, name: str, process_attribute: str) -> None:
        if instance := self._reserve_instance():
            process = getattr(instance, process_attribute)
            fault = self._start_fault(name, instance.name)
            process.send_signal(signal.SIGSTOP)
            try:
                await self._sleep_random(0.3, 4.0)
            finally:
                process.send_signal(signal.SIGCONT)
                self._end_fault(instance, fault)

    async def freeze_node(self) -> None:
        """Suspends a node with SIGSTOP and resumes it after a while."""
        await self._freeze("freeze node", "node")

    async def freeze_target(self) -> None:
        """Suspends a target with SIGSTOP and resumes it after a while."""
        await self._freeze("freeze target", "target")

    async def _change_target(self, name: str, **changes: Any) -> None:
        if instance := self._reserve_instance():
            fault = self._start_fault(name, instance.name)
            if "turn_cold" in changes:
                self.turned_cold.add(instance.name)
            try:
                await self.running.control_target(
                    self.client, instance, **changes
                )
                await self._sleep_random(1.0, 3.0)
                defaults = dict.fromkeys(changes, None)
                defaults |= {
                    "slow_factor": 1.0,
                    "shed": False,
                    "cut_share": 0.0,
                    "cross_share": 0.0,
                    "draining": False,
                }
                restored = {k: defaults[k] for k in changes if k != "turn_cold"}
                await self.running.control_target(
                    self.client, instance, **restored
                )
            finally:
                self._end_fault(instance, fault)

    async def turn_target_cold(self) -> None:
        """Makes a target cold without announcement."""
        await self._change_target("target turns cold", turn_cold=True)

    async def slow_target(self) -> None:
        """Makes a target ten times slower."""
        await self._change_target("target slow", slow_factor=10.0)

    async def make_target_shed(self) -> None:
        """Makes a target refuse all requests as not run."""
        await self._change_target("target sheds", shed=True)

    async def cut_answers(self) -> None:
        """Truncates a share of a target's responses."""
        await self._change_target("answers cut", cut_share=0.3)

    async def cross_answers(self) -> None:
        """Gives a share of a target's responses another attempt's identity."""
        await self._change_target("answers crossed", cross_share=0.3)

    async def drain_target(self) -> None:
        """Makes a target announce that it is draining."""
        await self._change_target("target drains", draining=True)

    async def state_rate(self) -> None:
        """Makes a target state a rate, and stops or kills its node meanwhile.

        The node is started again, and knows nothing of the rate then.
        """
        if instance := self._reserve_instance():
            fault = self._start_fault("target states a rate", instance.name)
            rate_per_s = self.rng.uniform(0.5, 4.0)
            try:
                await self.running.control_target(
                    self.client, instance, max_rate_per_s=rate_per_s
                )
                begin_s = time.time()
                await self._sleep_random(1.0, 6.0)
                await self._signal_and_wait(
                    instance.node,
                    self.rng.choice((signal.SIGKILL, signal.SIGTERM)),
                )
                self.running.start_node(instance)
                await self._sleep_random(7.0, 9.0)
                self.stated_rates.append(
                    StatedRate(instance.name, rate_per_s, begin_s, time.time())
                )
                await self.running.control_target(
                    self.client, instance, max_rate_per_s=None
                )
            finally:
                self._end_fault(instance, fault)

    async def state_leave(self) -> None:
        """Makes a target state that it leaves, then replaces it.

        Its announcements go on to say that it is ready.
        """
        if instance := self._reserve_instance():
            fault = self._start_fault(
                "target states that it leaves", instance.name
            )
            try:
                await self.running.control_target(
                    self.client, instance, leaving=True
                )
                fault.begin_s = time.time()
                await self._sleep_random(4.0, 6.0)
                await self._signal_and_wait(instance.target, signal.SIGKILL)
                self.running.start_target(instance)
            finally:
                self._end_fault(instance, fault)

    async def delay_path(self) -> None:
        """Delays the traffic between a node and its peers."""
        if instance := self._reserve_instance():
            fault = self._start_fault("path delayed", instance.name)
            node_relay = self.relays_by_name[instance.name]
            node_relay.delay_s = self.rng.uniform(0.01, MAX_DELAY_S)
            try:
                await self._sleep_random(1.0, 3.0)
            finally:
                node_relay.delay_s = 0.0
                self._end_fault(instance, fault)

    async def block_path_in(self) -> None:
        """Blocks datagrams to a node, and bytes to it on connections to it."""
        await self._block_path("path to node cut", True)

    async def block_path_out(self) -> None:
        """Blocks a node's datagrams, and its bytes on connections to it."""
        await self._block_path("path from node cut", False)

    async def _block_path(self, name: str, inwards: bool) -> None:
        if instance := self._reserve_instance():
            fault = self._start_fault(name, instance.name)
            node_relay = self.relays_by_name[instance.name]
            node_relay.block(inwards)
            try:
                await self._sleep_random(1.0, 3.0)
            finally:
                node_relay.unblock()
                self._end_fault(instance, fault)

    async def reset_connections(self) -> None:
        """Resets the peer connections to a node."""
        if instance := self._reserve_instance():
            fault = self._start_fault("connections reset", instance.name)
            self.relays_by_name[instance.name].reset()
            self._end_fault(instance, fault)

    async def silence_connections(self) -> None:
        """Silences the open peer connections to a node; new ones work."""
        if instance := self._reserve_instance():
            fault = self._start_fault("connections silent", instance.name)
            self.relays_by_name[instance.name].silence()
            self._end_fault(instance, fault)

    async def kill_all_nodes(self) -> None:
        """Kills all unaffected nodes at once and restarts them."""
        instances = [
            m for m in self.running.instances if m.name not in self.affected
        ]
        killed = []
        for instance in instances:
            self.affected.add(instance.name)
            killed.append(
                (instance, self._start_fault("kill node", instance.name))
            )
        for instance in instances:
            await self._signal_and_wait(instance.node, signal.SIGKILL)
        await self._sleep_random(0.1, 1.0)
        for instance, fault in killed:
            self.running.start_node(instance)
            self._end_fault(instance, fault)

    async def _change_platform(self, name: str, **faults: Any) -> None:
        if "platform" in self.affected:
            return
        self.affected.add("platform")
        fault = self._start_fault(name, "platform")
        await self.running.set_platform_faults(self.client, **faults)
        await self._sleep_random(1.0, 5.0)
        await self.running.set_platform_faults(self.client)
        fault.end_s = time.time()
        self.affected.discard("platform")

    async def stop_platform(self) -> None:
        """Makes the platform unavailable for a while."""
        await self._change_platform("platform down", down=True)

    async def slow_platform(self) -> None:
        """Delays the platform's responses for a while."""
        await self._change_platform("platform slow", delay_s=0.3)

    async def lose_platform_answers(self) -> None:
        """Drops responses of the platform after their writes took effect."""
        seed = self.rng.randrange(2**31)
        await self._change_platform(
            "platform loses answers", lose_share=0.3, seed=seed
        )

    async def take_domain_out(self) -> None:
        """Sets a failure domain to "out" in the document, and later to "in"."""
        if "domain" in self.affected:
            return
        self.affected.add("domain")
        name = self.rng.choice(self.running.domains)
        try:
            if not await self._set_domain(name, "out"):
                return
            fault = self._start_fault("domain out", name)
            await self._sleep_random(OUT_GRACE_S + 2.0, OUT_GRACE_S + 4.0)
            # The fault ends before the write, as nodes may apply it at once.
            fault.end_s = time.time()
            accepted = await self._set_domain(name, "in")
            while not accepted:
                # Retries, since the platform may be unavailable.
                await anyio.sleep(0.3)
                accepted = await self._set_domain(name, "in")
        finally:
            self.affected.discard("domain")

    def _pick_operator_instance(self) -> cluster.Instance:
        """Returns an instance for admin requests, preferably unaffected."""
        free = [
            m for m in self.running.instances if m.name not in self.affected
        ]
        return self.rng.choice(free or self.running.instances)

    async def _set_domain(self, name: str, state: str) -> bool:
        instance = self._pick_operator_instance()
        current = await self.running.read_document(self.client, instance)
        if current is None:
            return False
        for domain in current["document"]["failure_domains"]:
            if domain["name"] == name:
                domain["state"] = state
        why = f"failure domain {name} {state}"
        return await self._write_document(instance, current, why)

    async def _write_document(
        self, instance: cluster.Instance, current: dict, why: str
    ) -> bool:
        revision = await self.running.write_document(
            self.client, instance, current, why
        )
        if revision is None:
            return False
        self.accepted.append((time.time(), revision))
        return True

    async def race_operators(self) -> None:
        """Writes two concurrent changes based on the same revision."""
        first, second = (
            self._pick_operator_instance(),
            self._pick_operator_instance(),
        )
        current = await self.running.read_document(self.client, first)
        if current is None:
            return
        fault = self._start_fault("operators race", "document")
        results: list[bool] = []

        async def write_change(instance: cluster.Instance, why: str) -> None:
            results.append(await self._write_document(instance, current, why))

        async with anyio.create_task_group() as group:
            group.start_soon(write_change, first, "first of two")
            group.start_soon(write_change, second, "second of two")
        fault.end_s = time.time()
        self.race_winners.append(sum(results))
