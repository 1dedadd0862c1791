"""Authentication of callers by the API keys of workspaces."""

from waxwingferry.connection import http1
from waxwingferry.request import outcome
from waxwingferry.version import api_keys
from waxwingferry.version import revision as revisions

AUTHORIZATION_HEADER = "authorization"
# RFC 6750; schemes are compared without regard to case (RFC 9110, 11.1).
_SCHEME = "bearer"
# Far above what any client sends by mistake; a key has at most 200 characters.
MAX_FIELD_BYTES = 8192
UNAUTHORIZED = 401
# RFC 9110, section 15.5.2: a 401 response names the scheme that is expected.
CHALLENGE = ("www-authenticate", "Bearer")

_MISSING = outcome.NotRun(outcome.Reason.KEY_MISSING, UNAUTHORIZED)
_MALFORMED = outcome.NotRun(outcome.Reason.KEY_MALFORMED, UNAUTHORIZED)
_REPEATED = outcome.NotRun(outcome.Reason.KEY_REPEATED, UNAUTHORIZED)
_UNKNOWN = outcome.NotRun(outcome.Reason.KEY_UNKNOWN, UNAUTHORIZED)


def check(
    head: http1.RequestHead, document: revisions.Revision | None
) -> revisions.Workspace | outcome.NotRun | None:
    """Returns the workspace of a request, a refusal, or None.

    A request without a document or route is refused for that later. Nested
    calls need a key as well: the IDs by which they are recognised are no
    secrets, so any caller could make its request look like one.

    Args:
        head: Head of the request as received.
        document: Document in force, or None.

    Returns:
        None if the request needs no key.
    """
    if document is None or not document.workspaces:
        return None
    host = http1.find_header(head.headers, "host")
    route = document.match_route(head.method, head.target, host)
    if route is None or route.anonymous:
        return None
    return authenticate(head.headers, document)


def authenticate(
    headers: http1.Headers, document: revisions.Revision
) -> revisions.Workspace | outcome.NotRun:
    """Returns the workspace whose key a request presents, or a refusal.

    Args:
        headers: Fields of the request as received.
        document: Document in force, which has workspaces.
    """
    values = [value for name, value in headers if name == AUTHORIZATION_HEADER]
    if not values:
        return _MISSING
    if len(values) > 1:
        return _REPEATED
    value = values[0]
    # Fields are decoded as Latin-1, one character for each byte.
    if len(value) > MAX_FIELD_BYTES or not value.isascii():
        return _MALFORMED
    scheme, _, key = value.partition(" ")
    key = key.strip(" ")
    if not scheme:
        return _MISSING
    if scheme.lower() != _SCHEME:
        return _MALFORMED
    if not key:
        return _MISSING
    if len(key) > api_keys.MAX_KEY_CHARS:
        # No document holds it, so it need not be hashed.
        return _UNKNOWN
    return document.find_workspace(key) or _UNKNOWN


def remove_fields(headers: http1.Headers, name_field: str) -> http1.Headers:
    """Returns the fields without the key and the name of a workspace.

    Args:
        headers: Fields of a request.
        name_field: Field that tells the target the name of the workspace.
    """
    return [
        item
        for item in headers
        if item[0] != AUTHORIZATION_HEADER and item[0] != name_field
    ]
