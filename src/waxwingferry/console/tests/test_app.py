"""Pages of the console with a fake administration API."""

import json
import re

import httpx
import pytest

from waxwingferry.cli import client
from waxwingferry.console import app

ORIGIN = "http://127.0.0.1:8400"
DOCUMENT = {
    "services": [
        {"name": "desk", "routes": [{"path_prefix": "/desk/", "idempotent": 1}]}
    ],
    "failure_domains": [{"name": "d1", "region": "r1", "state": "in"}],
}


class FakeAdminApi:
    """Fake administration API of a node."""

    def __init__(self):
        self.revision = 3
        self.document = DOCUMENT
        self.put_bodies: list[dict] = []

    def handle(self, request: httpx.Request) -> httpx.Response:
        """Handles a request."""
        match request.method, request.url.path:
            case "GET", "/document":
                data = {"revision": self.revision, "document": self.document}
                return httpx.Response(200, json=data)
            case "GET", "/status":
                data = {"revision": 3, "load": "idle", "members": {}}
                return httpx.Response(200, json=data)
            case "PUT", "/document":
                body = json.loads(request.content)
                self.put_bodies.append(body)
                if body["base"] != self.revision:
                    conflict = {
                        "revision": self.revision,
                        "who": "eva",
                        "why": "storm",
                        "difference": "+ <b>",
                    }
                    return httpx.Response(409, json=conflict)
                self.revision += 1
                return httpx.Response(200, json={"revision": self.revision})
        return httpx.Response(404)


@pytest.fixture
def node():
    """Fake administration API."""
    return FakeAdminApi()


@pytest.fixture
def browser(node):
    """HTTP client of the console, in place of a browser."""
    transport = httpx.MockTransport(node.handle)
    admin = client.Client(["n0:1"], "a" * 16, transport)
    console_app = app.Console(admin, ORIGIN).make_app()
    return httpx.AsyncClient(
        transport=httpx.ASGITransport(console_app), base_url=ORIGIN
    )


async def get_token(browser: httpx.AsyncClient) -> str:
    """Returns the CSRF token of the console's forms."""
    page = (await browser.get("/document")).text
    found = re.search(r'name="token" value="(\w+)"', page)
    assert found
    return found[1]


@pytest.mark.anyio
async def test_status_page_takes_a_domain_out(node, browser) -> None:
    """Guards against a status page that can't take out a failure domain."""
    page = (await browser.get("/")).text
    assert "Take out" in page
    token = await get_token(browser)
    form = {"token": token, "name": "d1", "state": "out", "why": "flood"}
    reply = await browser.post("/domain", data=form)
    assert "Revision 4 is accepted" in reply.text
    assert (
        node.put_bodies[0]["document"]["failure_domains"][0]["state"] == "out"
    )


@pytest.mark.anyio
async def test_invalid_document_is_refused_with_its_error(
    node, browser
) -> None:
    """Guards against accepting a document without full validation."""
    form = {
        "token": await get_token(browser),
        "text": "services: 7",
        "base": "3",
        "why": "try",
    }
    for path in ("/check", "/accept"):
        reply = await browser.post(path, data=form)
        assert reply.status_code == 422
        assert "services" in reply.text
    assert not node.put_bodies


@pytest.mark.anyio
async def test_conflict_shows_the_other_change(node, browser) -> None:
    """Guards against overwriting the change of another operator."""
    form = {
        "token": await get_token(browser),
        "text": json.dumps(DOCUMENT),
        "base": "2",
        "why": "mine",
    }
    reply = await browser.post("/accept", data=form)
    assert reply.status_code == 409
    assert "by eva: storm" in reply.text
    assert "&lt;b&gt;" in reply.text


@pytest.mark.anyio
@pytest.mark.parametrize(
    "headers",
    [{"origin": "http://evil.example"}, {"sec-fetch-site": "cross-site"}, {}],
    ids=["origin", "site", "token"],
)
async def test_cross_site_posts_are_refused(node, browser, headers) -> None:
    """Guards against cross-site posts that use the operator's token."""
    token = await get_token(browser) if headers else "0" * 32
    form = {"token": token, "name": "d1", "state": "out", "why": "x"}
    reply = await browser.post("/domain", data=form, headers=headers)
    assert reply.status_code == 403
    assert not node.put_bodies
