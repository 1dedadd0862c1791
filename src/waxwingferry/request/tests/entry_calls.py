"""Takes the calls that an entry makes of requests, without running them."""

from typing import Any
from typing import cast

from waxwingferry.connection import http1
from waxwingferry.request import answering
from waxwingferry.request import calls
from waxwingferry.request import entry


async def take_calls(
    monkeypatch,
    node: entry.EntryHandler,
    connection: object,
    head: http1.RequestHead,
) -> list[calls.Call]:
    """Lets an entry handle a request without a body.

    Returns:
        The call that it would run, or none if it refused the request.
    """
    taken: list[calls.Call] = []

    async def read_body(_: object) -> calls.Body:
        return calls.Body(b"")

    async def run_call(_: object, call: calls.Call) -> None:
        taken.append(call)

    monkeypatch.setattr(answering, "read_body", read_body)
    monkeypatch.setattr(node, "_run_call", run_call)
    await node.handle(cast(Any, connection), head)
    return taken
