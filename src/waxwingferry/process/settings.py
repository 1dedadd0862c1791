"""Settings of a node, read from a YAML file."""

import io
import pathlib
import re
from typing import Annotated
from typing import Any
from typing import Literal
from typing import TypeVar

import pydantic
import yaml

from waxwingferry.connection import message
from waxwingferry.process.choice import routing

Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9_.-]{0,62}$")]
Token = Annotated[pydantic.SecretStr, pydantic.Field(min_length=16)]

_ModelType = TypeVar("_ModelType", bound=pydantic.BaseModel)

MAX_SHOWN_VALUE_CHARS = 80
# Twice what the administration API accepts as a document.
MAX_FILE_BYTES = 1024 * 1024
# Bounds on YAML with its aliases expanded. A few aliases of aliases could
# otherwise stand for more values than fit into memory. The largest documents
# foreseen have some 20,000 values.
MAX_YAML_VALUES = 100_000
MAX_YAML_DEPTH = 40
# Unknown keys of such names hold secrets that were put in a wrong place.
_SECRET_NAME = re.compile("key|token|secret", re.IGNORECASE)
# Values below these keys are not shown in messages.
SECRET_KEYS = frozenset({"admin_tokens", "workspaces"})


# Quoted parts of the messages of the YAML parser: names of aliases, tags and
# keys, and single characters.
_QUOTED = re.compile(r"""'.*'|".*\"""", re.DOTALL)


class SettingsError(Exception):
    """The settings file can't be read or has an invalid value."""


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class PeerAddress(_StrictModel):
    """Address of another node's peer listener."""

    host: str
    port: Port


class LogSettings(_StrictModel):
    """Format and level of logs."""

    format: Literal["json", "console"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"


class ClientLimits(_StrictModel):
    """Limits on clients, alone and together.

    Attributes:
        memory_mb: Memory of the machine; connections of callers may hold a
            fifth, and others a quarter, of what it has above 40 MB.
        max_fds: Descriptors that the process may open; None uses the limit
            that the operating system sets on the process.
        head_bytes: Size of a request's head.
        body_bytes: Size of a request's body.
        blank_bytes: Blank lines before a request.
        framing_bytes: Chunk sizes, extensions and trailers of a body that are
            allowed beside as many bytes as the body has.
        admin_connections: Connections of the administration API.
    """

    memory_mb: Annotated[int, pydantic.Field(ge=64)] = 512
    max_fds: Annotated[int, pydantic.Field(ge=256)] | None = None
    head_bytes: Annotated[int, pydantic.Field(ge=1024, le=1048576)] = (
        message.DEFAULT_LIMITS.head_bytes
    )
    body_bytes: Annotated[int, pydantic.Field(ge=0)] = (
        message.DEFAULT_LIMITS.body_bytes
    )
    blank_bytes: Annotated[int, pydantic.Field(ge=2)] = (
        message.DEFAULT_LIMITS.blank_bytes
    )
    framing_bytes: Annotated[int, pydantic.Field(ge=4096)] = (
        message.DEFAULT_LIMITS.framing_bytes
    )
    # At most 3 of 4 descriptors that are reserved for other than callers.
    admin_connections: Annotated[int, pydantic.Field(ge=1, le=150)] = 64


class NodeSettings(_StrictModel):
    """Settings that a node reads at its start.

    Attributes:
        node: Name of the node, unique among all nodes.
        host: IP address that all listeners except the local one bind to.
        caller_port: Port for requests of callers.
        local_port: Port on 127.0.0.1 for the node's local target.
        peer_port: Port for other nodes, over TCP and UDP.
        admin_port: Port for operators.
        admin_tokens: Bearer tokens by operator name. If empty, the admin
            listener serves only health, metrics and status.
        advertised_peer_port: Port that other nodes connect to, if it differs
            from peer_port, for example behind a proxy.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        platform_url: Base URL of the platform's services.
        seed_peers: Nodes that are asked for members and document while the
            platform is unavailable.
        choice: Routing policy; policies other than "weighted" are meant for
            experiments.
        stop_grace_s: Time from SIGTERM until the process is killed. Calls of
            that time get a deadline before its end or are refused; None sets
            no limit.
        limits: Limits on clients.
        log: Log settings.
        random_seed: Seed of random choices; None uses a seed from the
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
    stop_grace_s: Annotated[float, pydantic.Field(gt=0)] | None = None
    limits: ClientLimits = ClientLimits()
    log: LogSettings = LogSettings()
    random_seed: int | None = None


class Loader(yaml.SafeLoader):
    """Rejects duplicate keys, which the base class ignores, and huge values."""

    def __init__(self, stream):
        super().__init__(stream)
        self.depth = 0
        self.values = 0
        # Number of values of each complete node, with aliases expanded.
        self.sizes: dict[int, int] = {}

    def compose_node(self, parent, index):
        """See yaml.SafeLoader."""
        is_alias = self.check_event(yaml.events.AliasEvent)
        mark = self.peek_event().start_mark
        self.depth += 1
        if self.depth > MAX_YAML_DEPTH:
            raise yaml.composer.ComposerError(
                None, None, f"nested over {MAX_YAML_DEPTH} levels", mark
            )
        values_before = self.values
        node = super().compose_node(parent, index)
        self.depth -= 1
        if is_alias and id(node) not in self.sizes:
            raise yaml.composer.ComposerError(
                None, None, "an alias stands for what contains it", mark
            )
        self.values += self.sizes[id(node)] if is_alias else 1
        if self.values > MAX_YAML_VALUES:
            raise yaml.composer.ComposerError(
                None, None, f"over {MAX_YAML_VALUES} values", mark
            )
        if not is_alias:
            self.sizes[id(node)] = self.values - values_before
        return node

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


def parse_yaml(text: str, source: str, hides_text: bool = False) -> Any:
    """Parses YAML.

    Args:
        text: The YAML.
        source: Where the text is from, for the message.
        hides_text: Whether messages show no part of the text, which may hold
            secrets, but only the place and kind of the fault.

    Raises:
        SettingsError: The text is not valid YAML; the message is one line
            and starts with the source.
    """
    try:
        return yaml.load(text, Loader)  # noqa: S506
    except yaml.YAMLError as error:
        if hides_text:
            raise SettingsError(
                f"{source}: not valid YAML{_describe_place(error)}"
            ) from None
        message = " ".join(str(error).split())
        raise SettingsError(f"{source}: not valid YAML: {message}") from error


def _describe_place(error: yaml.YAMLError) -> str:
    """Returns what is wrong and where, without any part of the text."""
    if not isinstance(error, yaml.MarkedYAMLError):
        return ""
    problem = _QUOTED.sub("(hidden)", error.problem or "")
    mark = error.problem_mark or error.context_mark
    if mark is None:
        return f": {problem}"
    return f": {problem} in line {mark.line + 1}, column {mark.column + 1}"


def read_file(path: str) -> str:
    """Returns the text of a file.

    Raises:
        SettingsError: The file can't be read, is too large or not UTF-8.
    """
    try:
        with pathlib.Path(path).open("rb") as file:
            # The size is not asked for, since a pipe states none.
            data = file.read(MAX_FILE_BYTES + 1)
        if len(data) > MAX_FILE_BYTES:
            raise SettingsError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
        return io.StringIO(data.decode("utf-8"), newline=None).read()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: not UTF-8 text") from error


def load_settings(path: str) -> NodeSettings:
    """Reads and validates a settings file.

    Raises:
        SettingsError: The message names the key, the value and what is
            allowed, in one line.
    """
    return load_model(NodeSettings, path)


def load_model(model_class: type[_ModelType], path: str) -> _ModelType:
    """Reads a YAML file and validates it against a model.

    Raises:
        SettingsError: The message names the key, the value and what is
            allowed, in one line.
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
    """Returns the first validation error as one line.

    Args:
        error: The validation errors.
        allowed: Allowed top-level keys, listed if a key is unknown.
    """
    first_error = error.errors(include_url=False)[0]
    return describe_detail(first_error, allowed)


def _may_hold_secret(detail: Any) -> bool:
    """Returns whether the value of an error may be a secret, or hold one."""
    location, value = detail["loc"], detail["input"]
    if not location or SECRET_KEYS.intersection(location):
        return True
    if isinstance(value, (dict, list, tuple)):
        # A misspelt key may stand above secrets.
        return bool(value)
    return detail["type"] == "extra_forbidden" and bool(
        _SECRET_NAME.search(str(location[-1]))
    )


def describe_detail(detail: Any, allowed: list[str] | None = None) -> str:
    """Returns a pydantic error detail as one line."""
    key_path = ".".join(str(part) for part in detail["loc"])
    value = repr(detail["input"])
    if len(value) > MAX_SHOWN_VALUE_CHARS:
        value = value[:MAX_SHOWN_VALUE_CHARS] + "..."
    if _may_hold_secret(detail):
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
            # The message of a model-level validator names the key itself.
            return message
    return f"{key_path or 'content'} = {value}: {message}"
