"""The settings file that the platform writes for a process."""

import dataclasses
import pathlib
import tomllib
from typing import Any

from waxwingferry.platform import parsing

PATH_VARIABLE = "WAXWINGFERRY_SETTINGS"


class SettingsError(Exception):
    """The settings can't be used; the message is one line."""


@dataclasses.dataclass(slots=True, frozen=True)
class StoreAddress:
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
        canary_share: Share of a service's requests that a bad version gets.
        canary_slack: Further requests that a bad version gets.
        warmup_rate_factor: Factor on the rate of a target in warm-up, in any
            second.
        warmup_rate_slack: Requests allowed beyond that in any second.
    """

    retry_ratio: float = 0.1
    retry_slack: float = 0.0
    canary_share: float = 0.1
    canary_slack: float = 0.0
    warmup_rate_factor: float = 1.0
    warmup_rate_slack: float = 0.0


# Keys of the settings by field of Bounds.
_BOUND_KEYS = {
    "retry_ratio": "retry-budget-ratio",
    "retry_slack": "retry-budget-slack",
    "canary_share": "expose-share",
    "canary_slack": "expose-slack",
    "warmup_rate_factor": "cold-over",
    "warmup_rate_slack": "cold-slack",
}


@dataclasses.dataclass(slots=True, frozen=True)
class Settings:
    """What a process learns of itself at its start.

    Attributes:
        service: Service of the target on this machine.
        target_address: Address of that target.
        outbound_address: Address for requests that start on this machine.
        readiness_address: Address of the readiness question.
        control_address: Address for the target's own reports.
        first_internal_port: First port for communication between nodes.
        seed_hosts: Machines that may run; only their host is of use.
    """

    node: str
    host: str
    failure_domain: str
    region: str
    service: str
    target_address: tuple[str, int]
    outbound_address: tuple[str, int]
    readiness_address: tuple[str, int]
    control_address: tuple[str, int]
    first_internal_port: int
    seed_hosts: tuple[str, ...]
    store_address: StoreAddress
    bounds: Bounds


def load(path: str) -> Settings:
    """Reads and checks the settings file.

    Raises:
        SettingsError: In one line: the key, the value and what is allowed.
    """
    try:
        data = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise SettingsError(f"{path}: not valid TOML: {error}") from error
    return parse(data)


def parse(data: dict[str, Any]) -> Settings:
    """Returns the settings that a decoded file holds.

    Raises:
        SettingsError: In one line: the key, the value and what is allowed.
    """
    identity = _Section(data, "self")
    network = _Section(data, "network")
    listen = _Section(network.values, "listen", "network.")
    provider = _Section(data, "provider")
    # The page's table "provider" holds the store in a table of that name.
    store = _Section(provider.values, "provider", "provider.")
    timing = _Section(data, "timing")
    bounds = _Section(timing.values, "bounds", "timing.")
    store_host, store_port = store.get_address("address")
    return Settings(
        node=identity.get_text("node-name"),
        host=identity.get_text("ip"),
        failure_domain=identity.get_text("zone"),
        region=identity.get_text("region"),
        service=identity.get_text("service"),
        target_address=identity.get_address("app-addr"),
        outbound_address=listen.get_address("outbound"),
        readiness_address=listen.get_address("ready"),
        control_address=listen.get_address("control"),
        first_internal_port=network.get_first_port("internal-ports"),
        seed_hosts=network.get_hosts("seeds"),
        store_address=StoreAddress(store_host, store_port),
        bounds=Bounds(
            **{
                name: bounds.get_number(key)
                for name, key in _BOUND_KEYS.items()
                if key in bounds.values
            }
        ),
    )


class _Section:
    """One table of the file, with checked access to its values."""

    def __init__(self, data: dict[str, Any], name: str, prefix: str = ""):
        self.name = prefix + name
        section = data.get(name)
        if not isinstance(section, dict):
            raise SettingsError(f"{self.name}: missing; this table is required")
        self.values: dict[str, Any] = section

    def _make_error(self, key: str, allowed: str) -> SettingsError:
        value = self.values.get(key)
        if key not in self.values:
            return SettingsError(
                f"{self.name}.{key}: missing; must be {allowed}"
            )
        return SettingsError(
            f"{self.name}.{key} = {value!r}: must be {allowed}"
        )

    def get_text(self, key: str) -> str:
        value = self.values.get(key)
        if not isinstance(value, str) or not value:
            raise self._make_error(key, "a text that is not empty")
        return value

    def get_number(self, key: str) -> float:
        value = self.values.get(key)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self._make_error(key, "a number")
        return float(value)

    def get_address(self, key: str) -> tuple[str, int]:
        try:
            return parsing.parse_address(self.values.get(key))
        except parsing.ValueFormatError:
            raise self._make_error(key, "an IP number with a port") from None

    def get_first_port(self, key: str) -> int:
        value = self.values.get(key)
        if (
            not isinstance(value, list)
            or len(value) != 2
            or not all(isinstance(item, int) for item in value)
            or not 0 < value[0] < value[1] < 65536
        ):
            raise self._make_error(key, "a first and a last port")
        return value[0]

    def get_hosts(self, key: str) -> tuple[str, ...]:
        try:
            addresses = self.values.get(key, [])
            return tuple(parsing.parse_address(item)[0] for item in addresses)
        except (parsing.ValueFormatError, TypeError):
            raise self._make_error(key, "a list of addresses") from None
