"""Runs the platform emulator, targets and nodes as separate processes."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import uuid

import anyio
import httpx
import yaml

from waxwingferry.bench import ports
from waxwingferry.emulator import relay

START_TIMEOUT_S = 20.0
ADMIN_TOKEN = "bench-token-for-loopback-only"
_AUTHORIZATION = {"authorization": f"Bearer {ADMIN_TOKEN}"}


class ClusterError(Exception):
    """A process of the cluster did not start or respond in time."""


@dataclasses.dataclass
class Instance:
    """One instance of a service: a target process and its node.

    Attributes:
        name: Name of both the node and the target.
        ports: Ports by use: caller, local, peer, admin, target, and relay
            if a relay is in front of the peer port.
        node: Process of the node, once started.
        target: Process of the target, once started.
        node_source: Directory of the package that the node runs, or None for
            the package of this process.
    """

    name: str
    service: str
    failure_domain: str
    ports: dict[str, int]
    node: subprocess.Popen | None = None
    target: subprocess.Popen | None = None
    node_source: pathlib.Path | None = None


class Cluster:
    """A cluster of separate processes on the loopback interface.

    Args:
        services: Number of targets by service name.
        document: Initial configuration document.
        slots: Concurrency slots of each target.
        behaviour: Initial behaviour of each target; see
            emulator.target.Behaviour.
        domains: Names of failure domains, assigned to targets round-robin.
        first_port: Lowest port to try when allocating ports.
        seed: Seed of the targets' random choices.
        node_settings: Settings added to those of every node; they take
            precedence.
    """

    def __init__(
        self,
        services: dict[str, int],
        document: dict,
        slots: int = 6,
        behaviour: dict | None = None,
        domains: tuple[str, ...] = ("d1", "d2", "d3", "d4"),
        first_port: int = ports.LOWEST_PORT,
        seed: int = 1,
        node_settings: dict | None = None,
    ):
        self.services = services
        self.document = document
        self.slots = slots
        self.behaviour = behaviour or {}
        self.domains = domains
        self.node_settings = node_settings or {}
        self.ports = ports.PortAllocator(first_port)
        self.seed = seed
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="waxwingferry-"))
        self.platform_port = self.ports.allocate()
        self.platform: subprocess.Popen | None = None
        self.instances = [
            self._make_instance(service, number)
            for service, count in services.items()
            for number in range(count)
        ]

    def _make_instance(self, service: str, number: int) -> Instance:
        uses = ("caller", "local", "peer", "admin", "target")
        return Instance(
            f"{service}-{number}",
            service,
            self.domains[number % len(self.domains)],
            {use: self.ports.allocate() for use in uses},
        )

    @property
    def platform_url(self) -> str:
        """Base URL of the platform emulator."""
        return f"http://127.0.0.1:{self.platform_port}"

    def start_process(
        self,
        module: str,
        *arguments: str,
        source: pathlib.Path | None = None,
    ) -> subprocess.Popen:
        """Starts a module as a process that logs to a file of its own.

        Args:
            module: Module to run.
            *arguments: Its arguments.
            source: Directory of the package to run, or None for the package
                of this process.
        """
        environment = dict(os.environ)
        if source is not None:
            environment["PYTHONPATH"] = str(source)
        name = "-".join([module.rsplit(".", 1)[1], *arguments[-1:]])
        path = self.directory / f"{name.replace('/', '_')}.log"
        with path.open("ab") as file:
            return subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=file,
                stderr=file,
                stdin=subprocess.DEVNULL,
                env=environment,
            )

    def start_node(self, instance: Instance) -> None:
        """Starts the node of an instance, also again after it has ended."""
        settings = {
            "node": instance.name,
            "caller_port": instance.ports["caller"],
            "local_port": instance.ports["local"],
            "peer_port": instance.ports["peer"],
            "admin_port": instance.ports["admin"],
            "admin_tokens": {"bench": ADMIN_TOKEN},
            "advertised_peer_port": instance.ports.get("relay"),
            "region": "r1",
            "failure_domain": instance.failure_domain,
            "platform_url": self.platform_url,
            "seed_peers": [
                {"host": "127.0.0.1", "port": other.ports["peer"]}
                for other in self.instances[:3]
            ],
            **self.node_settings,
        }
        path = self.directory / f"node-{instance.name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        instance.node = self.start_process(
            "waxwingferry.process.node",
            "--settings_file",
            str(path),
            source=instance.node_source,
        )

    def start_target(self, instance: Instance, **changes) -> None:
        """Starts the target of an instance, also again after it has ended.

        Args:
            instance: Instance whose target is started.
            **changes: Settings of the target that override the usual ones.
        """
        settings = {
            "name": instance.name,
            "service": instance.service,
            "slots": self.slots,
            "port": instance.ports["target"],
            "node_port": instance.ports["local"],
            "ledger_file": str(self.ledger_path(instance)),
            "behaviour": self.behaviour,
            "seed": self.seed * 1000 + instance.ports["target"],
            **changes,
        }
        path = self.directory / f"target-{instance.name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        instance.target = self.start_process(
            "waxwingferry.emulator.main",
            "target",
            "--settings_file",
            str(path),
        )

    async def start(self) -> None:
        """Starts all processes and waits until all nodes know all instances."""
        self.platform = self.start_process(
            "waxwingferry.emulator.main",
            "platform",
            "--port",
            str(self.platform_port),
        )
        async with httpx.AsyncClient(trust_env=False) as client:
            await self._write_first_document(client)
            for instance in self.instances:
                self.start_node(instance)
                self.start_target(instance)
            await self._wait_until_ready(client)

    async def _write_first_document(self, client: httpx.AsyncClient) -> None:
        value = {"revision": 1, "document": self.document}
        write = {"key": "document/current", "value": value, "if_version": 0}
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            with contextlib.suppress(httpx.HTTPError):
                reply = await client.post(
                    f"{self.platform_url}/table/transact",
                    json={"writes": [write]},
                )
                if reply.status_code == 200:
                    return
            await anyio.sleep(0.1)
        raise ClusterError(
            "the platform emulator did not accept the document "
            "before the start timeout"
        )

    async def _wait_until_ready(self, client: httpx.AsyncClient) -> None:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        pending = list(self.instances)
        while pending and time.monotonic() < deadline_s:
            status = await self.status(client, pending[0])
            known_members = status.get("members", {})
            if len(known_members) == len(self.instances) and status["revision"]:
                pending.pop(0)
            else:
                await anyio.sleep(0.1)
        if pending:
            raise ClusterError(
                f"node {pending[0].name} was not ready before the start timeout"
            )

    async def status(
        self, client: httpx.AsyncClient, instance: Instance
    ) -> dict:
        """Returns a node's status, or {} if the request fails."""
        port = instance.ports["admin"]
        try:
            reply = await client.get(f"http://127.0.0.1:{port}/status")
        except httpx.HTTPError:
            return {}
        return reply.json()

    async def read_document(
        self, client: httpx.AsyncClient, instance: Instance
    ) -> dict | None:
        """Returns the document that is in force at a node.

        Returns:
            A mapping with the keys "revision" and "document", or None if the
            request fails.
        """
        port = instance.ports["admin"]
        try:
            reply = await client.get(
                f"http://127.0.0.1:{port}/document",
                headers=_AUTHORIZATION,
            )
        except httpx.HTTPError:
            return None
        return reply.json() if reply.status_code == 200 else None

    async def write_document(
        self,
        client: httpx.AsyncClient,
        instance: Instance,
        current: dict,
        why: str,
    ) -> int | None:
        """Writes a changed document through the admin API of a node.

        Args:
            client: Client for the request.
            instance: Instance whose node receives the change.
            current: Result of read_document with its document modified.
            why: Reason recorded in the document's history.

        Returns:
            The new revision, or None if the change was rejected or the
            request failed.
        """
        port = instance.ports["admin"]
        change = {
            "base": current["revision"],
            "document": current["document"],
            "why": why,
            "change_id": uuid.uuid4().hex,
        }
        try:
            reply = await client.put(
                f"http://127.0.0.1:{port}/document",
                headers=_AUTHORIZATION,
                json=change,
                timeout=10,
            )
        except httpx.HTTPError:
            return None
        return reply.json()["revision"] if reply.status_code == 200 else None

    def ledger_path(self, instance: Instance) -> pathlib.Path:
        """Returns the path of a target's ledger."""
        return self.directory / f"ledger-{instance.name}.jsonl"

    def read_ledgers(self) -> dict[str, list[dict]]:
        """Returns the ledger entries of each target, including earlier starts.

        The last line of an entry id gives its final state.
        """
        ledgers = {}
        for instance in self.instances:
            entries: dict[str, dict] = {}
            path = self.ledger_path(instance)
            lines = (
                path.read_text("utf-8").splitlines() if path.exists() else []
            )
            for line in lines:
                entry = json.loads(line)
                entries[entry["entry_id"]] = entry
            ledgers[instance.name] = list(entries.values())
        return ledgers

    async def counts(
        self, client: httpx.AsyncClient, instance: Instance
    ) -> dict[str, int]:
        """Returns the request counters of a running target."""
        port = instance.ports["target"]
        reply = await client.get(f"http://127.0.0.1:{port}/_ledger")
        return reply.json()["counts"]

    async def control_target(
        self, client: httpx.AsyncClient, instance: Instance, **changes
    ) -> None:
        """Changes the behaviour of an emulated target.

        A target that has just started may not listen yet, so transport errors
        are retried until the start timeout.
        """
        port = instance.ports["target"]
        url = f"http://127.0.0.1:{port}/_control"
        with anyio.fail_after(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(httpx.TransportError):
                    reply = await client.post(url, json=changes)
                    reply.raise_for_status()
                    return
                await anyio.sleep(0.1)

    async def set_platform_faults(
        self, client: httpx.AsyncClient, **faults
    ) -> None:
        """Sets the faults of the platform; see emulator.platform.Faults."""
        url = f"{self.platform_url}/control/faults"
        (await client.post(url, json=faults)).raise_for_status()

    def stop(self) -> None:
        """Stops all processes: nodes, then targets, then the platform."""
        nodes = [instance.node for instance in self.instances]
        targets = [instance.target for instance in self.instances]
        for processes in (nodes, targets, [self.platform]):
            started = [item for item in processes if item is not None]
            for process in started:
                process.send_signal(signal.SIGTERM)
            for process in started:
                try:
                    process.wait(10)
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()


@contextlib.asynccontextmanager
async def run_cluster(*args, **kwargs) -> AsyncIterator[Cluster]:
    """Starts a cluster and stops it when the context exits."""
    cluster = Cluster(*args, **kwargs)
    try:
        await cluster.start()
        yield cluster
    finally:
        cluster.stop()


@contextlib.asynccontextmanager
async def run_behind_relays(
    running: Cluster,
) -> AsyncIterator[list[relay.Relay]]:
    """Runs a cluster with a relay in front of each node's peer port.

    Yields:
        The relays in the order of the instances.
    """
    relays_by_port: dict[int, relay.Relay] = {}
    for instance in running.instances:
        port = instance.ports["relay"] = running.ports.allocate()
        relay.Relay(port, instance.ports["peer"], relays_by_port)
    relays = list(relays_by_port.values())
    async with anyio.create_task_group() as group:
        try:
            for item in relays:
                group.start_soon(item.serve)
            await running.start()
            yield relays
        finally:
            running.stop()
        group.cancel_scope.cancel()
