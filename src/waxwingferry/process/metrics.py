"""Prometheus metrics of a node."""

import aioprometheus

# Histogram bounds, from the overhead of one hop to the longest deadline.
LATENCY_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 10.0)


class Metrics:
    """Metrics of one node, in a separate registry."""

    def __init__(self):
        self.registry = aioprometheus.Registry()
        self.calls = self._make_counter("calls", "Calls by how they ended.")
        self.refusals = self._make_counter("refusals", "Refusals by reason.")
        self.unanswered = self._make_counter(
            "unanswered", "Requests whose connection ended without a response."
        )
        self.client_limits = self._make_counter(
            "client_limits",
            "Connections and requests limited for lack of room, by reason.",
        )
        self.retries = self._make_counter("retries", "Retries by reason.")
        self.retry_denials = self._make_counter(
            "retry_denials", "Calls not tried again, by reason."
        )
        self.receive_refusals = self._make_counter(
            "receive_refusals", "Attempts refused at the target's node."
        )
        self.limit_resets = self._make_counter(
            "limit_resets", "Returns of the limit to cold by cause."
        )
        self.admission = aioprometheus.Gauge(
            "waxwingferry_admission",
            "Limit, slots, in flight and queue of the target.",
            registry=self.registry,
        )
        self.latency = aioprometheus.Histogram(
            "waxwingferry_call_seconds",
            "Time from a call's head to the end of its answer.",
            registry=self.registry,
            buckets=list(LATENCY_BUCKETS_S),
        )
        self.usage_windows = aioprometheus.Gauge(
            "waxwingferry_usage_windows",
            "Windows of usage that are not confirmed, by state.",
            registry=self.registry,
        )
        self.usage_reports = self._make_counter(
            "usage_reports", "Windows of usage by how they ended."
        )
        self.duty_token = aioprometheus.Gauge(
            "waxwingferry_duty_token",
            "Newest fencing token that this node knows, by duty.",
            registry=self.registry,
        )
        self.duty_held = aioprometheus.Gauge(
            "waxwingferry_duty_held",
            "Whether this node believes that it holds the duty.",
            registry=self.registry,
        )
        self.events = self._make_counter("events", "Rare events by name.")

    def record_limited(self, listeners: str, reason: str) -> None:
        """Counts a connection or request limited for lack of room."""
        self.client_limits.inc({"listeners": listeners, "reason": reason})

    def render(self) -> tuple[bytes, list[tuple[str, str]]]:
        """Returns the metrics in Prometheus text format, and HTTP headers."""
        content, headers = aioprometheus.render(self.registry, [])
        return content, [(k.lower(), v) for k, v in headers.items()]

    def _make_counter(self, name: str, help_text: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(
            f"waxwingferry_{name}_total", help_text, registry=self.registry
        )
