"""Benchmark of address selection: endpoints with four addresses, a third of which have the same fault.

    python -m benchmarks.addresses [--messages 1000] [--rate 100] [--ways hole mute ...] [--policies ...]

One process runs the core of a forwarder (policy, connection pool, addresses), another one 50 stand-in
endpoints on IPv4, IPv6 and Unix sockets. All messages are non-idempotent; the stand-ins count the executions
of each one. Two baselines run on the same input: "sequential" tries addresses in the listed order, "racing"
always connects to two of them at once.
"""

from __future__ import annotations

import argparse
import contextlib
import functools
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from typing import Any

from twisted.internet.protocol import Factory, Protocol

from benchmarks.ordinary_path import NullLogger
from honeybarrow import mail
from honeybarrow.addressing.address import Address
from honeybarrow.addressing.address_health import AddressHealth, RankedAddress
from honeybarrow.delivery import Delivered, Forwarder, MailConnectionPool, MailPayload, PoolLimits, Submission
from honeybarrow.events import AttemptStatus, Endpoint, EndpointState, MembershipUpdate, UpdateKind
from honeybarrow.gc_tuning import reduce_gc_frequency
from honeybarrow.mail import Reply
from honeybarrow.reactor import get_reactor
from honeybarrow.settings import DestinationKind, Idempotency, MessageClass, Settings

reactor = get_reactor()
# Faults of an address: it resets connections (refuse), lets connects hang (hole), sends no greeting (mute) or
# no reply to EHLO, MAIL, RCPT or the end of data (hello, mail, data, dot), resets connections after RCPT
# (cut), refuses every other second (flap), or rejects connections with 421 (full).
FAULT_MODES = ("healthy", "refuse", "hole", "mute", "hello", "mail", "data", "dot", "cut", "flap", "full")
SERVICE_S = 0.02
OBJECTIVE_S, DEADLINE_S = 2.0, 8.0


class StandInSession(Protocol):
    """Server side of a session, with one kind of fault."""

    transport: Any = None

    def __init__(self, endpoint: StandInEndpoint, fault_mode: str) -> None:
        self.endpoint, self.fault_mode = endpoint, fault_mode
        self.session = mail.ServerSession(endpoint.name)

    def connectionMade(self) -> None:
        self.endpoint.counts["connects"] += 1
        if self.fault_mode == "flap":  # refuses connections in every other second
            self.fault_mode = "refuse" if int(time.monotonic()) % 2 else "healthy"
        if self.fault_mode == "refuse":
            self.transport.abortConnection()
        elif self.fault_mode == "full":
            self.session.refuse(Reply(421, "4.3.2", "too many connections"))
            self.transport.write(self.session.take_output())
            self.transport.loseConnection()
        elif self.fault_mode != "mute":
            self.session.greet()
            self.transport.write(self.session.take_output())

    def dataReceived(self, data: bytes) -> None:
        if self.fault_mode == "mute" or self.session.state is mail.State.CLOSED:
            return
        self.session.receive(data)
        self.process_events()

    def process_events(self) -> None:
        while (event := self.session.next_event()) is not None:
            if isinstance(event, mail.Sender):
                self.endpoint.counts["transactions"] += 1
                if self.fault_mode == "mail":
                    return
                self.session.answer(Reply(250, "2.1.0", "ok"))
            elif isinstance(event, mail.Recipient):
                if self.fault_mode == "data":
                    return
                if self.fault_mode == "cut":
                    self.transport.abortConnection()
                    return
                self.session.answer(Reply(250, "2.1.5", "ok"))
            elif isinstance(event, mail.Message):
                reactor.callLater(
                    SERVICE_S, self.finish_message, mail.read_header(event.content, "Message-ID") or ""
                )
        if (
            self.fault_mode == "hello"
            and self.session.state is not mail.State.CLOSED
            and self.session.peer_name
        ):
            return
        if self.transport is not None:
            self.transport.write(self.session.take_output())

    def finish_message(self, message_id: str) -> None:
        self.endpoint.executions[message_id] += 1
        if self.fault_mode != "dot":
            self.session.answer(Reply(250, "2.0.0", "taken"))
            self.process_events()


class StandInEndpoint:
    """Stand-in endpoint, shared by all its addresses."""

    def __init__(self, number: int) -> None:
        self.name = f"d{number}.example"
        self.executions: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()


def _make_session(endpoint: StandInEndpoint, fault_mode: str, addr: Any) -> StandInSession:
    return StandInSession(endpoint, fault_mode)


def open_full_listener(family: int, address: Any) -> list[socket.socket]:
    """Return a listener with a full backlog, and the sockets that fill it.

    Further connects hang, or fail at once on a Unix socket.
    """
    server = socket.socket(family)
    server.bind(address)
    server.listen(0)
    sockets = [server]
    for _ in range(3):
        sock = socket.socket(family)
        sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            sock.connect(server.getsockname())
        sockets.append(sock)
    return sockets


def serve(endpoints: int, fault_mode: str, folder: str) -> None:
    """Run the stand-ins until a line arrives on standard input, then print their counts as JSON."""
    stand_ins = [StandInEndpoint(number) for number in range(endpoints)]
    addresses: list[list[tuple[str, int, str]]] = []
    open_listeners: list[Any] = []
    has_ipv6 = True
    try:
        with socket.create_server(("::1", 0), family=socket.AF_INET6):
            pass
    except OSError:
        has_ipv6 = False  # IPv4 addresses are used in its place
    rng = random.Random(1)
    for number, endpoint in enumerate(stand_ins):
        row = []
        # Over three endpoints, four of twelve addresses are faulty.
        faulty = rng.sample(range(4), (1, 1, 2)[number % 3])
        for index in range(4):
            is_faulty = index in faulty
            mode = fault_mode if is_faulty else "healthy"
            host = "::1" if index == 0 and has_ipv6 else f"127.0.{index}.{1 + number % 250}"
            path = f"{folder}/{number}.sock" if index == 3 else ""
            factory = Factory()
            factory.noisy = False
            factory.buildProtocol = functools.partial(_make_session, endpoint, mode)  # type: ignore[method-assign]
            if mode == "hole":
                family = socket.AF_UNIX if path else socket.AF_INET6 if ":" in host else socket.AF_INET
                sockets = open_full_listener(family, path or (host, 0))
                open_listeners.append(sockets)
                port = 0 if path else sockets[0].getsockname()[1]
            elif path:
                open_listeners.append(reactor.listenUNIX(path, factory))
                port = 0
            else:
                open_listeners.append(reactor.listenTCP(0, factory, interface=host))
                port = open_listeners[-1].getHost().port
            row.append(("", 0, path) if path else (host, port, ""))
        addresses.append(row)
    print(json.dumps({"addresses": addresses, "has_ipv6": has_ipv6}), flush=True)

    def report_on_request() -> None:
        sys.stdin.readline()
        counts: Counter[str] = Counter()
        for endpoint in stand_ins:
            counts.update(endpoint.counts)
            counts["ran"] += len(endpoint.executions)
            counts["ran twice"] += sum(times > 1 for times in endpoint.executions.values())
        print(json.dumps(counts), flush=True)
        reactor.callFromThread(reactor.stop)

    reactor.callInThread(report_on_request)
    reactor.run()


class Sequential(AddressHealth):
    """Baseline: addresses in the listed order, without health records and connection races."""

    def rank_addresses(self, now: int, addresses: Any) -> list[RankedAddress]:
        return [RankedAddress(address, "listed") for address in addresses]

    def can_race(self, now: int, target: str) -> bool:
        return False


class Racing(Sequential):
    """Baseline: connects to two addresses at once; to a further one if a connect fails or is slow."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self.firsts: set[tuple[str, int, str]] = set()

    def rank_addresses(self, now: int, addresses: Any) -> list[RankedAddress]:
        self.firsts.add(addresses[0].spot)
        return super().rank_addresses(now, addresses)

    def can_race(self, now: int, target: str) -> bool:
        return True

    def compute_connect_delay_us(self, now: int, address: Address) -> int:
        return 1 if address.socket_key in self.firsts else super().compute_connect_delay_us(now, address)


POLICIES = {"honeybarrow": AddressHealth, "sequential": Sequential, "racing": Racing}


def run_forwarder(args: argparse.Namespace) -> None:
    """Run the forwarder's core with the messages of one measurement and print the results as JSON."""
    addresses = json.loads(sys.stdin.readline())
    rng = random.Random(args.seed)
    settings = Settings(
        classes=(
            MessageClass(
                "pay",
                int(OBJECTIVE_S * 1e6),
                int(DEADLINE_S * 1e6),
                Idempotency.NON_IDEMPOTENT,
                late_utility=0.5,
            ),
        ),
        kinds=(DestinationKind("shop"),),
        slots=200,
        max_open=5000,
        allows_retry_after=True,
        max_retry_after_us=3_000_000,
        warm_up_us=9_000_000,
    )
    health = POLICIES[args.play](random.Random(1))
    connects = Counter[str]()

    def on_connect_started(target: str) -> None:
        connects["started"] += 1

    def on_error(error: Exception) -> None:
        raise error

    pool = MailConnectionPool(
        reactor, reactor, "bench.example", PoolLimits(2, 1.0, args.idle), on_connect_started, health
    )
    addresses_by_target = {
        f"t{number}": [Address(host, port, False, path) for host, port, path in row]
        for number, row in enumerate(addresses)
    }
    core = Forwarder(
        settings,
        args.seed,
        reactor,
        lambda: time.monotonic_ns() // 1000,
        pool,
        lambda target: addresses_by_target[target],
        lambda: None,
        NullLogger(),
        on_error,
    )
    rows = tuple(
        Endpoint(target, number, EndpointState.READY, "shop")
        for number, target in enumerate(addresses_by_target)
    )
    core.apply_membership_update(MembershipUpdate(UpdateKind.FULL, 1, rows))
    latencies_s: list[float] = []
    answers: Counter[str] = Counter()
    utility = 0.0

    def on_result(result: Any, started: float) -> None:
        nonlocal utility
        answers[type(result).__name__] += 1
        latency_s = time.monotonic() - started
        if isinstance(result, Delivered):
            latencies_s.append(latency_s)
            utility += (
                1.0
                if latency_s <= OBJECTIVE_S
                else max(0.0, 1.0 - 0.5 * (latency_s - OBJECTIVE_S) / (DEADLINE_S - OBJECTIVE_S))
            )
        if answers.total() == args.messages:
            reactor.callLater(0.3, reactor.stop)

    def submit(number: int) -> None:
        destination = rng.randrange(len(addresses))
        content = f"Message-ID: <m{number}@b.example>\r\n\r\nx\r\n".encode()
        payload = MailPayload(
            mail.Path("a", "b.example"), mail.Path("pay", f"d{destination}.example"), content
        )
        done = core.submit(Submission(f"m{number}", "pay", destination, int(DEADLINE_S * 1e6), payload))
        done.addCallback(on_result, time.monotonic())
        if number + 1 < args.messages:
            reactor.callLater(rng.expovariate(args.rate), submit, number + 1)

    reactor.callWhenRunning(submit, 0)
    reduce_gc_frequency()
    reactor.run()
    latencies_s.sort()
    outcomes = core.counters.outcomes
    print(
        json.dumps(
            {
                "utility": utility / args.messages,
                "median": latencies_s[len(latencies_s) // 2] if latencies_s else 0.0,
                "p99": latencies_s[len(latencies_s) * 99 // 100] if latencies_s else 0.0,
                "connects_started": connects["started"],
                "answers": answers,
                "attempts": core.counters.attempts,
                "ambiguous": outcomes.get(AttemptStatus.TIMEOUT.value, 0)
                + outcomes.get(AttemptStatus.RESET.value, 0),
            }
        ),
        flush=True,
    )


def measure(args: argparse.Namespace, fault_mode: str, policy: str) -> dict[str, Any]:
    """Measure one policy with one kind of fault, in new processes."""
    command = [sys.executable, "-m", "benchmarks.addresses"]
    with tempfile.TemporaryDirectory() as folder:
        stand_ins = subprocess.Popen(
            [*command, "--serve", fault_mode, "--endpoints", str(args.endpoints), "--folder", folder],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert stand_ins.stdin and stand_ins.stdout
        listening = json.loads(stand_ins.stdout.readline())
        options = ["--messages", str(args.messages), "--rate", str(args.rate), "--seed", str(args.seed)]
        options += ["--idle", str(args.idle)]
        client_process = subprocess.run(
            [*command, "--play", policy, *options],
            input=json.dumps(listening["addresses"]) + "\n",
            capture_output=True,
            text=True,
            check=True,
        )
        stand_ins.stdin.write("\n")
        stand_ins.stdin.flush()
        counts = json.loads(stand_ins.stdout.readline())
        stand_ins.wait()
    return {**json.loads(client_process.stdout), **counts, "has_ipv6": listening["has_ipv6"]}


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--messages", type=int, default=1000)
    parser.add_argument("--rate", type=float, default=100.0)
    parser.add_argument("--endpoints", type=int, default=50)
    parser.add_argument(
        "--idle", type=float, default=0.5, help="seconds for which an idle connection is kept"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--ways", nargs="*", default=FAULT_MODES, choices=FAULT_MODES)
    parser.add_argument("--policies", nargs="*", default=list(POLICIES), choices=list(POLICIES))
    parser.add_argument("--serve", default="")
    parser.add_argument("--play", default="")
    parser.add_argument("--folder", default="")
    args = parser.parse_args()
    if args.serve:
        serve(args.endpoints, args.serve, args.folder)
        return
    if args.play:
        run_forwarder(args)
        return
    print(
        f"{os.cpu_count()} processors, {args.messages} non-idempotent messages per run,",
        f"{args.rate:.0f} a second,",
        end=" ",
    )
    print(
        f"{args.endpoints} endpoints with 4 addresses, a third of the addresses broken; aim {OBJECTIVE_S} s"
    )
    print("way      policy       utility delivered  median ms  p99 ms  connects/msg  attempts/msg  ran twice")
    for fault_mode in args.ways:
        for policy in args.policies:
            row = measure(args, fault_mode, policy)
            print(
                f"{fault_mode:8} {policy:12} {row['utility']:6.3f} {row['answers'].get('Delivered', 0):10}"
                f" {row['median'] * 1e3:10.1f} {row['p99'] * 1e3:7.0f}"
                f" {row['connects_started'] / args.messages:13.2f}"
                f" {row['attempts'] / args.messages:13.2f} {row['ran twice']:10}",
                flush=True,
            )
            if not row["has_ipv6"]:
                print("no IPv6 on this machine: IPv4 in its place")


if __name__ == "__main__":
    main()
