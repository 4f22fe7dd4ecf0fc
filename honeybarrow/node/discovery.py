"""The watch at discovery: opened when the policy subscribes, and opened anew when it falls silent.

A change that a silent watch misses counts as known 6 s after the silence began, whether it came or not. So
silence is noticed at the first missing heartbeat, and a new watch is opened at once from the version held.
Only if that one fails, the policy is notified, and decides when to ask again. There is one watch at a time.

After a call that failed, was refused or timed out, a change counts as known 6 s after discovery had it and
could be reached. In the worst case discovery can be reached just after a call has begun that gets no answer:
that call times out after ``ANSWER_TIMEOUT_S``, then comes the policy's longest delay, then the answer to the
next call.

A discovery that is overloaded sheds calls for longer than that, though it can be reached. So the list is
outdated once such refusals have come and no sign of life for ``MAX_LIST_AGE_S``. It is not while discovery is
down, when no change counts as known.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from honeybarrow import http
from honeybarrow.delivery import Connector
from honeybarrow.errors import format_error
from honeybarrow.events import MembershipUpdate, UpdateKind
from honeybarrow.node.endpoint_list import EndpointList, EndpointListError, WatchReader
from honeybarrow.node.sockets import write_now
from honeybarrow.ports import Clock, DelayedCall, Network

HEARTBEAT_INTERVAL_S = 2.0  # between empty lines while nothing changes, by the platform's protocol
WATCH_TIMEOUT_S = 1.3 * HEARTBEAT_INTERVAL_S  # without an item or an empty line; a wrong guess costs one call
ANSWER_TIMEOUT_S = 2.2  # from the connect to the head of the answer: two fit in the 6 s
MAX_LIST_AGE_S = 5.9  # since the last item or heartbeat; a change after that counts as known at 6 s
MAX_LIST_AGE_AFTER_MOVE_S = 3.9  # since a reload with another address, or the start: known at 4 s
# From the request to the head: overload is shed at once, a gateway to a discovery that is down takes 2 s.
MAX_REFUSAL_DELAY_S = 1.0
log = logging.getLogger("honeybarrow.node")


class _Watch(Protocol):
    """A connection that carries one watch."""

    transport: Any = None

    def __init__(self, discovery: Discovery, host: str, version: int | None) -> None:
        self.discovery, self.host, self.version = discovery, host, version
        self.reader = http.ResponseReader()
        self.items = WatchReader()
        self.is_closed = False
        self.has_answered = False  # the head of the answer has come
        self.requested_at_s = 0.0

    def connectionMade(self) -> None:
        """Ask for the watch, from the version held."""
        if self.is_closed:
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        since = "" if self.version is None else f"&index={self.version}"
        request = http.encode_request("GET", f"/discovery/hosts?stream=1{since}", f"Host: {self.host}\r\n")
        try:
            write_now(self.transport, request)
        except OSError:
            self.transport.abortConnection()
        self.requested_at_s = self.discovery.clock.seconds()

    def dataReceived(self, data: bytes) -> None:
        """Read the answer and pass its items on."""
        for event in self.reader.receive(data):
            if self.is_closed:
                return
            match event:
                case http.Head(status) if status != 200:
                    self.discovery.on_watch_refused(self)
                    self.discovery.on_watch_failed(self, f"discovery answers {status}")
                case http.Head():
                    self.discovery.on_watch_activity(self)
                case http.Data(part):
                    self._receive_items(part)
                case http.Complete() | http.InvalidResponse():
                    self.discovery.on_watch_failed(self, "the watch has ended")

    def _receive_items(self, part: bytes) -> None:
        before = self.items.sign_of_life_count
        try:
            updates = self.items.receive(part)
        except EndpointListError as error:
            self.discovery.on_watch_failed(self, format_error(error))
            return
        # Danger: by bytes alone, a watch that trickles them without ending an item would look alive.
        if self.items.sign_of_life_count > before:
            self.discovery.on_watch_activity(self)
        for update in updates:
            if not self.is_closed:
                self.discovery.on_watch_item(update)
        # After the items, so that calls that were held go by them.
        if self.items.sign_of_life_count > before:
            self.discovery.on_list_confirmed()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report the loss of the watch."""
        self.discovery.on_watch_failed(self, reason.getErrorMessage())


class Discovery:
    """The client of discovery.

    ``version``: of the list held, if there is one; ``on_update`` gets each item, ``on_failure`` an event for
    the policy when the watch has failed, ``on_outdated`` whether the list held has become outdated (True) or
    is confirmed again (False).
    """

    def __init__(
        self,
        network: Network,
        clock: Clock,
        address: tuple[str, int],
        version: int | None,
        on_update: Callable[[EndpointList], None],
        on_failure: Callable[[MembershipUpdate], None],
        on_outdated: Callable[[bool], None] = lambda is_outdated: None,
    ) -> None:
        self.network, self.clock, self.address = network, clock, address
        self.version = version
        self._on_update, self._on_failure, self._on_outdated = on_update, on_failure, on_outdated
        self._watch: _Watch | None = None
        self._timer: DelayedCall | None = None
        self._is_subscribed = False  # the policy wants updates
        self.is_outdated = False  # the list held may miss changes that count as known
        self._outdated_at_s = clock.seconds() + MAX_LIST_AGE_AFTER_MOVE_S
        self._outdated_timer: DelayedCall | None = None  # once discovery has refused, until a sign of life

    def subscribe(self) -> None:
        """Open a watch, unless one is open."""
        self._is_subscribed = True
        if self._watch is None:
            self._open_watch()

    def change_address(self, address: tuple[str, int]) -> None:
        """Watch at another address from now on, at once and from the version held."""
        if address == self.address:
            return
        self.address = address
        self._outdated_at_s = min(self._outdated_at_s, self.clock.seconds() + MAX_LIST_AGE_AFTER_MOVE_S)
        if self._outdated_timer is not None:
            self._set_outdated_timer()
        self.close()
        if self._is_subscribed:
            self._open_watch()

    def close(self) -> None:
        """End the watch."""
        watch, self._watch = self._watch, None
        self._set_timer(None)
        if watch is not None:
            watch.is_closed = True
            if watch.transport is not None:
                watch.transport.abortConnection()

    def _open_watch(self) -> None:
        host, port = self.address
        self._watch = watch = _Watch(self, host, self.version)
        self._set_timer(ANSWER_TIMEOUT_S)
        self.network.connectTCP(host, port, Connector(watch), timeout=ANSWER_TIMEOUT_S)

    def _set_timer(self, seconds: float | None) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        if seconds is not None:
            self._timer = self.clock.callLater(seconds, self._on_watch_timeout, self._watch)

    def _on_watch_timeout(self, watch: _Watch) -> None:
        if not watch.has_answered:
            self.on_watch_failed(watch, "no answer")
            return
        # Danger: by the policy's delays, which grow, the list would get older than is allowed.
        log.info("watch_timeout reopening=True")
        self.close()
        self._open_watch()

    def on_watch_activity(self, watch: _Watch) -> None:
        """Restart the timeout: the head of the answer, an item or a heartbeat has come."""
        if watch is self._watch:
            watch.has_answered = True
            self._set_timer(WATCH_TIMEOUT_S)

    def on_watch_refused(self, watch: _Watch) -> None:
        """Note an answer that is no list; from one that came at once on, the age of the list counts."""
        is_quick = self.clock.seconds() - watch.requested_at_s <= MAX_REFUSAL_DELAY_S
        if watch is self._watch and is_quick and self._outdated_timer is None:
            self._set_outdated_timer()

    def _set_outdated_timer(self) -> None:
        self._cancel_outdated_timer()
        delay_s = max(0.0, self._outdated_at_s - self.clock.seconds())
        self._outdated_timer = self.clock.callLater(delay_s, self._set_outdated, True)

    def _cancel_outdated_timer(self) -> None:
        if self._outdated_timer is not None and self._outdated_timer.active():
            self._outdated_timer.cancel()
        self._outdated_timer = None

    def _set_outdated(self, is_outdated: bool) -> None:
        if is_outdated is not self.is_outdated:
            self.is_outdated = is_outdated
            self._on_outdated(is_outdated)

    def on_list_confirmed(self) -> None:
        """Count the list's age from now: an item was taken, or a heartbeat has come."""
        self._outdated_at_s = self.clock.seconds() + MAX_LIST_AGE_S
        self._cancel_outdated_timer()
        self._set_outdated(False)

    def on_watch_item(self, update: EndpointList) -> None:
        """Take the version of an item and pass it on."""
        self.version = update.version
        self._on_update(update)

    def on_watch_failed(self, watch: _Watch, reason: str) -> None:
        """Close a watch that has failed, and report that."""
        if watch is not self._watch:
            return
        log.info("watch_failed reason=%r", reason)
        self.close()
        self._on_failure(MembershipUpdate(UpdateKind.FAILED, self.version or 0))
