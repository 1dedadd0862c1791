"""Command that checks a document before it is sent."""

import dataclasses
import enum
import json
from typing import Any

from waxwingferry.cli import client
from waxwingferry.platform import config_check
from waxwingferry.process import admin
from waxwingferry.process import settings
from waxwingferry.version import changes
from waxwingferry.version import checks
from waxwingferry.version import document
from waxwingferry.version import findings
from waxwingferry.version import revision as revisions
from waxwingferry.version import shown_keys


class ExitCode(enum.IntEnum):
    """Exit codes of the command."""

    GOOD = 0
    WARNINGS = 1
    ERRORS = 2


# Fields of a change that are sent beside the document: why it was made, by
# JSON escapes up to 6 bytes for each of 500 characters, and a few numbers.
_CHANGE_BYTES = 4096


@dataclasses.dataclass(slots=True)
class Report:
    """What was found out about a document.

    Attributes:
        file: Path of the file.
        found: Findings and their lines.
        base: Revision or file that the document was compared with, or None.
        changes: What would change for callers and operators.
    """

    file: str
    found: list[tuple[findings.Finding, int]]
    base: int | str | None = None
    changes: list[str] = dataclasses.field(default_factory=list)

    def find_exit_code(self) -> ExitCode:
        """Returns the exit code of the command."""
        severities = {finding.severity for finding, _ in self.found}
        if findings.Severity.ERROR in severities:
            return ExitCode.ERRORS
        return ExitCode.WARNINGS if severities else ExitCode.GOOD

    def format_text(self) -> str:
        """Returns the report for people."""
        lines = [
            f"{self.file}:{line}: {finding.severity}: {finding.text}"
            for finding, line in self.found
        ]
        if not lines:
            lines.append(f"{self.file}: good")
        if self.base is not None:
            kind = "revision " if isinstance(self.base, int) else ""
            lines.append(f"changes against {kind}{self.base}:")
            lines += [f"  {line}" for line in self.changes or ["none"]]
        return "\n".join(lines)

    def format_json(self) -> str:
        """Returns the report for programs."""
        data = {
            "file": self.file,
            "findings": [
                {
                    "severity": finding.severity.value,
                    "line": line,
                    "place": finding.place,
                    "message": finding.message,
                }
                for finding, line in self.found
            ],
            "against": self.base,
            "changes": self.changes,
        }
        return json.dumps(data, indent=2)


def check_platform_file(file: str, against_file: str) -> Report:
    """Returns the report on a config of the users' platform.

    Args:
        file: Path of the config as JSON.
        against_file: Path of the config in force, or empty to compare with
            nothing. The operator has it; no node is asked.

    Raises:
        settings.SettingsError: A file is not readable, or no JSON; or the
            config in force is invalid.
    """
    text = _read_json(file)
    config = settings.parse_yaml(text, file, hides_text=True)
    report = Report(file, [])
    try:
        checked = config_check.parse(config)
    except revisions.DocumentError as error:
        finding = findings.make_error(str(error))
        report.found = [(finding, findings.LineIndex(text).find_line(""))]
        return report
    lines = findings.LineIndex(text)
    report.found = [
        (item, lines.find_line(item.place))
        for item in config_check.find_warnings(config)
    ]
    if against_file:
        data = settings.parse_yaml(
            _read_json(against_file), against_file, hides_text=True
        )
        try:
            old = config_check.parse(data)
        except revisions.DocumentError as error:
            raise settings.SettingsError(f"{against_file}: {error}") from error
        report.base = against_file
        report.changes = list(changes.describe(old, checked))
    return report


def _read_json(file: str) -> str:
    """Returns JSON that can be read as YAML, which allows no tabs."""
    return settings.read_file(file).expandtabs(1)


def check_file(file: str, against: int, offline: bool) -> Report:
    """Returns the report on a file.

    Args:
        file: Path of the file.
        against: Revision to compare with; 0 is the one in force.
        offline: Whether nothing is compared, and no connection is needed.

    Raises:
        settings.SettingsError: The file is not readable, or no YAML.
        program.CommandError: The revision can't be read.
    """
    text = settings.read_file(file)
    data = settings.parse_yaml(text, file, hides_text=True)
    base, base_content = None, None
    if not offline:
        base, base_content = client.make_client().get_document(against)
    checked, found = find_findings(data, base_content, offline)
    lines = findings.LineIndex(text)
    report = Report(
        file, [(item, lines.find_line(item.place)) for item in found], base
    )
    if checked is not None and base is not None:
        old = document.Document.model_validate(base_content or {})
        report.changes = list(
            changes.describe(
                document.make_revision(base, old),
                document.make_revision(base, checked),
            )
        )
    return report


def find_findings(
    data: Any, base_content: Any, offline: bool
) -> tuple[document.Document | None, list[findings.Finding]]:
    """Returns a document and its findings.

    Args:
        data: Content of the document.
        base_content: Content of the revision that it is compared with.
        offline: Whether there is no such revision.

    Returns:
        The document with its keys, or None if it is invalid, and the findings.
    """
    checked, errors = document.check(data)
    if checked is None:
        return None, [findings.make_error(line) for line in errors]
    content = checked.model_dump(mode="json", exclude_unset=True)
    found = checks.find_warnings(checked)
    if shown_keys.has_shown(content) and offline:
        warning = findings.Severity.WARNING
        message = (
            "digests in place of keys can be checked only against the revision "
            "that has the keys"
        )
        found.append(findings.Finding(warning, "workspaces", message))
    elif shown_keys.has_shown(content):
        content, errors = shown_keys.restore(content, base_content)
        checked, more = document.check(content)
        errors += more
        found += [findings.make_error(line) for line in errors]
    size = len(json.dumps(content)) + _CHANGE_BYTES
    if size > admin.MAX_BODY_BYTES:
        message = (
            f"has {size} bytes with what is sent beside it; at most "
            f"{admin.MAX_BODY_BYTES} are accepted"
        )
        found.append(findings.Finding(findings.Severity.ERROR, "", message))
    if any(item.severity is findings.Severity.ERROR for item in found):
        return None, found
    return checked, found
