"""Tests of endpoints with several addresses, over IPv4, IPv6 and Unix sockets."""

from __future__ import annotations

import contextlib
import os
import socket
import threading
import time
from collections.abc import Callable
from pathlib import Path as FilePath

import pytest

from honeybarrow.addressing.address import Address
from honeybarrow.delivery import AttemptOutcome, MailConnectionPool, MailPayload, PoolLimits
from honeybarrow.events import AttemptStatus
from honeybarrow.mail import Path
from honeybarrow.register import EndpointAddress as ListedAddress
from honeybarrow.register import EndpointEntry, ListUpdate, Partner
from tests.helpers import FakePermit
from tests.live import (
    BlockingConnection,
    ScriptedPartner,
    accept_all_messages,
    call_in_reactor,
    forwarder,
    reactor,
    wait_until,
)

PAYLOAD = MailPayload(Path("a", "c.example"), Path("pay", "p.example"), b"Subject: x\r\n\r\nhello\r\n")


class Listener(ScriptedPartner):
    """A scripted partner on IPv6 or on a Unix socket."""

    def __init__(self, host_or_path: str | FilePath, script: Callable[[BlockingConnection], None]) -> None:
        self.scripts = (script,)
        if isinstance(host_or_path, FilePath):
            self.server = socket.socket(socket.AF_UNIX)
            self.server.bind(str(host_or_path))
            self.server.listen()
            self.address = Address(path=str(host_or_path))
        else:
            self.server = socket.create_server((host_or_path, 0), family=socket.AF_INET6)
            self.address = Address(host_or_path, self.server.getsockname()[1])
        self.connections = []
        threading.Thread(target=self._serve, daemon=True).start()


def ipv4_partner(script: Callable[[BlockingConnection], None]) -> tuple[ScriptedPartner, Address]:
    partner = ScriptedPartner(script)
    return partner, Address("127.0.0.1", partner.port)


def silent(connection: BlockingConnection) -> None:
    time.sleep(5)


def silent_after_data(connection: BlockingConnection) -> None:
    connection.greet()
    connection.accept_envelope()
    connection.read_content()
    time.sleep(5)


def make_pool(connect_timeout_s: float = 2.0) -> MailConnectionPool:
    return MailConnectionPool(reactor, reactor, "fwd.example", PoolLimits(2, connect_timeout_s, 5.0))


def call(pool: MailConnectionPool, *addresses: Address, timeout_us: int = 3_000_000) -> AttemptOutcome:
    outcome = call_in_reactor(pool.call, "t", addresses, PAYLOAD, timeout_us, FakePermit())
    assert isinstance(outcome, AttemptOutcome)
    return outcome


def has_ipv6() -> bool:
    try:
        with socket.create_server(("::1", 0), family=socket.AF_INET6):
            return True
    except OSError:
        return False


requires_ipv6 = pytest.mark.skipif(not has_ipv6(), reason="no IPv6 on the loopback interface")


@requires_ipv6
def test_address_without_a_greeting_is_abandoned_and_receives_no_data(tmp_path: FilePath) -> None:
    unresponsive, healthy = Listener(tmp_path / "p.sock", silent), Listener("::1", accept_all_messages)
    pool = make_pool()
    assert call(pool, unresponsive.address, healthy.address).status is AttemptStatus.OK
    assert len(unresponsive.connections) == 1 and len(healthy.connections) == 1
    unresponsive.connections[0].sock.settimeout(5)
    with contextlib.suppress(ConnectionError):
        assert unresponsive.connections[0].sock.recv(100) == b""  # closed without any data


def test_refused_address_is_ranked_behind_the_others() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        refused = Address("127.0.0.1", server.getsockname()[1])
    partner, healthy = ipv4_partner(accept_all_messages)
    pool = make_pool()
    assert call(pool, refused, healthy).status is AttemptStatus.OK
    assert pool.address_health.rank_addresses(pool.now_us(), [refused, healthy])[0].address == healthy


def test_missing_socket_file_is_a_failed_connect(tmp_path: FilePath) -> None:
    missing = Address(path=str(tmp_path / "none.sock"))
    _, healthy = ipv4_partner(accept_all_messages)
    assert call(make_pool(), missing, healthy).status is AttemptStatus.OK
    outcome = call(make_pool(), missing)
    assert (outcome.status, outcome.not_run) == (AttemptStatus.CONNECT_FAILED, True)


def test_replaced_socket_file_leads_to_the_new_listener(tmp_path: FilePath) -> None:
    path = tmp_path / "p.sock"
    old = Listener(path, accept_all_messages)
    pool = make_pool()
    assert call(pool, old.address).status is AttemptStatus.OK
    call_in_reactor(pool.close_all_idle)
    old.close()
    os.unlink(path)
    new = Listener(path, accept_all_messages)
    assert call(pool, new.address).status is AttemptStatus.OK and len(new.connections) == 1


@requires_ipv6
def test_no_other_address_is_tried_after_the_end_of_data(tmp_path: FilePath) -> None:
    unresponsive, healthy = (
        Listener("::1", silent_after_data),
        Listener(tmp_path / "p.sock", accept_all_messages),
    )
    first = Address(unresponsive.address.host, unresponsive.address.port, priority=0)
    second = Address(path=healthy.address.path, priority=1)
    outcome = call(make_pool(), first, second, timeout_us=700_000)
    assert (outcome.status, outcome.not_run) == (AttemptStatus.TIMEOUT, False)
    assert len(unresponsive.connections) == 1 and healthy.connections == []


def hang_after(*answers: str) -> Callable[[BlockingConnection], None]:
    """Return a script that gives these answers to commands and then sends nothing more."""

    def script(connection: BlockingConnection) -> None:
        connection.greet()
        for answer in answers:
            connection.read_line()
            connection.write_lines(answer)
        time.sleep(5)

    return script


@pytest.mark.parametrize("answers", [(), ("250 ok",), ("250 ok", "250 ok")])
def test_attempt_moves_on_if_an_address_hangs_before_the_end_of_data(answers: tuple[str, ...]) -> None:
    (unresponsive, first), (healthy, second) = (
        ipv4_partner(hang_after(*answers)),
        ipv4_partner(accept_all_messages),
    )
    pool = make_pool()
    outcome = call(pool, first, Address(second.host, second.port, priority=1), timeout_us=1_500_000)
    assert outcome.status is AttemptStatus.OK
    assert len(unresponsive.connections) == 1 and len(healthy.connections) == 1
    assert pool.address_health.get_backoff_until_us(pool.now_us(), first) > 0


def test_single_address_may_use_the_whole_time_of_the_attempt() -> None:
    def slow(connection: BlockingConnection) -> None:
        connection.greet()
        time.sleep(0.7)
        connection.accept_message()

    _, address = ipv4_partner(slow)
    assert call(make_pool(), address, timeout_us=5_000_000).status is AttemptStatus.OK


def test_removed_address_loses_its_calls_and_idle_connections() -> None:
    (old, first), (new, second) = ipv4_partner(accept_all_messages), ipv4_partner(accept_all_messages)
    pool = make_pool()
    assert call(pool, first).status is AttemptStatus.OK
    call_in_reactor(pool.update_addresses, {"t": [second]})
    assert pool.idle_by_target == {}
    assert call(pool, second).status is AttemptStatus.OK and len(new.connections) == 1
    unresponsive, third = ipv4_partner(hang_after("250 ok"))
    result = call_in_reactor(lambda: [pool.call("t", [third], PAYLOAD, 5_000_000, FakePermit())])[0]
    wait_until(lambda: len(unresponsive.connections) == 1 and bool(pool.calls_by_target))
    call_in_reactor(pool.update_addresses, {"t": [second]})
    outcome = call_in_reactor(lambda: result)
    assert (outcome.status, outcome.not_run) in {
        (AttemptStatus.CONNECT_FAILED, True),
        (AttemptStatus.RESET, True),
    }
    assert len(old.connections) == 1


def test_idle_timeout_of_the_partner_shortens_the_keep_alive() -> None:
    def close_idle_connection(connection: BlockingConnection) -> None:
        connection.greet()
        connection.accept_message()
        time.sleep(0.2)
        connection.sock.close()

    _, address = ipv4_partner(close_idle_connection)
    pool = make_pool()
    assert call(pool, address).status is AttemptStatus.OK
    wait_until(lambda: pool.address_health.compute_keep_alive_us(address, 5_000_000) < 1_000_000)
    assert pool.idle_by_target == {}


def test_connects_are_not_concurrent_after_a_failed_call() -> None:
    open_count, max_open_count = 0, 0
    lock = threading.Lock()

    def count_connections(connection: BlockingConnection) -> None:
        nonlocal open_count, max_open_count
        time.sleep(0.1)  # let the other threads notice connections that are already closed
        with lock:
            open_count += 1
            max_open_count = max(max_open_count, open_count)
        with contextlib.suppress(OSError):
            connection.sock.recv(1)
        with lock:
            open_count -= 1

    partners = [ipv4_partner(count_connections) for _ in range(3)]
    pool = make_pool(0.6)
    pool.address_health.record_call_result(pool.now_us(), "t", False)
    outcome = call(pool, *[address for _, address in partners])
    assert (outcome.status, outcome.not_run) == (AttemptStatus.CONNECT_FAILED, True)
    assert max_open_count == 1 and sum(len(partner.connections) for partner, _ in partners) >= 2


def test_retry_wait_of_one_address_applies_to_the_endpoint() -> None:
    def refuse_with_wait(connection: BlockingConnection) -> None:
        connection.write_lines("421 4.3.2 [wait=900] busy")
        connection.read_line()

    def refuse_without_wait(connection: BlockingConnection) -> None:
        connection.write_lines("421 4.3.2 too many connections")
        connection.read_line()

    busy_partner, first = ipv4_partner(refuse_with_wait)
    other, second = ipv4_partner(accept_all_messages)
    outcome = call(make_pool(), first, Address(second.host, second.port, priority=1))
    assert (outcome.status, outcome.retry_after_us) == (
        AttemptStatus.FULL,
        900_000,
    ) and other.connections == []
    _, third = ipv4_partner(refuse_without_wait)
    assert call(make_pool(), third, Address(second.host, second.port, priority=1)).status is AttemptStatus.OK


def test_attempt_fails_if_all_addresses_refuse_connections() -> None:
    refused = []
    for _ in range(4):
        with socket.create_server(("127.0.0.1", 0)) as server:
            refused.append(Address("127.0.0.1", server.getsockname()[1]))
    outcome = call(make_pool(), *refused)
    assert (outcome.status, outcome.not_run) == (AttemptStatus.CONNECT_FAILED, True)


def test_address_that_moves_to_another_partner_gets_no_messages_of_the_first() -> None:
    (shared, _), (other, _) = ipv4_partner(accept_all_messages), ipv4_partner(accept_all_messages)
    with forwarder() as live:
        live.list_partner("one.example", shared.port)
        connection = live.client()
        for _ in range(20):  # enough messages for the connection to be kept idle
            assert live.send(connection, "note@one.example").startswith("250")
        assert live.service.pool.idle_by_target
        before = len(shared.connections)
        live.version += 1
        entries = tuple(
            EndpointEntry(
                target=target,
                destination=number,
                state="ready",
                addresses=(ListedAddress(host="127.0.0.1", port=port),),
            )
            for target, number, port in (
                (f"one.example:{shared.port}", 1, other.port),
                ("two", 2, shared.port),
            )
        )
        update = ListUpdate(
            kind="changes",
            version=live.version,
            partners=(Partner(number=2, name="two.example"),),
            endpoints=entries,
        )
        call_in_reactor(lambda: live.service.handle_list_update(live.service.directory.apply(update)))
        assert live.service.pool.idle_by_target == {}
        assert live.send(connection, "note@one.example").startswith("250")
        assert len(other.connections) == 1 and len(shared.connections) == before
        assert live.send(connection, "note@two.example").startswith("250")
        assert len(shared.connections) == before + 1
        assert any(event == "address_removed" for event, _ in live.log.lines)


def test_address_in_the_network_of_another_partner_is_not_called() -> None:
    foreign_partner, _ = ipv4_partner(accept_all_messages)
    with forwarder() as live:
        live.version += 1
        update = ListUpdate(
            kind="changes",
            version=live.version,
            partners=(
                Partner(number=1, name="one.example"),
                Partner(number=2, name="two.example", networks=("127.0.0.1/32",)),
            ),
            endpoints=(
                EndpointEntry(
                    target="one",
                    destination=1,
                    state="ready",
                    addresses=(ListedAddress(host="127.0.0.1", port=foreign_partner.port),),
                ),
            ),
        )
        call_in_reactor(lambda: live.service.handle_list_update(live.service.directory.apply(update)))
        assert not live.send(live.client(), "brief@one.example").startswith("250")
        assert foreign_partner.connections == []
        reasons = [fields["reason"] for event, fields in live.log.lines if event == "address_forbidden"]
        assert reasons == ["in the network of another partner"]
