"""Settings of one node, read from a YAML file."""

import pathlib
from typing import Annotated
from typing import Any
from typing import Literal
from typing import TypeVar

import pydantic
import yaml

from waxwingferry.process.choice import routing

Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9_.-]{0,62}$")]
Token = Annotated[pydantic.SecretStr, pydantic.Field(min_length=16)]

_ModelType = TypeVar("_ModelType", bound=pydantic.BaseModel)

MAX_SHOWN_VALUE_CHARS = 80
SECRET_KEYS = frozenset({"admin_tokens"})


class SettingsError(Exception):
    """The settings file can't be read or holds a value not allowed."""


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class PeerAddress(_StrictModel):
    """Address of another node's peer listener."""

    host: str
    port: Port


class LogSettings(_StrictModel):
    """Where logs go and how much is logged."""

    format: Literal["json", "console"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"


class NodeSettings(_StrictModel):
    """All that a node needs to start.

    Attributes:
        node: Name of the node, unique among all nodes.
        host: IP number that all listeners but the local one bind to.
        caller_port: Port for callers.
        local_port: Port on 127.0.0.1 for the node's own target.
        peer_port: Port for other nodes, TCP and UDP.
        admin_port: Port for operators.
        admin_tokens: Bearer token of each operator by name. Without any,
            the admin listener serves health, metrics and status only.
        advertised_peer_port: Port that other nodes connect to, if something
            stands before peer_port.
        region: Region that the VM is in.
        failure_domain: Failure domain that the VM is in.
        platform_url: Base URL of the platform's services.
        seed_peers: Nodes asked for members and document when the platform
            is down.
        choice: Way to choose targets; others than "weighted" are for
            experiments.
        log: Log settings.
        random_seed: Seed of random choices; None takes one from the
            operating system.
    """

    node: Name
    host: str = "127.0.0.1"
    caller_port: Port
    local_port: Port
    peer_port: Port
    admin_port: Port
    admin_tokens: dict[Name, Token] = {}
    advertised_peer_port: Port | None = None
    region: Name
    failure_domain: Name
    platform_url: Annotated[str, pydantic.Field(pattern=r"^https?://\S+$")]
    seed_peers: tuple[PeerAddress, ...] = ()
    choice: routing.Policy = routing.Policy.WEIGHTED
    log: LogSettings = LogSettings()
    random_seed: int | None = None


class _UniqueKeyLoader(yaml.SafeLoader):
    """Refuses a key that is given twice; YAML itself keeps the last."""

    def construct_mapping(self, node, deep=False):
        """See yaml.SafeLoader."""
        seen_keys = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if isinstance(key, str) and key in seen_keys:
                raise yaml.constructor.ConstructorError(
                    None, None, f"key {key!r} is given twice", node.start_mark
                )
            seen_keys.add(key if isinstance(key, str) else id(key_node))
        return super().construct_mapping(node, deep)


def parse_yaml(text: str, source: str) -> Any:
    """Parses YAML.

    Raises:
        SettingsError: In one line, with the source given.
    """
    try:
        return yaml.load(text, _UniqueKeyLoader)  # noqa: S506
    except yaml.YAMLError as error:
        message = " ".join(str(error).split())
        raise SettingsError(f"{source}: not valid YAML: {message}") from error


def read_file(path: str) -> str:
    """Returns the text of a file.

    Raises:
        SettingsError: It can't be read.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: not UTF-8 text") from error


def load_settings(path: str) -> NodeSettings:
    """Reads and checks a settings file.

    Raises:
        SettingsError: In one line: the key, the value and what is allowed.
    """
    return load_model(NodeSettings, path)


def load_model(model_class: type[_ModelType], path: str) -> _ModelType:
    """Reads a YAML file and checks it against a model.

    Raises:
        SettingsError: In one line: the key, the value and what is allowed.
    """
    data = parse_yaml(read_file(path), path)
    try:
        return model_class.model_validate(data)
    except pydantic.ValidationError as error:
        message = describe_error(error, list(model_class.model_fields))
        raise SettingsError(f"{path}: {message}") from error


def describe_error(
    error: pydantic.ValidationError, allowed: list[str] | None = None
) -> str:
    """Returns the first validation error in one line.

    Args:
        error: The errors found.
        allowed: Keys allowed at the top, named when a key is unknown.
    """
    first_error = error.errors(include_url=False)[0]
    return describe_detail(first_error, allowed)


def describe_detail(detail: Any, allowed: list[str] | None = None) -> str:
    """Returns one of pydantic's error details in one line."""
    key_path = ".".join(str(part) for part in detail["loc"])
    value = repr(detail["input"])
    if len(value) > MAX_SHOWN_VALUE_CHARS:
        value = value[:MAX_SHOWN_VALUE_CHARS] + "..."
    if SECRET_KEYS.intersection(detail["loc"]):
        value = "(hidden)"
    message = detail["msg"].removeprefix("Value error, ")
    match detail["type"]:
        case "missing":
            return f"{key_path}: missing; this key is required"
        case "extra_forbidden":
            message = "unknown key"
            if allowed and len(detail["loc"]) == 1:
                message += f"; allowed keys: {', '.join(allowed)}"
        case "too_short" | "string_too_short":
            unit = "characters" if "string" in detail["type"] else "items"
            if SECRET_KEYS.intersection(detail["loc"]):
                unit = "characters"
            min_length = detail["ctx"]["min_length"]
            message = f"must have at least {min_length} {unit}"
        case "model_type" | "dict_type":
            message = "must be a mapping of keys to values"
        case "value_error" if not key_path:
            # A check over the whole content, which names the key itself.
            return message
    return f"{key_path or 'content'} = {value}: {message}"
