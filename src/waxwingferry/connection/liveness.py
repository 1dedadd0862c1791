"""Check of a pooled connection before it carries the next call."""

import select

import anyio.abc

from waxwingferry.connection import http1
from waxwingferry.connection import pool


async def acquire(source: pool.Pool) -> http1.ClientConnection:
    """Returns a connection on which nothing is waiting to be read.

    An idle connection that is readable was closed by the peer or holds bytes
    of an answer that nobody asked for. The check is one poll of the socket
    (about 2 us); a round trip would cost about 1 ms for each call and could
    still be followed by silence.

    Raises:
        pool.ConnectError: No connection could be opened.
    """
    while True:
        connection = await source.acquire()
        if not is_readable(connection.stream):
            return connection
        connection.reusable = False
        await source.release(connection)


def is_readable(stream: anyio.abc.ByteStream) -> bool:
    """Tells whether bytes or an end of stream wait in the socket."""
    extra = getattr(stream, "extra", None)
    if extra is None:
        return False
    raw = extra(anyio.abc.SocketAttribute.raw_socket, None)
    if raw is None:
        return False
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN)
    return bool(poll.poll(0))
