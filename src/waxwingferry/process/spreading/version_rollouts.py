"""Exchanges the counts and decisions of version rollouts between nodes."""

from collections.abc import Callable
from typing import Any

import msgspec

from waxwingferry import decoding
from waxwingferry.process.spreading import current_document
from waxwingferry.process.spreading import gossip
from waxwingferry.process.spreading import members
from waxwingferry.request import receive
from waxwingferry.version import messages
from waxwingferry.version import rollout

# First byte of each datagram type; gossip.LOAD_TYPE_BYTE is also in use.
TYPE_BYTES: dict[type, bytes] = {
    messages.TargetCounts: b"\x02",
    messages.Decision: b"\x03",
    messages.Stop: b"\x04",
    messages.DecisionQuery: b"\x05",
}


def make_rollouts(
    membership: members.Membership,
    configured: current_document.CurrentDocument,
    receiver: receive.Receiver,
    gossiper: gossip.Gossiper,
    decision_store: rollout.DecisionStore,
    share: float,
    slack: float,
) -> rollout.RolloutController:
    """Returns a node's rollout controller, connected to gossip and receiver.

    Args:
        membership: The known members.
        configured: The document in force.
        receiver: Reports the results of calls to the local target.
        gossiper: Gossip protocol of this node.
        decision_store: Persistent store of the decisions on version rollouts.
        share: Maximum share of a service's requests that a bad version may
            receive.
        slack: Requests that it may receive beyond the share, over all nodes.
    """

    def list_peers() -> list[str]:
        return [row.node for row in membership.peers()]

    def send(node: str, item: messages.Message) -> None:
        type_byte = TYPE_BYTES[type(item)]
        gossiper.send_to(node, type_byte + msgspec.msgpack.encode(item))

    rollouts = rollout.RolloutController(
        membership.node,
        lambda: configured.revision,
        lambda service: membership.by_service.get(service, []),
        decision_store,
        membership.list_role_names,
        send,
        share,
        slack,
    )
    rollouts.peers = list_peers
    rollouts.count_nodes = membership.count_members
    handlers: dict[type, Callable[[Any], None]] = {
        messages.TargetCounts: rollouts.receive_counts,
        messages.Decision: rollouts.receive_decision,
        messages.Stop: rollouts.receive_stop,
        messages.DecisionQuery: rollouts.receive_query,
    }
    for kind, handler in handlers.items():
        gossiper.handlers[TYPE_BYTES[kind]] = make_handler(kind, handler)
    receiver.on_answer = rollouts.count_result
    return rollouts


def make_handler(
    kind: type, handler: Callable[[Any], None]
) -> Callable[[bytes], None]:
    """Returns a handler of datagrams that decodes a message for another one."""
    decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(kind)
    return lambda data: handler(decoding.decode(decoder.decode, data))
