"""Entry point of the node program."""

import signal

# SIGHUP would end the process while it loads its modules and settings.
# process.signals.receive_signals() unblocks it.
signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])

from waxwingferry.platform import start  # noqa: E402

start.begin()

from waxwingferry.platform import main  # noqa: E402

if __name__ == "__main__":
    main.main()
