"""The settings file that the platform writes for a process."""

import dataclasses
import pathlib
import tomllib
from typing import Any

from waxwingferry.platform import values

PATH_VARIABLE = "WAXWINGFERRY_SETTINGS"


class BootError(Exception):
    """The settings can't be used; the message is one line."""


@dataclasses.dataclass(slots=True, frozen=True)
class Store:
    """Where the metadata store is."""

    host: str
    port: int


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """Figures of the platform's rules.

    The settings hold those of the rules in force; the others keep the
    product's defaults.

    Attributes:
        retry_ratio: Second sends per request of a service.
        retry_slack: Further second sends in each window, over all nodes.
        expose_share: Share of a service's requests that a bad version gets.
        expose_slack: Further requests that a bad version gets.
        cold_over: Factor on the rate of a target in warm-up in any second.
        cold_slack: Requests allowed beyond that in any second.
    """

    retry_ratio: float = 0.1
    retry_slack: float = 0.0
    expose_share: float = 0.1
    expose_slack: float = 0.0
    cold_over: float = 1.0
    cold_slack: float = 0.0


# Keys of the settings by field of Bounds.
_BOUND_KEYS = {
    "retry_ratio": "retry-budget-ratio",
    "retry_slack": "retry-budget-slack",
    "expose_share": "expose-share",
    "expose_slack": "expose-slack",
    "cold_over": "cold-over",
    "cold_slack": "cold-slack",
}


@dataclasses.dataclass(slots=True, frozen=True)
class Boot:
    """What a process learns of itself at its start.

    Attributes:
        service: Service of the target on this machine.
        target: Address of that target.
        outbound: Address for requests that start on this machine.
        ready: Address of the readiness question.
        control: Address for the target's own reports.
        first_port: First port for communication between nodes.
        seeds: Machines that may run; only their host is of use.
    """

    node: str
    host: str
    zone: str
    region: str
    service: str
    target: tuple[str, int]
    outbound: tuple[str, int]
    ready: tuple[str, int]
    control: tuple[str, int]
    first_port: int
    seeds: tuple[str, ...]
    store: Store
    bounds: Bounds


def load(path: str) -> Boot:
    """Reads and checks the settings file.

    Raises:
        BootError: In one line: the key, the value and what is allowed.
    """
    try:
        data = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise BootError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise BootError(f"{path}: not valid TOML: {error}") from error
    return parse(data)


def parse(data: dict[str, Any]) -> Boot:
    """Returns the settings that a decoded file holds.

    Raises:
        BootError: In one line: the key, the value and what is allowed.
    """
    me = _Section(data, "self")
    network = _Section(data, "network")
    listen = _Section(network.values, "listen", "network.")
    provider = _Section(data, "provider")
    # The page's table "provider" holds the store in a table of that name.
    store = _Section(provider.values, "provider", "provider.")
    timing = _Section(data, "timing")
    bounds = _Section(timing.values, "bounds", "timing.")
    store_host, store_port = store.address("address")
    return Boot(
        node=me.text("node-name"),
        host=me.text("ip"),
        zone=me.text("zone"),
        region=me.text("region"),
        service=me.text("service"),
        target=me.address("app-addr"),
        outbound=listen.address("outbound"),
        ready=listen.address("ready"),
        control=listen.address("control"),
        first_port=network.first_port("internal-ports"),
        seeds=network.hosts("seeds"),
        store=Store(store_host, store_port),
        bounds=Bounds(
            **{
                field: bounds.number(key)
                for field, key in _BOUND_KEYS.items()
                if key in bounds.values
            }
        ),
    )


class _Section:
    """One table of the file, with checked access to its values."""

    def __init__(self, data: dict[str, Any], name: str, prefix: str = ""):
        self.name = prefix + name
        found = data.get(name)
        if not isinstance(found, dict):
            raise BootError(f"{self.name}: missing; this table is required")
        self.values: dict[str, Any] = found

    def _fail(self, key: str, allowed: str) -> BootError:
        value = self.values.get(key)
        if key not in self.values:
            return BootError(f"{self.name}.{key}: missing; must be {allowed}")
        return BootError(f"{self.name}.{key} = {value!r}: must be {allowed}")

    def text(self, key: str) -> str:
        value = self.values.get(key)
        if not isinstance(value, str) or not value:
            raise self._fail(key, "a text that is not empty")
        return value

    def number(self, key: str) -> float:
        value = self.values.get(key)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self._fail(key, "a number")
        return float(value)

    def address(self, key: str) -> tuple[str, int]:
        try:
            return values.parse_address(self.values.get(key))
        except values.ValueFormatError:
            raise self._fail(key, "an IP number with a port") from None

    def first_port(self, key: str) -> int:
        value = self.values.get(key)
        if (
            not isinstance(value, list)
            or len(value) != 2
            or not all(isinstance(item, int) for item in value)
            or not 0 < value[0] < value[1] < 65536
        ):
            raise self._fail(key, "a first and a last port")
        return value[0]

    def hosts(self, key: str) -> tuple[str, ...]:
        try:
            found = self.values.get(key, [])
            return tuple(values.parse_address(item)[0] for item in found)
        except (values.ValueFormatError, TypeError):
            raise self._fail(key, "a list of addresses") from None
