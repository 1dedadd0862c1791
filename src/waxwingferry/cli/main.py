"""Commands of the program waxwingferry, the command line for operators."""

import re
from typing import Any

import yaml

from waxwingferry.cli import check
from waxwingferry.cli import client
from waxwingferry.cli import explain
from waxwingferry.process import program
from waxwingferry.process import settings
from waxwingferry.version import checks
from waxwingferry.version import document
from waxwingferry.version import shown_keys

MAX_DOMAIN_UPDATE_ATTEMPTS = 5
MAX_HISTORY_ROWS = 100
_REVISION_LINE = re.compile(r"^# revision: (\d+)$", re.MULTILINE)


def validate(file: str) -> int:
    """Checks a document without sending it anywhere; warnings don't fail.

    Args:
        file: Path of the YAML file.
    """
    checked = _load_document(file)
    for item in checks.find_warnings(checked):
        print(f"{file}: warning: {item.text}")
    print(f"{file}: good")
    return 0


def check_document(
    file: str,
    against: int = 0,
    offline: bool = False,
    json: bool = False,
    platform: bool = False,
    against_file: str = "",
) -> int:
    """Checks a document, and prints what it would change for callers.

    Exits with 0 if nothing was found, 1 for warnings and 2 for errors.

    Args:
        file: Path of the YAML file.
        against: Revision to compare with; 0 is the one in force.
        offline: Compare with nothing, and connect to no node.
        json: Print JSON.
        platform: The file is a config of the users' platform as JSON, which is
            compared with a file and not with a revision.
        against_file: Path of that file, the config in force.
    """
    if against_file and not platform:
        raise program.UsageError("--against_file: needs --platform")
    try:
        if platform:
            report = check.check_platform_file(file, against_file)
        else:
            report = check.check_file(file, against, offline)
    except program.CommandError as error:
        # Exit code 1 would say that there are only warnings.
        raise program.UsageError(str(error)) from error
    print(report.format_json() if json else report.format_text())
    return report.find_exit_code()


def show(revision: int = 0) -> int:
    """Prints the document in force, with its revision in the first line.

    API keys are not printed: the first digits of their digests stand for them.

    Args:
        revision: Print this earlier revision instead.
    """
    number, content = client.make_client().get_document(revision)
    print(_format_document(number, content), end="")
    return 0


def apply(file: str, why: str, base: int = -1) -> int:
    """Puts a document in force everywhere.

    Args:
        file: Path of the YAML file.
        why: The reason, for the history.
        base: Revision that the file was made from, if it lacks the first
            line that show prints.
    """
    content = _load_document(file)
    text = settings.read_file(file)
    revision_line = _REVISION_LINE.search(text)
    if base < 0 and revision_line is None:
        raise program.UsageError(
            f"{file}: no line '# revision: N' and no --base; "
            "start from the output of show, or pass --base 0 for the first"
        )
    number = (
        base
        if base >= 0 or revision_line is None
        else int(revision_line.group(1))
    )
    data = content.model_dump(mode="json", exclude_unset=True)
    admin = client.make_client()
    if shown_keys.has_shown(data):
        _, base_content = admin.get_document(number) if number else (0, None)
        data, errors = shown_keys.restore(data, base_content)
        if errors:
            raise settings.SettingsError(
                "\n".join(f"{file}: {line}" for line in errors)
            )
    revision = admin.put_document(data, number, why)
    for item in checks.find_warnings(content):
        print(f"warning: {item.text}")
    print(f"revision {revision} accepted; the next change is based on it")
    return 0


def restore(revision: int, why: str) -> int:
    """Puts an earlier revision in force again, as a new revision.

    Args:
        revision: The earlier revision.
        why: The reason, for the history.
    """
    admin = client.make_client()
    current, _ = admin.get_document()
    _, content = admin.get_document(revision)
    new_revision = admin.put_document(content, current, why)
    print(f"revision {new_revision} accepted, with the content of {revision}")
    return 0


def diff(file: str = "", old: int = 0, new: int = 0) -> int:
    """Prints what differs between revisions, or from a file.

    Args:
        file: Compare this file instead of a newer revision.
        old: The older revision; 0 is the one in force.
        new: The newer revision; 0 is the one in force.
    """
    admin = client.make_client()
    number, content = admin.get_document(old)
    before = document.Document.model_validate(content or {})
    if file:
        after, name = _load_document(file), file
    else:
        new_number, new_content = admin.get_document(new)
        after = document.Document.model_validate(new_content or {})
        name = f"revision {new_number}"
    text = document.compare(before, after, (f"revision {number}", name))
    print(text or "no difference")
    return 0


def history(last: int = 10) -> int:
    """Prints who changed the document, when and why; newest first.

    Args:
        last: Number of revisions to print.
    """
    if not 1 <= last <= MAX_HISTORY_ROWS:
        raise program.UsageError(
            f"--last = {last}: must be 1 to {MAX_HISTORY_ROWS}"
        )
    for row in client.make_client().get_history(last):
        print(f"{row['revision']:6} {row['when']} {row['who']}: {row['why']}")
    return 0


def status() -> int:
    """Prints what each node given knows; fails if one does not answer."""
    admin = client.make_client()
    failed = False
    for address in admin.addresses:
        data = admin.get_status(address)
        if data is None:
            print(f"{address}: no answer")
            failed = True
            continue
        print(
            f"{address}: {data['node']} revision {data['revision']} "
            f"members {len(data['members'])} load {data['load']}"
        )
        if "usage" in data:
            print(f"{address}: {_format_usage(data['usage'])}")
    return program.EXIT_FAILURE if failed else 0


def _format_usage(usage: dict[str, Any]) -> str:
    """Returns one line on the duty of reporting usage."""
    text = f"usage reported by {usage['holder']} token {usage['token']}"
    if not usage["holds"]:
        return text
    return (
        f"{text} windows: confirmed {usage['confirmed']} "
        f"open {usage['open']} late {usage['late']}"
    )


def domain_out(name: str, why: str = "") -> int:
    """Takes a failure domain out of service: it gets no new requests.

    Args:
        name: Name of the failure domain.
        why: The reason, for the history.
    """
    return _set_domain(name, "out", why)


def domain_in(name: str, why: str = "") -> int:
    """Brings a failure domain back into service.

    Args:
        name: Name of the failure domain.
        why: The reason, for the history.
    """
    return _set_domain(name, "in", why)


def _set_domain(name: str, state: str, why: str) -> int:
    """Changes the state of a failure domain.

    The change is retried on the new revision after a conflict, so that
    concurrent changes by others are kept.
    """
    admin = client.make_client()
    for _ in range(MAX_DOMAIN_UPDATE_ATTEMPTS):
        number, content = admin.get_document()
        domains = (content or {}).get("failure_domains", [])
        matches = [item for item in domains if item["name"] == name]
        if not matches:
            allowed = ", ".join(item["name"] for item in domains) or "none"
            raise program.UsageError(
                f"name = {name!r}: must be one of {allowed}"
            )
        if matches[0]["state"] == state:
            print(f"{name} is {state} already, by revision {number}")
            return 0
        matches[0]["state"] = state
        try:
            revision = admin.put_document(
                content, number, why or f"{name} {state}"
            )
        except client.ConflictError as error:
            print(f"another change came first, trying again: {error}")
            continue
        print(f"revision {revision} accepted: {name} is {state}")
        return 0
    raise program.CommandError(
        f"{MAX_DOMAIN_UPDATE_ATTEMPTS} other changes came first"
    )


def explain_request(request: str, logs: str = explain.STANDARD_INPUT) -> int:
    """Prints from logs how a request was handled, and why.

    Args:
        request: ID of the request.
        logs: Log files of the processes, separated by commas; "-" is
            standard input.
    """
    paths = [item.strip() for item in logs.split(",") if item.strip()]
    print(explain.explain(explain.read_lines(paths), request))
    return 0


def explain_choice(service: str) -> int:
    """Prints the targets that a node would choose from now, cheapest first.

    Args:
        service: Service of the request.
    """
    print(f"{'node':24}{'cost':>10}{'report ms':>12}  not used because")
    for row in client.make_client().get_choice(service):
        age = "-" if row["report_age_ms"] is None else row["report_age_ms"]
        print(
            f"{row['node']:24}{row['cost']:10.3f}{age:>12}  {row['excluded']}"
        )
    return 0


def _load_document(file: str) -> document.Document:
    data = settings.parse_yaml(settings.read_file(file), file, hides_text=True)
    checked, errors = document.check(data)
    if checked is None:
        raise settings.SettingsError(
            "\n".join(f"{file}: {line}" for line in errors)
        )
    return checked


def _format_document(number: int, content: Any) -> str:
    lines = [f"revision: {number}", *shown_keys.describe_workspaces(content)]
    header = "".join(f"# {line}\n" for line in lines)
    data = shown_keys.hide(content or {})
    return header + yaml.safe_dump(data, sort_keys=False)


COMMANDS = {
    "validate": validate,
    "check": check_document,
    "apply": apply,
    "back": restore,
    "show": show,
    "status": status,
    "history": history,
    "diff": diff,
    "explain": {"request": explain_request, "choice": explain_choice},
    "domain": {"out": domain_out, "in": domain_in},
}


def main() -> None:
    """Runs the program."""
    program.run_program("waxwingferry", COMMANDS)


if __name__ == "__main__":
    main()
