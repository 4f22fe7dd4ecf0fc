"""The delivery policy: a deterministic state machine that decides when and where each message is sent.

The package uses the standard library only, performs no I/O and reads no clock. The entry point is
:class:`honeybarrow.policy.sender.Sender`, which takes events and returns actions. The modules:

* ``sender``: dispatch of events, and the timer that wakes the policy.
* ``lifecycle``: arrival, attempt outcomes, retries and the final result of each message.
* ``admission``: selection of the next message to send and of its endpoint.
* ``endpoint_health``: outage detection, slow start, timeouts and idle connections.
* ``rate_limit``: the adaptive rate limiter of each scope.
* ``backoff``: retry schedule and the latest start of an attempt.
* ``membership``: changes to the endpoint list.
"""
