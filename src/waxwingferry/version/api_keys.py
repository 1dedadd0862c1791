"""API keys of workspaces: their digests, and the checks of a document.

Nothing here puts a key into a text: a fault is described by its place.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import typing

from waxwingferry import deferred

if typing.TYPE_CHECKING:
    import hashlib
else:
    hashlib = deferred.Module("hashlib")

# Longer keys are most likely another text that was pasted by mistake.
MAX_KEY_CHARS = 200
# Hexadecimal digits of a digest that people are shown. A few thousand keys
# have different ones, and they don't help to guess a key.
SHOWN_DIGEST_DIGITS = 8


@dataclasses.dataclass(slots=True, frozen=True)
class KeyList:
    """Keys of one workspace, and where the document has them.

    Attributes:
        name: Name of the workspace.
        name_place: Place of the name in the document.
        keys_place: Place of the list of keys in the document.
    """

    name: str
    name_place: str
    keys_place: str
    keys: Sequence[str] = dataclasses.field(repr=False)


def hash_key(key: str) -> bytes:
    """Returns the SHA-256 digest of a key.

    Keys are looked up by it, so that the time of a look-up does not depend on
    how much of a wrong key is right.
    """
    # JSON may hold halves of surrogate pairs. An error would show the key.
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).digest()


def shorten_digest(key: str) -> str:
    """Returns the first digits of a key's digest, by which people tell it."""
    return hash_key(key).hex()[:SHOWN_DIGEST_DIGITS]


def find_problems(workspaces: Sequence[KeyList]) -> Iterator[str]:
    """Yields an error for each name or key that is invalid or held twice."""
    name_places: dict[str, str] = {}
    key_places: dict[bytes, str] = {}
    for item in workspaces:
        first = name_places.setdefault(item.name, item.name_place)
        if first != item.name_place:
            yield f"{item.name_place} = {item.name!r}: is the name of {first}"
        for index, key in enumerate(item.keys):
            place = f"{item.keys_place}.{index}"
            if not 1 <= len(key) <= MAX_KEY_CHARS:
                yield (
                    f"{place} = (hidden): must have 1 to {MAX_KEY_CHARS} "
                    f"characters, has {len(key)}"
                )
                continue
            first = key_places.setdefault(hash_key(key), place)
            if first != place:
                yield f"{place} = (hidden): is the same key as {first}"
