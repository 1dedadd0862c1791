"""Listening sockets that are opened before a program has loaded its modules.

A client that connects meanwhile waits in the queue of the socket, instead of
being refused and trying again later.
"""

import socket

# A client in the queue takes no memory of the process. Few clients use an
# address that is opened early.
BACKLOG = 128

_sockets: dict[tuple[str, int], socket.socket] = {}


def open_early(host: str, port: int) -> None:
    """Opens a socket that take() returns later.

    Raises:
        OSError: The socket could not be opened.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        # As the event loop sets it for sockets that it opens.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    _sockets[host, port] = listener


def close_unused() -> None:
    """Closes the sockets that were not taken."""
    while _sockets:
        _sockets.popitem()[1].close()


def take(host: str, port: int) -> socket.socket | None:
    """Returns the socket that was opened for an address, once."""
    return _sockets.pop((host, port), None)
