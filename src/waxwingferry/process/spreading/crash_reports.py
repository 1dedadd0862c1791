"""Exchanges the suspects of ended targets between nodes.

A change is sent to several random peers at once, and these forward what is new
to them. While there are suspects, each node also sends the most suspected to a
random peer every second, which reaches nodes that were started later or missed
a datagram. All datagrams are within the byte budget of gossip.
"""

from collections.abc import Callable
import time
from typing import Annotated

import anyio
import msgspec

from waxwingferry import decoding
from waxwingferry import invariants
from waxwingferry.process.protection import crash_suspects
from waxwingferry.process.spreading import gossip

# First byte of each datagram; see version_rollouts.TYPE_BYTES.
TYPE_BYTE = b"\x06"
# Keeps a datagram below gossip.MAX_DATAGRAM_BYTES.
MAX_REPORTS = 12
# In clusters up to this size, one node informs all others directly.
FANOUT = 16
REPEAT_INTERVAL_S = 1.0

_Hash = Annotated[int, msgspec.Meta(ge=0)]
_AgeMs = Annotated[int, msgspec.Meta(ge=0, le=2**40)]


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A suspect in a datagram.

    Attributes:
        fingerprint: Fingerprint of the request.
        ends: Hash of the target's incarnation, age, and whether the request
            is blamed and was answered since, of each end.
    """

    fingerprint: _Hash
    ends: Annotated[
        tuple[tuple[_Hash, _AgeMs, bool, bool], ...],
        msgspec.Meta(max_length=crash_suspects.MAX_ENDS),
    ]


Message = Annotated[tuple[Entry, ...], msgspec.Meta(max_length=MAX_REPORTS)]


class CrashReports:
    """Sends and receives the datagrams.

    Args:
        suspects: The suspects known to this node.
        gossiper: Gossip protocol of this node.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        suspects: crash_suspects.CrashSuspects,
        gossiper: gossip.Gossiper,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.suspects = suspects
        self.gossiper = gossiper
        self.clock = clock
        self.decoder = msgspec.msgpack.Decoder(Message)
        suspects.on_change = self.send_changes
        gossiper.handlers[TYPE_BYTE] = self.receive

    def send_changes(self, reports: list[crash_suspects.Report]) -> None:
        """Sends changed suspects to random peers."""
        for start in range(0, len(reports), MAX_REPORTS):
            data = self.encode(reports[start : start + MAX_REPORTS])
            self.gossiper.send_to_random(data, FANOUT)

    def receive(self, data: bytes) -> None:
        """Merges a datagram.

        Raises:
            decoding.DecodingError: The datagram is malformed.
        """
        now_s = self.clock()
        entries = decoding.decode(self.decoder.decode, data)
        self.suspects.merge(
            crash_suspects.Report(
                entry.fingerprint,
                tuple(
                    crash_suspects.End(
                        end, now_s - age_ms / 1000, blamed, closed
                    )
                    for end, age_ms, blamed, closed in entry.ends
                ),
            )
            for entry in entries
        )

    def encode(self, reports: list[crash_suspects.Report]) -> bytes:
        """Returns a datagram with reports; at most MAX_REPORTS."""
        now_s = self.clock()
        entries = [
            Entry(
                report.fingerprint,
                tuple(
                    (
                        end.target,
                        max(round((now_s - end.at_s) * 1000), 0),
                        end.blamed,
                        end.closed,
                    )
                    for end in report.ends
                ),
            )
            for report in reports
        ]
        data = TYPE_BYTE + msgspec.msgpack.encode(entries)
        invariants.require(
            len(data) <= gossip.MAX_DATAGRAM_BYTES, "crash_report_length"
        )
        return data

    async def run(self) -> None:
        """Repeats the most suspected requests until cancelled."""
        while True:
            await anyio.sleep(REPEAT_INTERVAL_S)
            reports = self.suspects.list_most_suspected(MAX_REPORTS)
            if reports:
                self.gossiper.send_to_random(self.encode(reports), 1)
