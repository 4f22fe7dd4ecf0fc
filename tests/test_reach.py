"""Endpoints with several addresses, over loopback sockets of each kind, some of them broken."""

from __future__ import annotations

import contextlib
import os
import socket
import threading
import time
from collections.abc import Callable
from pathlib import Path as File

from honeybarrow.addresses import Address
from honeybarrow.forward import Outcome, Parcel, Pool, PoolLimits
from honeybarrow.interface import Status
from honeybarrow.mail import Path
from tests.live import ScriptedPartner, Wire, always, in_reactor, reactor

PARCEL = Parcel(Path("a", "c.example"), Path("pay", "p.example"), b"Subject: x\r\n\r\nhello\r\n")


class Listener(ScriptedPartner):
    """A scripted partner on IPv6 or on a Unix socket."""

    def __init__(self, where: str | File, script: Callable[[Wire], None]) -> None:
        self.scripts = (script,)
        if isinstance(where, File):
            self.server = socket.socket(socket.AF_UNIX)
            self.server.bind(str(where))
            self.server.listen()
            self.address = Address(path=str(where))
        else:
            self.server = socket.create_server((where, 0), family=socket.AF_INET6)
            self.address = Address(where, self.server.getsockname()[1])
        self.wires = []
        threading.Thread(target=self._serve, daemon=True).start()


def four(script: Callable[[Wire], None]) -> tuple[ScriptedPartner, Address]:
    partner = ScriptedPartner(script)
    return partner, Address("127.0.0.1", partner.port)


def mute(wire: Wire) -> None:
    time.sleep(5)


def mute_after_dot(wire: Wire) -> None:
    wire.greet()
    wire.envelope()
    wire.content()
    time.sleep(5)


def pool(connect_timeout_s: float = 2.0) -> Pool:
    return Pool(reactor, reactor, "fwd.example", PoolLimits(2, connect_timeout_s, 5.0))


def call(the_pool: Pool, *places: Address, timeout_us: int = 3_000_000) -> Outcome:
    outcome = in_reactor(the_pool.call, "t", places, PARCEL, timeout_us)
    assert isinstance(outcome, Outcome)
    return outcome


def test_an_address_that_accepts_and_hangs_is_passed_by_and_gets_no_octet(tmp_path: File) -> None:
    hung, well = Listener(tmp_path / "p.sock", mute), Listener("::1", always)
    the_pool = pool()
    assert call(the_pool, hung.address, well.address).status is Status.OK
    assert len(hung.wires) == 1 and len(well.wires) == 1
    hung.wires[0].sock.settimeout(5)
    with contextlib.suppress(ConnectionError):
        assert hung.wires[0].sock.recv(100) == b""  # closed before a word was written


def test_a_refused_connect_moves_on_at_once_and_is_remembered() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        dead = Address("127.0.0.1", server.getsockname()[1])
    partner, well = four(always)
    the_pool = pool()
    assert call(the_pool, dead, well).status is Status.OK
    assert the_pool.book.order(the_pool.now_us(), [dead, well])[0].address == well


def test_a_missing_and_a_forbidden_socket_file_are_failed_connects(tmp_path: File) -> None:
    missing = Address(path=str(tmp_path / "none.sock"))
    _, well = four(always)
    assert call(pool(), missing, well).status is Status.OK
    outcome = call(pool(), missing)
    assert (outcome.status, outcome.not_run) == (Status.CONNECT_FAILED, True)


def test_a_socket_file_that_is_replaced_leads_to_the_new_one(tmp_path: File) -> None:
    path = tmp_path / "p.sock"
    old = Listener(path, always)
    the_pool = pool()
    assert call(the_pool, old.address).status is Status.OK
    in_reactor(the_pool.close_all)
    old.close()
    os.unlink(path)
    new = Listener(path, always)
    assert call(the_pool, new.address).status is Status.OK and len(new.wires) == 1


def test_after_the_end_of_data_no_other_address_is_tried(tmp_path: File) -> None:
    hung, well = Listener("::1", mute_after_dot), Listener(tmp_path / "p.sock", always)
    first = Address(hung.address.host, hung.address.port, priority=0)
    second = Address(path=well.address.path, priority=1)
    outcome = call(pool(), first, second, timeout_us=700_000)
    assert (outcome.status, outcome.not_run) == (Status.TIMEOUT, False)
    assert len(hung.wires) == 1 and well.wires == []


def test_no_second_connect_beside_the_first_where_the_last_call_failed() -> None:
    out, most = 0, 0
    lock = threading.Lock()

    def counting(wire: Wire) -> None:
        nonlocal out, most
        time.sleep(0.1)  # what was closed before this connect is seen to be closed by now
        with lock:
            out += 1
            most = max(most, out)
        with contextlib.suppress(OSError):
            wire.sock.recv(1)
        with lock:
            out -= 1

    partners = [four(counting) for _ in range(3)]
    the_pool = pool(0.6)
    the_pool.failed_last["t"] = None
    outcome = call(the_pool, *[address for _, address in partners])
    assert (outcome.status, outcome.not_run) == (Status.CONNECT_FAILED, True)
    assert most == 1 and sum(len(partner.wires) for partner, _ in partners) >= 2


def test_a_wait_told_at_one_address_binds_its_siblings() -> None:
    def busy(wire: Wire) -> None:
        wire.say("421 4.3.2 [wait=900] busy")
        wire.line()

    def full(wire: Wire) -> None:
        wire.say("421 4.3.2 too many connections")
        wire.line()

    told, first = four(busy)
    other, second = four(always)
    outcome = call(pool(), first, Address(second.host, second.port, priority=1))
    assert (outcome.status, outcome.wait_us) == (Status.FULL, 900_000) and other.wires == []
    _, crowded = four(full)
    assert call(pool(), crowded, Address(second.host, second.port, priority=1)).status is Status.OK


def test_all_addresses_fail_at_once() -> None:
    dead = []
    for _ in range(4):
        with socket.create_server(("127.0.0.1", 0)) as server:
            dead.append(Address("127.0.0.1", server.getsockname()[1]))
    outcome = call(pool(), *dead)
    assert (outcome.status, outcome.not_run) == (Status.CONNECT_FAILED, True)
