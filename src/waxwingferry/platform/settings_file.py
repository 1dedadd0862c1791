"""Settings file that the platform writes for each node."""

import dataclasses
import math
import os
import tomllib
from typing import Any

import structlog

from waxwingferry.connection import message
from waxwingferry.platform import parsing
from waxwingferry.platform import start

PATH_VARIABLE = start.PATH_VARIABLE

log = structlog.get_logger()


class SettingsError(Exception):
    """The settings are invalid; the message is a single line."""


@dataclasses.dataclass(slots=True, frozen=True)
class StoreAddress:
    """Address of the metadata store."""

    host: str
    port: int


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """Limits that the platform sets on retries, canary requests and warm-up.

    The settings hold the limits that are in force; the others keep the
    defaults of this class.

    Attributes:
        retry_ratio: Retries per request of a service.
        retry_slack: Additional retries per window, over all nodes.
        canary_share: Share of a service's requests that a bad version may get.
        canary_slack: Additional requests that a bad version may get.
        warmup_rate_factor: Factor on the configured rate of a target in
            warm-up, over any second.
        warmup_rate_slack: Additional requests allowed in any second.
    """

    retry_ratio: float = 0.1
    retry_slack: float = 0.0
    canary_share: float = 0.1
    canary_slack: float = 0.0
    warmup_rate_factor: float = 1.0
    warmup_rate_slack: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class CloudApi:
    """API of the platform that one node at a time may call for each duty.

    Attributes:
        duties: Names of the duties that are on.
        duty_rate_per_s: Calls for duties that the API takes in a second.
    """

    address: tuple[str, int]
    duties: tuple[str, ...] = ()
    duty_rate_per_s: float = 50.0


@dataclasses.dataclass(slots=True, frozen=True)
class DutyBounds:
    """Times and limits for duties, in seconds.

    Attributes:
        lease_s: Time without an act between two holders.
        thaw_slack_s: Time after a freeze or cut in which calls that were
            late by it are excused.
        report_window_s: Length of a window of usage.
        usage_tolerance: Allowed difference of a count to the truth, as a
            share.
        usage_late_s: Time after a window's end at which its report is late.
        fencing_required: Whether the API refuses lower tokens.
    """

    lease_s: float = 3.0
    thaw_slack_s: float = 0.3
    report_window_s: float = 5.0
    usage_tolerance: float = 0.05
    usage_late_s: float = 10.0
    fencing_required: bool = False


# Field of DutyBounds -> key in the settings file, for durations.
_DUTY_DURATION_KEYS = {
    "lease_s": "lease_time",
    "thaw_slack_s": "thaw-slack",
    "report_window_s": "report-window",
    "usage_late_s": "usage-late",
}


@dataclasses.dataclass(slots=True, frozen=True)
class MachineLimits:
    """Limits of the machine and of the process.

    Attributes:
        memory_mb: Memory of the machine in MB. The default is that of the
            smallest machine that is known.
        max_fds: Descriptors that the process may open, or None if not given.
        blank_bytes: Blank lines before a request.
        framing_bytes: Chunk sizes, extensions and trailers of a body that are
            allowed beside as many bytes as the body has.
    """

    memory_mb: int = 200
    max_fds: int | None = None
    blank_bytes: int = message.DEFAULT_LIMITS.blank_bytes
    framing_bytes: int = message.DEFAULT_LIMITS.framing_bytes


# Field of Bounds -> key in the settings file.
_BOUND_KEYS = {
    "retry_ratio": "retry-budget-ratio",
    "retry_slack": "retry-budget-slack",
    "canary_share": "expose-share",
    "canary_slack": "expose-slack",
    "warmup_rate_factor": "cold-over",
    "warmup_rate_slack": "cold-slack",
}


# Field of MachineLimits -> key in the settings file.
_LIMIT_KEYS = {
    "memory_mb": "memory-mb",
    "max_fds": "max-fds",
    "blank_bytes": "max-blank-bytes",
    "framing_bytes": "max-framing-bytes",
}


@dataclasses.dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one node.

    Attributes:
        service: Service of the target on this VM.
        target_address: Address of the target on this VM.
        outbound_address: Listen address for callers on this VM.
        readiness_address: Listen address of the readiness check.
        control_address: Listen address for the target's heartbeats.
        first_internal_port: First port for communication between nodes.
        seed_hosts: Hosts of VMs that may run a node; the ports given with
            them are not used.
        stop_grace_s: Time from SIGTERM to SIGKILL, or None if not given.
        cloud_api: API for duties, or None if there are no duties.
        duty_bounds: Times and limits for duties.
        limits: Limits of the machine and of the process.
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
    stop_grace_s: float | None = None
    cloud_api: CloudApi | None = None
    duty_bounds: DutyBounds = DutyBounds()
    limits: MachineLimits = MachineLimits()


def read_state(path: str) -> tuple[int, int, int] | None:
    """Returns what shows that the file was written: time, size and inode.

    Returns:
        None if there is no such file.
    """
    try:
        state = os.stat(path)
    except OSError as error:
        log.debug("settings file not found", path=path, error=str(error))
        return None
    return state.st_mtime_ns, state.st_size, state.st_ino


def load(path: str) -> Settings:
    """Reads and checks the settings file.

    Raises:
        SettingsError: Names the key, its value and what is allowed.
    """
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (RecursionError, ValueError) as error:
        raise SettingsError(f"{path}: not valid TOML: {error}") from error
    return parse(data)


def parse(data: dict[str, Any]) -> Settings:
    """Parses the content of a decoded settings file.

    Raises:
        SettingsError: Names the key, its value and what is allowed.
    """
    try:
        return _make_settings(data)
    except (ArithmeticError, ValueError) as error:
        # Some numbers are too long to convert, or to be shown in a message.
        raise SettingsError(f"a value can't be converted: {error}") from error


def _make_settings(data: dict[str, Any]) -> Settings:
    identity = _Section(data, "self")
    network = _Section(data, "network")
    listen = _Section(network.values, "listen", "network.")
    provider = _Section(data, "provider")
    # The platform's documentation nests the store's address in two tables of
    # the same name.
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
        stop_grace_s=bounds.get_optional_duration("grace"),
        cloud_api=_make_cloud_api(provider),
        duty_bounds=_make_duty_bounds(bounds),
        limits=_make_limits(identity.values),
    )


def _make_limits(identity: dict[str, Any]) -> MachineLimits:
    if "limits" not in identity:
        return MachineLimits()
    limits = _Section(identity, "limits", "self.")
    return MachineLimits(
        **{
            name: limits.get_positive_integer(key)
            for name, key in _LIMIT_KEYS.items()
            if key in limits.values
        }
    )


def _make_cloud_api(provider: "_Section") -> CloudApi | None:
    if "cloud-api" not in provider.values:
        return None
    section = _Section(provider.values, "cloud-api", "provider.")
    values: dict[str, Any] = {}
    if "duties" in section.values:
        values["duties"] = section.get_texts("duties")
    if "duty-per-s" in section.values:
        values["duty_rate_per_s"] = section.get_positive_number("duty-per-s")
    return CloudApi(section.get_address("address"), **values)


def _make_duty_bounds(bounds: "_Section") -> DutyBounds:
    values: dict[str, Any] = {}
    for name, key in _DUTY_DURATION_KEYS.items():
        duration_s = bounds.get_optional_duration(key)
        if duration_s is not None:
            values[name] = duration_s
    for key in ("lease_time", "report-window"):
        if bounds.get_optional_duration(key) == 0:
            raise bounds.make_error(key, "above 0")
    if "usage-tolerance" in bounds.values:
        values["usage_tolerance"] = bounds.get_number("usage-tolerance")
    if "fencing-required" in bounds.values:
        values["fencing_required"] = bounds.get_flag("fencing-required")
    return DutyBounds(**values)


class _Section:
    """One TOML table of the file, with validated access to its values."""

    def __init__(self, data: dict[str, Any], name: str, prefix: str = ""):
        self.name = prefix + name
        section = data.get(name)
        if not isinstance(section, dict):
            raise SettingsError(f"{self.name}: missing; the table is required")
        self.values: dict[str, Any] = section

    def make_error(self, key: str, allowed: str) -> SettingsError:
        """Returns the error for a value that is missing or not allowed."""
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
            raise self.make_error(key, "a non-empty string")
        return value

    def get_number(self, key: str) -> float:
        value = self.values.get(key)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self.make_error(key, "a number")
        return float(value)

    def get_positive_number(self, key: str) -> float:
        value = self.get_number(key)
        if not 0 < value < math.inf:
            raise self.make_error(key, "a number above 0")
        return value

    def get_flag(self, key: str) -> bool:
        value = self.values.get(key)
        if not isinstance(value, bool):
            raise self.make_error(key, "true or false")
        return value

    def get_texts(self, key: str) -> tuple[str, ...]:
        value = self.values.get(key)
        if not isinstance(value, list) or not all(
            isinstance(item, str) for item in value
        ):
            raise self.make_error(key, "a list of strings")
        return tuple(value)

    def get_positive_integer(self, key: str) -> int:
        value = self.values.get(key)
        if type(value) is not int or value <= 0:
            raise self.make_error(key, "a positive integer")
        return value

    def get_optional_duration(self, key: str) -> float | None:
        if key not in self.values:
            return None
        try:
            return parsing.parse_duration(self.values[key])
        except parsing.ValueFormatError:
            raise self.make_error(
                key, "a number with the unit ms or s"
            ) from None

    def get_address(self, key: str) -> tuple[str, int]:
        try:
            return parsing.parse_address(self.values.get(key))
        except parsing.ValueFormatError:
            raise self.make_error(key, "an IP address with a port") from None

    def get_first_port(self, key: str) -> int:
        value = self.values.get(key)
        if (
            not isinstance(value, list)
            or len(value) != 2
            or not all(isinstance(item, int) for item in value)
            or not 0 < value[0] < value[1] < 65536
        ):
            raise self.make_error(key, "a first and a last port")
        return value[0]

    def get_hosts(self, key: str) -> tuple[str, ...]:
        try:
            addresses = self.values.get(key, [])
            return tuple(parsing.parse_address(item)[0] for item in addresses)
        except (parsing.ValueFormatError, TypeError):
            raise self.make_error(key, "a list of addresses") from None
