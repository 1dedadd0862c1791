"""Carries the counts and decisions of version moves between nodes."""

from collections.abc import Callable
from typing import Any

import msgspec

from waxwingferry.process.spreading import gossip
from waxwingferry.process.spreading import in_force
from waxwingferry.process.spreading import members
from waxwingferry.request import receive
from waxwingferry.version import messages
from waxwingferry.version import rollout

# First bytes of the datagrams; gossip.LOAD_MARK is another one.
MARKS: dict[type, bytes] = {
    messages.CountPush: b"\x02",
    messages.Decision: b"\x03",
    messages.Stop: b"\x04",
    messages.Question: b"\x05",
}


def make_moves(
    known: members.Members,
    configured: in_force.InForce,
    receiver: receive.Receiver,
    chatter: gossip.Gossip,
    decision_store: rollout.DecisionStore,
    share: float,
    slack: float,
) -> rollout.Moves:
    """Returns the moves of one node, with its counts and datagrams.

    Args:
        known: The members known.
        configured: The document in force.
        receiver: Counts the answers of the own target.
        chatter: The gossip of this node.
        decision_store: Persistent store of the decisions on version moves.
        share: Part of a service's requests that a bad version may get.
        slack: Further requests that it may get, over all nodes.
    """

    def judges() -> list[str]:
        return sorted({known.node, *(row.node for row in known.peers())})

    def send(node: str, item: messages.Message) -> None:
        mark = MARKS[type(item)]
        chatter.send_to(node, mark + msgspec.msgpack.encode(item))

    moves = rollout.Moves(
        known.node,
        lambda: configured.revision,
        lambda service: known.by_service.get(service, []),
        decision_store,
        judges,
        send,
        share,
        slack,
    )
    handlers: dict[type, Callable[[Any], None]] = {
        messages.CountPush: moves.take_count,
        messages.Decision: moves.take_decision,
        messages.Stop: moves.take_stop,
        messages.Question: moves.take_question,
    }
    for kind, handler in handlers.items():
        chatter.handlers[MARKS[kind]] = _make_handler(kind, handler)
    receiver.on_answer = moves.count
    return moves


def _make_handler(
    kind: type, handler: Callable[[Any], None]
) -> Callable[[bytes], None]:
    decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(kind)
    return lambda data: handler(decoder.decode(data))
