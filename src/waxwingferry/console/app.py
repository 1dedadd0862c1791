"""Web pages of the console; they need no JavaScript.

The console runs on the operator's own computer and uses the operator's token,
so it listens on the loopback address only. Each form has a random CSRF token,
and cross-site posts are refused.
"""

from collections.abc import Callable
import hmac
import pathlib
import secrets
from typing import Any
import urllib.parse

import anyio.to_thread
import jinja2
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from waxwingferry.cli import client
from waxwingferry.process import program
from waxwingferry.process import settings
from waxwingferry.version import checks
from waxwingferry.version import document
from waxwingferry.version import shown_keys

MAX_FORM_BYTES = 1024 * 1024
MAX_HISTORY_ROWS = 50
_TEMPLATE = pathlib.Path(__file__).with_name("page.html")
_SECURITY_HEADERS = {
    "cache-control": "no-store",
    "content-security-policy": (
        "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; "
        "frame-ancestors 'none'; base-uri 'none'"
    ),
    "referrer-policy": "same-origin",
    "x-content-type-options": "nosniff",
}

Request = starlette.requests.Request
Response = starlette.responses.Response


class ForbiddenError(Exception):
    """A post is not from a form of this console, or is too large."""


class Console:
    """The console's pages.

    Args:
        admin: Client of the administration API.
        origin: Origin that the console is served under.
    """

    def __init__(self, admin: client.Client, origin: str):
        self.admin = admin
        self.origin = origin
        self.form_token = secrets.token_hex(16)
        environment = jinja2.Environment(autoescape=True)
        template_text = _TEMPLATE.read_text(encoding="utf-8")
        self.template = environment.from_string(template_text)

    def make_app(self) -> starlette.applications.Starlette:
        """Returns the ASGI application."""
        route = starlette.routing.Route
        return starlette.applications.Starlette(
            routes=[
                route("/", self.show_status),
                route("/document", self.edit_document),
                route("/history", self.show_history),
                route("/check", self.check_document, methods=["POST"]),
                route("/accept", self.accept_document, methods=["POST"]),
                route("/domain", self.set_domain, methods=["POST"]),
            ]
        )

    def _render(self, title: str, status: int = 200, **values: Any) -> Response:
        defaults: dict[str, Any] = {
            "errors": [],
            "warnings": [],
            "text": None,
            "difference": None,
            "why": "",
        }
        html = self.template.render(
            title=title, form_token=self.form_token, **(defaults | values)
        )
        return starlette.responses.HTMLResponse(html, status, _SECURITY_HEADERS)

    async def _read_form(self, request: Request) -> dict[str, str]:
        """Returns the fields of a posted form.

        Raises:
            ForbiddenError: The post is cross-site, lacks the CSRF token or
                is too large.
        """
        origin = request.headers.get("origin", self.origin)
        fetch_site = request.headers.get("sec-fetch-site", "same-origin")
        if origin != self.origin or fetch_site not in ("same-origin", "none"):
            raise ForbiddenError
        body = b""
        async for chunk in request.stream():
            body += chunk
            if len(body) > MAX_FORM_BYTES:
                raise ForbiddenError
        fields = dict(urllib.parse.parse_qsl(body.decode("utf-8", "replace")))
        token = fields.get("token", "")
        if not hmac.compare_digest(token.encode(), self.form_token.encode()):
            raise ForbiddenError
        return fields

    async def _render_result(
        self, title: str, load_values: Callable[[], dict[str, Any]]
    ) -> Response:
        """Renders the values from load_values, or the error that it raises."""
        try:
            values = await anyio.to_thread.run_sync(load_values)
        except client.ConflictError as error:
            return self._render(title, 409, lost=str(error))
        except program.CommandError as error:
            return self._render(title, 502, errors=str(error).splitlines())
        return self._render(title, **values)

    async def show_status(self, request: Request) -> Response:
        """Shows nodes, failure domains and targets."""
        return await self._render_result("Status", self._read_status)

    def _read_status(self) -> dict[str, Any]:
        nodes = [
            (address, self.admin.get_status(address))
            for address in self.admin.addresses
        ]
        node_status: dict[str, Any] = next(
            (node for _, node in nodes if node), {"members": {}}
        )
        _, content = self.admin.get_document()
        return {
            "nodes": nodes,
            "domains": (content or {}).get("failure_domains", []),
            "targets": sorted(node_status["members"].items()),
        }

    async def edit_document(self, request: Request) -> Response:
        """Shows a form with the document in force."""
        return await self._render_result("Document", self._read_document)

    def _read_document(self) -> dict[str, Any]:
        number, content = self.admin.get_document()
        checked = document.Document.model_validate(content or {})
        return {"text": document.to_yaml(checked), "base": number}

    async def check_document(self, request: Request) -> Response:
        """Validates an edited document and shows the difference."""
        try:
            form = await self._read_form(request)
        except ForbiddenError:
            return self._refuse_post()
        text, why = form.get("text", ""), form.get("why", "")
        base = int(form.get("base", "0"))
        checked, errors = parse_document(text)
        if checked is None:
            return self._render(
                "Document", 422, errors=errors, text=text, base=base, why=why
            )
        edited = checked

        def compare() -> dict[str, Any]:
            _, content = self.admin.get_document(base)
            before = document.Document.model_validate(content or {})
            names = (f"revision {base}", "your change")
            return {
                "difference": document.compare(before, edited, names),
                "warnings": [
                    item.text for item in checks.find_warnings(edited)
                ],
                "checked": text,
                "base": base,
                "why": why,
            }

        return await self._render_result("Difference", compare)

    async def accept_document(self, request: Request) -> Response:
        """Puts an edited document in force, after validating it again."""
        try:
            form = await self._read_form(request)
        except ForbiddenError:
            return self._refuse_post()
        checked, errors = parse_document(form.get("text", ""))
        if checked is None:
            return self._render("Document", 422, errors=errors)
        content = checked.model_dump(mode="json", exclude_unset=True)
        base, why = int(form.get("base", "0")), form.get("why", "")

        def accept() -> dict[str, Any]:
            _, old = self.admin.get_document(base) if base else (0, None)
            restored, errors = shown_keys.restore(content, old)
            if errors:
                raise program.CommandError("\n".join(errors))
            number = self.admin.put_document(restored, base, why)
            return {"notice": f"Revision {number} is accepted."}

        return await self._render_result("Document", accept)

    async def set_domain(self, request: Request) -> Response:
        """Takes a failure domain out of service or brings it back."""
        try:
            form = await self._read_form(request)
        except ForbiddenError:
            return self._refuse_post()
        name, state = form.get("name", ""), form.get("state", "")

        def change() -> dict[str, Any]:
            number, content = self.admin.get_document()
            for domain in (content or {}).get("failure_domains", []):
                if domain["name"] == name:
                    domain["state"] = state
            why = form.get("why", "")
            revision = self.admin.put_document(content, number, why)
            notice = f"Revision {revision} is accepted: {name} is {state}."
            return {"notice": notice}

        return await self._render_result("Failure domain", change)

    async def show_history(self, request: Request) -> Response:
        """Shows who changed the document, when and why."""

        def read() -> dict[str, Any]:
            return {"rows": self.admin.get_history(MAX_HISTORY_ROWS)}

        return await self._render_result("History", read)

    def _refuse_post(self) -> Response:
        reason = (
            "The form is not from this run of the console, or is too large."
        )
        return self._render("Refused", 403, errors=[reason])


def parse_document(
    text: str,
) -> tuple[document.Document | None, list[str]]:
    """Returns the document of a YAML text, or None and all its errors."""
    try:
        data = settings.parse_yaml(text, "document", hides_text=True)
    except settings.SettingsError as error:
        return None, [str(error)]
    return document.check(data)
