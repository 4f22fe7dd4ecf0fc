"""Client of the discovery service: a long-lived watch of the endpoint list.

The platform requires a change to be applied within 6 s, even if the watch has silently stopped. A missing
heartbeat therefore reopens the watch at once, from the current version. If the new watch fails as well, the
policy is notified and decides when to subscribe again. At most one watch is open.

After a failed, rejected or timed-out request, a change must be applied within 6 s of discovery being
reachable. The worst case is a request that begins just before that: ``RESPONSE_TIMEOUT_S``, plus the policy's
longest backoff, plus the response time of the next request.

On one watch the version of the list only grows. An item at or below the version of an earlier one is a copy:
it is ignored, is no sign that discovery works, and makes the client ask for the whole list on a new one.
The first item is applied whatever its version, since nothing on its connection precedes it.

Whether calls may follow the list meanwhile is decided by :mod:`honeybarrow.node.list_validity`.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from twisted.internet import error
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from honeybarrow import http
from honeybarrow.delivery import Connector
from honeybarrow.errors import format_error
from honeybarrow.events import MembershipUpdate, UpdateKind
from honeybarrow.node.endpoint_list import MAX_ITEM_BYTES, EndpointList, EndpointListError, WatchReader
from honeybarrow.node.list_validity import CallEnding, ListValidity
from honeybarrow.node.sockets import write_now
from honeybarrow.ports import Clock, DelayedCall, Network

HEARTBEAT_INTERVAL_S = 2.0  # between empty lines of an unchanged list, defined by the platform's protocol
WATCH_TIMEOUT_S = 1.3 * HEARTBEAT_INTERVAL_S  # without an item or a heartbeat
RESPONSE_TIMEOUT_S = 2.2  # from the connect to the response head; two of these fit into 6 s
MIN_RESYNC_INTERVAL_S = 2.0  # between requests of the whole list after items that were not new
MAX_SHED_DELAY_S = RESPONSE_TIMEOUT_S / 2  # limit of the settings' connect timeout, in its use here
_UNREACHED_ERRORS = (error.TimeoutError, error.NoRouteError, error.TCPTimedOutError)
log = logging.getLogger("honeybarrow.node")


class _Watch(Protocol):
    """Connection that carries one watch."""

    transport: Any = None

    def __init__(self, discovery: Discovery, host: str, version: int | None) -> None:
        self.discovery, self.host, self.version = discovery, host, version
        self.reader = http.ResponseReader()
        self.items = WatchReader(discovery.max_item_bytes)
        self.is_closed = False
        self.has_answered = False  # the response head has been received
        self.has_told = False  # an item or a heartbeat has been received
        self.requested_at_s = 0.0
        self.newest_version: int | None = None  # of the items received on this watch

    def connectionMade(self) -> None:
        """Request the watch, starting from the current version."""
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
        """Parse the response and forward its items."""
        for event in self.reader.receive(data):
            if self.is_closed:
                return
            match event:
                case http.Head(status) if status != 200:
                    reason = f"discovery responded with status {status}, expected 200"
                    self.discovery.on_watch_failed(self, reason, self._classify_rejection())
                case http.Head():
                    self.discovery.on_watch_activity(self)
                case http.Data(part):
                    self._receive_items(part)
                case http.Complete() | http.InvalidResponse():
                    reason = "the response of the watch ended or is invalid"
                    self.discovery.on_watch_failed(self, reason, CallEnding.BROKEN)

    def _classify_rejection(self) -> CallEnding:
        delay_s = self.discovery.clock.seconds() - self.requested_at_s
        return CallEnding.SHED if delay_s <= self.discovery.max_shed_delay_s else CallEnding.REJECTED

    def _receive_items(self, part: bytes) -> None:
        heartbeats_before = self.items.heartbeat_count
        try:
            updates = self.items.receive(part)
        except EndpointListError as invalid:
            self.discovery.on_watch_failed(self, format_error(invalid), CallEnding.BROKEN)
            return
        news = [update for update in updates if self._is_news(update)]
        # Only whole new items and heartbeats count, so a watch that trickles bytes still times out.
        is_active = bool(news) or self.items.heartbeat_count > heartbeats_before
        if is_active:
            self.has_told = True
            self.discovery.on_watch_activity(self)
        for update in news:
            if not self.is_closed:
                self.discovery.on_watch_item(update)
        # Confirmed after the updates, so that held calls use the new list.
        if is_active:
            self.discovery.on_list_confirmed()
        if len(news) < len(updates):
            self.discovery.on_repeated_item(self)

    def _is_news(self, update: EndpointList) -> bool:
        """Return whether an item is newer than the items before it on this watch."""
        is_news = self.newest_version is None or update.version > self.newest_version
        if is_news:
            self.newest_version = update.version
        return is_news

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report the loss of the watch, or that it could not be opened."""
        ending = CallEnding.BROKEN if self.transport is not None else _classify_connect_failure(reason)
        self.discovery.on_watch_failed(self, reason.getErrorMessage(), ending)


def _classify_connect_failure(reason: Failure) -> CallEnding:
    if isinstance(reason.value, error.ConnectionRefusedError):
        return CallEnding.REFUSED
    return CallEnding.UNREACHED if isinstance(reason.value, _UNREACHED_ERRORS) else CallEnding.LOCAL_ERROR


class Discovery:
    """Client of the discovery service.

    ``version`` is that of the current list, or ``None`` without one. ``on_update`` receives each item of the
    list. ``on_failure`` receives an event for the policy when the watch fails. ``on_outdated`` receives
    ``True`` when the list becomes outdated and ``False`` when it is confirmed again. ``max_item_bytes``
    limits each item. ``is_pushed`` tells that the platform pushes lists. ``connect_timeout_s`` is the time
    after which the platform's settings count a peer as unreachable: an error status that comes sooner is not
    the report of a gateway about an unreachable discovery.
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
        max_item_bytes: int = MAX_ITEM_BYTES,
        is_pushed: bool = False,
        connect_timeout_s: float = RESPONSE_TIMEOUT_S,
    ) -> None:
        self.max_item_bytes = max_item_bytes
        self.max_shed_delay_s = min(connect_timeout_s, MAX_SHED_DELAY_S)
        self.network, self.clock, self.address = network, clock, address
        self.version = version
        self._on_update, self._on_failure, self._on_outdated = on_update, on_failure, on_outdated
        self._watch: _Watch | None = None
        self._timer: DelayedCall | None = None
        self._is_subscribed = False
        self._next_resync_s = clock.seconds()
        self._resync_timer: DelayedCall | None = None
        self.is_outdated = False  # the current list may lack changes that must be applied by now
        self._is_retry_awaited = False  # the policy will subscribe again after a failure
        self._validity = ListValidity(clock.seconds(), is_pushed)
        self._validity_timer: DelayedCall | None = None

    def subscribe(self) -> None:
        """Open a watch, unless one is open."""
        self._is_subscribed, self._is_retry_awaited = True, False
        self._check_validity()
        if self._watch is None:
            self._open_watch(self.version)

    def change_address(self, address: tuple[str, int]) -> None:
        """Reopen the watch at another address, starting from the current version."""
        if address == self.address:
            return
        self.address = address
        self._validity.on_address_changed(self.clock.seconds())
        self._check_validity()
        self.close()
        if self._is_subscribed:
            self._open_watch(self.version)

    def close(self) -> None:
        """End the watch."""
        watch, self._watch = self._watch, None
        self._set_timer(None)
        if watch is not None:
            watch.is_closed = True
            if watch.transport is not None:
                watch.transport.abortConnection()

    def _open_watch(self, version: int | None) -> None:
        """Open a watch for what changes after ``version``, or for the whole list."""
        host, port = self.address
        self._watch = watch = _Watch(self, host, version)
        self._set_timer(RESPONSE_TIMEOUT_S)
        self.network.connectTCP(host, port, Connector(watch), timeout=RESPONSE_TIMEOUT_S)

    def _set_timer(self, seconds: float | None) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        if seconds is not None:
            self._timer = self.clock.callLater(seconds, self._on_watch_timeout, self._watch)

    def _on_watch_timeout(self, watch: _Watch) -> None:
        if not watch.has_answered:
            ending = CallEnding.UNREACHED if watch.transport is None else CallEnding.UNANSWERED
            self.on_watch_failed(watch, f"no response within {RESPONSE_TIMEOUT_S} s", ending)
            return
        # Reopened at once; with the policy's backoff the list could exceed its maximum age.
        log.info("watch_timeout reopening=True")
        self._record_silence(watch)
        self.close()
        self._open_watch(self.version)

    def _record_silence(self, watch: _Watch) -> None:
        if watch.has_told:
            self._validity.on_watch_silent()
        else:
            self._validity.on_call_ended(CallEnding.UNANSWERED)
        self._check_validity()

    def on_repeated_item(self, watch: _Watch) -> None:
        """Ask for the whole list after an item that is not new, at a limited rate."""
        if watch is not self._watch or self._resync_timer is not None:
            return
        delay_s = max(0.0, self._next_resync_s - self.clock.seconds())
        log.info("watch_item_repeated version=%s resync_in_s=%.1f", self.version, delay_s)
        self._resync_timer = self.clock.callLater(delay_s, self._resync)

    def _resync(self) -> None:
        """Request the whole list on a new connection, unless there is no watch to replace."""
        self._resync_timer = None
        self._next_resync_s = self.clock.seconds() + MIN_RESYNC_INTERVAL_S
        if self._watch is not None:
            self._record_silence(self._watch)
            self.close()
            self._open_watch(None)

    def on_watch_activity(self, watch: _Watch) -> None:
        """Restart the watch timeout after a response head, an item or a heartbeat."""
        if watch is self._watch:
            watch.has_answered = True
            self._set_timer(WATCH_TIMEOUT_S)

    def on_list_confirmed(self) -> None:
        """Restart the age of the list after an item or a heartbeat."""
        self._validity.on_confirmed(self.clock.seconds())
        self._check_validity()

    def _check_validity(self) -> None:
        """Report a change of whether the list is outdated, and check again when it becomes outdated."""
        if self._validity_timer is not None and self._validity_timer.active():
            self._validity_timer.cancel()
        self._validity_timer = None
        now_s = self.clock.seconds()
        next_change_s = self._validity.next_change_s(now_s)
        if next_change_s is not None:
            self._validity_timer = self.clock.callLater(next_change_s - now_s, self._check_validity)
        is_outdated = not self._validity.allows_calls(now_s)
        if is_outdated is not self.is_outdated:
            self.is_outdated = is_outdated
            self._on_outdated(is_outdated)

    def on_watch_item(self, update: EndpointList) -> None:
        """Record the version of an item and forward the item."""
        self.version = update.version
        self._on_update(update)

    def on_watch_failed(self, watch: _Watch, reason: str, ending: CallEnding) -> None:
        """Close a failed watch and report the failure, unless the policy is about to subscribe anyway."""
        if watch is not self._watch:
            return
        if watch.has_told:
            self._validity.on_watch_ended()
        else:
            self._validity.on_call_ended(ending)
        log.info("watch_failed reason=%r end=%s state=%s", reason, ending.value, self._validity.state.value)
        self._check_validity()
        self.close()
        if not self._is_retry_awaited:
            self._is_retry_awaited = True
            self._on_failure(MembershipUpdate(UpdateKind.FAILED, self.version or 0))
