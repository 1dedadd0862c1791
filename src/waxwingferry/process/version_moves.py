"""Carries the counts and decisions of version moves between nodes."""

import msgspec

from waxwingferry.process import gossip
from waxwingferry.process import in_force
from waxwingferry.process import members
from waxwingferry.request import receive
from waxwingferry.version import rollout

COUNT_MARK = b"\x02"
DECISION_MARK = b"\x03"


def make_moves(
    known: members.Members,
    configured: in_force.InForce,
    receiver: receive.Receiver,
    chatter: gossip.Gossip,
    ledger: rollout.Ledger,
    share: float,
    slack: float,
) -> rollout.Moves:
    """Returns the moves of one node, with its counts and datagrams.

    Args:
        known: The members known.
        configured: The document in force.
        receiver: Counts the answers of the own target.
        chatter: The gossip of this node.
        ledger: Where decisions last.
        share: Part of a service's requests that a bad version may get.
        slack: Further requests that it may get, over all nodes.
    """

    def judges() -> list[str]:
        return sorted({known.node, *(row.node for row in known.peers())})

    def send(node: str, item: rollout.CountPush | rollout.Decision) -> None:
        counts = isinstance(item, rollout.CountPush)
        mark = COUNT_MARK if counts else DECISION_MARK
        chatter.send_to(node, mark + msgspec.msgpack.encode(item))

    moves = rollout.Moves(
        known.node,
        lambda: configured.revision,
        lambda service: known.by_service.get(service, []),
        ledger,
        judges,
        send,
        share,
        slack,
    )
    counts = msgspec.msgpack.Decoder(rollout.CountPush)
    decisions = msgspec.msgpack.Decoder(rollout.Decision)
    chatter.handlers[COUNT_MARK] = lambda data: moves.take_count(
        counts.decode(data)
    )
    chatter.handlers[DECISION_MARK] = lambda data: moves.take_decision(
        decisions.decode(data)
    )
    receiver.on_answer = moves.count
    return moves
