"""Bounds on YAML that operators give to the programs."""

import pytest

from waxwingferry.process import settings

BOMB = "a0: &a0 [1, 1, 1, 1, 1, 1, 1, 1, 1, 1]\n" + "".join(
    f"a{level}: &a{level} [{', '.join([f'*a{level - 1}'] * 10)}]\n"
    for level in range(1, 10)
)


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("[" * 5000, "nested over 40 levels"),
        ("- " * 5000, "nested over 40 levels"),
        (BOMB, "over 100000 values"),
        ("[" + "1," * 200_000 + "]", "over 100000 values"),
        ("a: &a [*a]", "an alias stands for what contains it"),
    ],
)
def test_yaml_that_would_fill_the_memory_is_refused(text, problem) -> None:
    """Guards against values that only fit into memory as aliases."""
    with pytest.raises(settings.SettingsError, match=problem) as refusal:
        settings.parse_yaml(text, "file", hides_text=True)
    assert "\n" not in str(refusal.value)


def test_aliases_of_a_few_values_are_read() -> None:
    """Guards against bounds that refuse ordinary documents."""
    data = settings.parse_yaml("a: &a [1, 2]\nb: *a\nc: [*a, *a]", "file")
    assert data == {"a": [1, 2], "b": [1, 2], "c": [[1, 2], [1, 2]]}


def test_a_large_file_is_not_read_whole(tmp_path) -> None:
    """Guards against files, or pipes, that are larger than memory."""
    path = tmp_path / "large.yaml"
    with path.open("wb") as file:
        file.truncate(50 * 1024 * 1024)
    with pytest.raises(settings.SettingsError, match="larger than 1048576"):
        settings.read_file(str(path))
    with pytest.raises(settings.SettingsError, match="larger than 1048576"):
        settings.read_file("/dev/zero")
    with pytest.raises(settings.SettingsError, match="Is a directory"):
        settings.read_file(str(tmp_path))
