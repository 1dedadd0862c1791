"""Tests caller limits that are configured in a document."""

from waxwingferry.connection import message
from waxwingferry.process import core
from waxwingferry.version import revision


def test_configured_limits_override_defaults():
    """Guards against ignored limits of the document."""
    configured = revision.CallerLimits(
        head_bytes=16384, head_s=3.0, idle_s=15.0
    )
    limits = core.make_caller_limits(configured)
    assert (limits.head_bytes, limits.head_s) == (16384, 3.0)
    assert limits.body_bytes == message.DEFAULT_LIMITS.body_bytes


def test_idle_timeout_is_at_least_the_default():
    """Guards against closing connections that callers still consider open.

    A caller that goes by the longer timeout of an earlier document may send a
    request just as the node closes the connection.
    """
    limits = core.make_caller_limits(revision.CallerLimits(idle_s=1.0))
    assert limits.idle_s == message.DEFAULT_LIMITS.idle_s
    limits = core.make_caller_limits(revision.CallerLimits(idle_s=200.0))
    assert limits.idle_s == 200.0


def test_peers_may_send_larger_heads_than_callers():
    """Guards against a legal head that is refused at the second node."""
    configured = revision.CallerLimits(head_bytes=50_000)
    limits = core.make_caller_limits(configured)
    peer_limits = core.make_peer_limits(limits)
    # Each line may grow by a space.
    assert peer_limits.head_bytes > 50_000 * 5 / 4
    small = core.make_caller_limits(revision.CallerLimits(head_bytes=1000))
    default = core.make_peer_limits(message.DEFAULT_LIMITS)
    assert core.make_peer_limits(small).head_bytes == default.head_bytes


def test_limits_of_the_settings_apply_without_limits_of_the_document():
    """Guards against settings that the first document overrides."""
    default = message.Limits(head_bytes=9000, blank_bytes=8, framing_bytes=5000)
    limits = core.make_caller_limits(revision.CallerLimits(), default)
    assert limits == default
