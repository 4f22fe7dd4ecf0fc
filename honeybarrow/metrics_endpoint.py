"""The HTTP resource that serves the metrics to a scraper."""

from __future__ import annotations

from typing import Any

from twisted.web.resource import Resource

from honeybarrow.metrics import Metrics


class MetricsResource(Resource):
    """Serves the metrics in the Prometheus text format at every path."""

    def __init__(self, metrics: Metrics) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.isLeaf = True
        self.metrics = metrics

    def render_GET(self, request: Any) -> bytes:
        """Return the metrics."""
        request.setHeader(b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8")
        return self.metrics.render()
