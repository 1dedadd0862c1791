"""What a node does before it loads its modules, and when it accepts requests.

The control address is opened before the modules are loaded.

Load pattern: after a loss of power all VMs start their node and their target at
the same time. A target whose report is refused repeats it up to a second later,
and its node announces it only then. The node loads its modules for 0.2 to 0.3 s
on half a core; a report in this time now waits in the queue of the socket.

Only the local target uses the address. Callers and other nodes are refused
until the node can answer them, so that they turn to another one at once.
"""

import os
import time
import tomllib

from waxwingferry.connection import early_listeners
from waxwingferry.platform import parsing
from waxwingferry.process import garbage

PATH_VARIABLE = "WAXWINGFERRY_SETTINGS"
# Monotonic and wall-clock time at which this process began, as this module is
# imported first. An earlier process of the node had ended by then.
BEGAN_S = time.monotonic()
BEGAN_UNIX_S = time.time()


def begin() -> None:
    """Called before the modules are imported."""
    garbage.pause()
    _open_control_address()


def complete() -> None:
    """Called when all listeners accept."""
    # The settings may have been replaced after the control address was opened.
    early_listeners.close_unused()
    garbage.resume()


def _open_control_address() -> None:
    """Opens the control address of the settings, if they can be read.

    Otherwise the start goes on without it: the settings are read again and the
    address is opened again later, and these report what is wrong.
    """
    try:
        with open(os.environ.get(PATH_VARIABLE, ""), "rb") as file:
            settings = tomllib.load(file)
        address = settings["network"]["listen"]["control"]
        early_listeners.open_early(*parsing.parse_address(address))
    except (
        LookupError,
        OSError,
        RecursionError,
        TypeError,
        ValueError,
        parsing.ValueFormatError,
    ):
        return
