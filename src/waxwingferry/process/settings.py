"""Settings of one node, read from a YAML file."""

import pathlib
from typing import Annotated
from typing import Literal

import pydantic
import yaml

from waxwingferry.process import routing

Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9_.-]{0,62}$")]


class SettingsError(Exception):
    """The settings file can't be read or holds a value not allowed."""


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class PeerAddress(_Model):
    """Address of another node's peer listener."""

    host: str
    port: Port


class LogSettings(_Model):
    """Where logs go and how much is logged."""

    format: Literal["json", "console"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"


class NodeSettings(_Model):
    """All that a node needs to start.

    Attributes:
        node: Name of the node, unique among all nodes.
        host: IP number that all listeners but the local one bind to.
        caller_port: Port for callers.
        local_port: Port on 127.0.0.1 for the node's own target.
        peer_port: Port for other nodes, TCP and UDP.
        admin_port: Port for operators.
        region: Region that the VM is in.
        failure_domain: Failure domain that the VM is in.
        platform_url: Base URL of the platform's services.
        seed_peers: Nodes asked for members and document when the platform
            is down.
        choice: Way to choose targets; others than "weighted" are for
            experiments.
        log: Log settings.
        random_seed: Seed of all random choices; None takes one from the
            operating system.
    """

    node: Name
    host: str = "127.0.0.1"
    caller_port: Port
    local_port: Port
    peer_port: Port
    admin_port: Port
    region: Name
    failure_domain: Name
    platform_url: str
    seed_peers: tuple[PeerAddress, ...] = ()
    choice: routing.Variant = routing.Variant.WEIGHTED
    log: LogSettings = LogSettings()
    random_seed: int | None = None


def load_settings(path: str) -> NodeSettings:
    """Reads and checks a settings file.

    Raises:
        SettingsError: In one line: the key, the value and what is allowed.
    """
    try:
        data = yaml.safe_load(pathlib.Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except yaml.YAMLError as error:
        line = " ".join(str(error).split())
        raise SettingsError(f"{path}: not valid YAML: {line}") from error
    try:
        return NodeSettings.model_validate(data)
    except pydantic.ValidationError as error:
        raise SettingsError(f"{path}: {describe_error(error)}") from error


def describe_error(error: pydantic.ValidationError) -> str:
    """Returns the first validation error in one line."""
    first = error.errors()[0]
    place = ".".join(str(part) for part in first["loc"]) or "document"
    return f"{place} = {first['input']!r}: {first['msg']}"
