"""Commands of the command line against the administration API of a node."""

import random

import anyio.from_thread
import httpx
import pydantic
import pytest

from waxwingferry.cli import client
from waxwingferry.cli import main
from waxwingferry.process import admin
from waxwingferry.process import metrics
from waxwingferry.process import program
from waxwingferry.process.choice import routing
from waxwingferry.process.spreading import configuration
from waxwingferry.process.spreading import members
from waxwingferry.process.tests import fakes
from waxwingferry.request import receive

TOKENS = {
    "ann": pydantic.SecretStr("a" * 16),
    "ben": pydantic.SecretStr("b" * 16),
}
DOCUMENT = """\
# revision: 0
services:
  - name: desk
    routes:
      - path_prefix: /desk/
failure_domains:
  - {name: d1, region: r1}
  - {name: d2, region: r1}
"""


class Bridge(httpx.BaseTransport):
    """Transport of a synchronous client to an ASGI application.

    Attributes:
        lost_answers: Number of PUT requests whose responses are still to be
            lost after the request took effect.
        refused_hosts: Hosts that refuse connections.
    """

    def __init__(self, app, portal):
        self.asgi_transport = httpx.ASGITransport(app=app)
        self.portal = portal
        self.lost_answers = 0
        self.refused_hosts: set[str] = set()

    async def _send(self, request):
        reply = await self.asgi_transport.handle_async_request(request)
        return reply.status_code, reply.headers, await reply.aread()

    def handle_request(self, request):
        """See httpx.BaseTransport."""
        if request.url.host in self.refused_hosts:
            raise httpx.ConnectError("refused")
        status, headers, body = self.portal.call(self._send, request)
        if request.method == "PUT" and self.lost_answers:
            self.lost_answers -= 1
            raise httpx.ReadTimeout("lost")
        return httpx.Response(status, headers=headers, content=body)


def _make_app(tokens, table):
    membership = members.Membership("n0")
    configuration_store = configuration.Configuration(table)
    counters = metrics.Metrics()
    receiver = receive.Receiver(
        "i0", lambda: False, lambda: configuration_store.revision, counters
    )
    membership.apply_all(
        [fakes.make_row(n, failure_domain=f"d{n}") for n in (1, 2)]
    )
    router = routing.Router(random.Random(1))
    admin_api = admin.Admin(
        "n0",
        membership,
        receiver,
        counters,
        configuration_store,
        tokens,
        explain=lambda service: router.explain(
            membership.by_service[service], frozenset({"d2"}), set()
        ),
    )
    return admin_api.make_app()


@pytest.fixture
def table():
    """Table of the platform."""
    return fakes.Table()


@pytest.fixture
def bridge(table, monkeypatch, tmp_path):
    """Connects the command line to a node, in a temporary directory."""
    monkeypatch.chdir(tmp_path)
    (tmp_path / "file.yaml").write_text(DOCUMENT, encoding="utf-8")
    with anyio.from_thread.start_blocking_portal() as portal:
        transport = Bridge(_make_app(TOKENS, table), portal)
        monkeypatch.setattr(
            client,
            "make_client",
            lambda: client.Client(["dead:1", "n0:2"], "a" * 16, transport),
        )
        yield transport


def test_document_is_applied_shown_and_restored(bridge, capsys):
    """Guards against changes that are missing from the history."""
    bridge.refused_hosts = {"dead"}
    assert main.apply("file.yaml", why="first, and only") == 0
    assert main.domain_out("d1", why="switch") == 0
    assert main.restore(1, why="back") == 0
    capsys.readouterr()
    main.history()
    lines = [
        line.split(" ann: ")[1] for line in capsys.readouterr().out.splitlines()
    ]
    assert lines == ["back", "switch", "first, and only"]
    main.diff(old=1, new=3)
    assert capsys.readouterr().out == "no difference\n"
    main.diff(old=1, new=2)
    assert "+  state: out" in capsys.readouterr().out
    main.show()
    assert capsys.readouterr().out.startswith("# revision: 3\n")


def test_conflicting_change_is_refused_with_the_difference(bridge, capsys):
    """Guards against applying an outdated file over a later change."""
    main.apply("file.yaml", why="first")
    with open("file.yaml", "w", encoding="utf-8") as file:
        file.write(DOCUMENT.replace("revision: 0", "revision: 1"))
    main.domain_out("d2", why="switch")
    with pytest.raises(client.ConflictError) as refusal:
        main.apply("file.yaml", why="late")
    assert "revision 2 by ann: switch" in str(refusal.value)
    assert "+  state: out" in str(refusal.value)


def test_lost_answer_is_resolved_from_the_history(bridge, table, capsys):
    """Guards against sending a change again after it took effect."""
    bridge.lost_answers = 1
    assert main.apply("file.yaml", why="first") == 0
    assert "revision 1 accepted" in capsys.readouterr().out
    assert table.writes == 1


def test_file_without_a_base_revision_is_refused(bridge):
    """Guards against basing a change on an arbitrary revision."""
    with open("file.yaml", "w", encoding="utf-8") as file:
        file.write(DOCUMENT.partition("\n")[2])
    with pytest.raises(program.UsageError, match="--base"):
        main.apply("file.yaml", why="first")


def test_unknown_failure_domain_is_refused(bridge):
    """Guards against taking out a failure domain that doesn't exist."""
    main.apply("file.yaml", why="first")
    with pytest.raises(program.UsageError, match="one of d1, d2"):
        main.domain_out("d3")


def test_platform_outage_is_reported(bridge, table):
    """Guards against reporting a change as accepted during an outage."""
    table.down = True
    with pytest.raises(program.CommandError, match="nothing was written"):
        main.apply("file.yaml", why="first")


@pytest.mark.parametrize(
    ("token", "status"),
    [("", 401), ("a" * 15, 401), ("c" * 16, 401), ("b" * 16, 200)],
)
def test_document_requires_a_token(bridge, token, status):
    """Guards against unauthenticated reads and changes of the document."""
    with httpx.Client(transport=bridge) as anonymous:
        headers = {"authorization": f"Bearer {token}"}
        for path in ("/document", "/history"):
            reply = anonymous.get(f"http://n0{path}", headers=headers)
            assert reply.status_code == status
        if status == 401:
            reply = anonymous.put("http://n0/document", headers=headers)
            assert reply.status_code == 401
        assert anonymous.get("http://n0/status").status_code == 200


def test_without_tokens_only_health_metrics_and_status_are_served(table):
    """Guards against an unprotected API if no tokens are configured."""
    with anyio.from_thread.start_blocking_portal() as portal:
        transport = Bridge(_make_app({}, table), portal)
        with httpx.Client(
            transport=transport, base_url="http://n0"
        ) as anonymous:
            for path in ("/healthz", "/metrics", "/status"):
                assert anonymous.get(path).status_code == 200
            for path in ("/document", "/history"):
                assert anonymous.get(path).status_code == 404


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (b"{", 422),
        (b'{"base": 0, "document": {}, "why": ""}', 422),
        (b'{"base": 0, "document": {"x": 1}, "why": "w"', 422),
        (b" " * (admin.MAX_BODY_BYTES + 1), 413),
    ],
)
def test_malformed_changes_are_refused_with_reasons(bridge, body, status):
    """Guards against a server error on malformed input of other tools."""
    with httpx.Client(transport=bridge) as operator:
        headers = {"authorization": "Bearer " + "a" * 16}
        url = "http://n0/document"
        reply = operator.put(url, headers=headers, content=body)
        assert reply.status_code == status
        assert reply.json()["errors"]


def test_choice_lists_targets_by_cost(bridge, capsys):
    """Guards against hiding why a target receives no requests."""
    assert main.explain_choice("desk") == 0
    _, first, second = capsys.readouterr().out.splitlines()
    assert first.startswith("n1")
    assert second.startswith("n2")
    assert second.endswith("domain_out")
    with pytest.raises(program.CommandError, match="must be one of desk"):
        main.explain_choice("none")
