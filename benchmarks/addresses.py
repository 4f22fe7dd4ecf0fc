"""Endpoints with four addresses, a third of the addresses broken in one way: what arrives, and how soon.

    python -m benchmarks.addresses [--messages 1000] [--rate 100] [--ways hole mute ...] [--policies ...]

One forwarder core (policy, connection pool, addresses) in one process, 50 stand-in endpoints in another, on
IPv4, IPv6 and Unix sockets. All messages are non-idempotent: the stand-ins count how often each one ran.
Besides the build two baselines play the same days: addresses in the listed order one after another, and two
connects at once.
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

from benchmarks.ordinary_path import Quiet
from honeybarrow import mail
from honeybarrow.addressing.address import Address
from honeybarrow.addressing.address_health import AddressHealth, RankedAddress
from honeybarrow.delivery import Delivered, Forwarder, MailConnectionPool, MailPayload, PoolConfig, Submission
from honeybarrow.events import AttemptStatus, Endpoint, EndpointState, MembershipUpdate, UpdateKind
from honeybarrow.gc_tuning import reduce_gc_frequency
from honeybarrow.mail import Reply
from honeybarrow.reactor import get_reactor
from honeybarrow.settings import DestinationKind, Idempotency, MessageClass, Settings

reactor = get_reactor()
WAYS = ("healthy", "refuse", "hole", "mute", "hello", "mail", "data", "dot", "cut", "flap", "full")
SERVICE_S = 0.02
AIM_S, DEADLINE_S = 2.0, 8.0


class Server(Protocol):
    """A stand-in's side of a session, broken in one way."""

    transport: Any = None

    def __init__(self, stand: Stand, way: str) -> None:
        self.stand, self.way = stand, way
        self.session = mail.ServerSession(stand.name)

    def connectionMade(self) -> None:
        self.stand.counts["connects"] += 1
        if self.way == "flap":  # away in each second second
            self.way = "refuse" if int(time.monotonic()) % 2 else "healthy"
        if self.way == "refuse":
            self.transport.abortConnection()
        elif self.way == "full":
            self.session.refuse(Reply(421, "4.3.2", "too many connections"))
            self.transport.write(self.session.take_output())
            self.transport.loseConnection()
        elif self.way != "mute":
            self.session.greet()
            self.transport.write(self.session.take_output())

    def dataReceived(self, data: bytes) -> None:
        if self.way == "mute" or self.session.state is mail.State.CLOSED:
            return
        self.session.receive(data)
        self.work()

    def work(self) -> None:
        while (event := self.session.next_event()) is not None:
            if isinstance(event, mail.Sender):
                self.stand.counts["transactions"] += 1
                if self.way == "mail":
                    return
                self.session.answer(Reply(250, "2.1.0", "ok"))
            elif isinstance(event, mail.Recipient):
                if self.way == "data":
                    return
                if self.way == "cut":
                    self.transport.abortConnection()
                    return
                self.session.answer(Reply(250, "2.1.5", "ok"))
            elif isinstance(event, mail.Message):
                reactor.callLater(SERVICE_S, self.ran, mail.read_header(event.content, "Message-ID") or "")
        if self.way == "hello" and self.session.state is not mail.State.CLOSED and self.session.peer_name:
            return
        if self.transport is not None:
            self.transport.write(self.session.take_output())

    def ran(self, ident: str) -> None:
        self.stand.ran[ident] += 1
        if self.way != "dot":
            self.session.answer(Reply(250, "2.0.0", "taken"))
            self.work()


class Stand:
    """One endpoint: all its addresses lead here."""

    def __init__(self, number: int) -> None:
        self.name = f"d{number}.example"
        self.ran: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()


def _server(stand: Stand, way: str, addr: Any) -> Server:
    return Server(stand, way)


def hole(family: int, where: Any) -> list[socket.socket]:
    """A listener whose queue is full: further connects hang, or on a Unix socket fail at once."""
    server = socket.socket(family)
    server.bind(where)
    server.listen(0)
    kept = [server]
    for _ in range(3):
        sock = socket.socket(family)
        sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            sock.connect(server.getsockname())
        kept.append(sock)
    return kept


def serve(endpoints: int, way: str, folder: str) -> None:
    """The stand-ins, until standard input says so; then what ran."""
    stands = [Stand(number) for number in range(endpoints)]
    places: list[list[tuple[str, int, str]]] = []
    kept: list[Any] = []
    six = True
    try:
        with socket.create_server(("::1", 0), family=socket.AF_INET6):
            pass
    except OSError:
        six = False  # no IPv6 on this machine: IPv4 in its place, and the report says so
    rng = random.Random(1)
    for number, stand in enumerate(stands):
        row = []
        # a third of all: four of twelve over three endpoints, anywhere, and never all of one
        sick = rng.sample(range(4), (1, 1, 2)[number % 3])
        for place in range(4):
            broken = place in sick
            here = way if broken else "healthy"
            host = "::1" if place == 0 and six else f"127.0.{place}.{1 + number % 250}"
            path = f"{folder}/{number}.sock" if place == 3 else ""
            factory = Factory()
            factory.noisy = False
            factory.buildProtocol = functools.partial(_server, stand, here)  # type: ignore[method-assign]
            if here == "hole":
                family = socket.AF_UNIX if path else socket.AF_INET6 if ":" in host else socket.AF_INET
                socks = hole(family, path or (host, 0))
                kept.append(socks)
                port = 0 if path else socks[0].getsockname()[1]
            elif path:
                kept.append(reactor.listenUNIX(path, factory))
                port = 0
            else:
                kept.append(reactor.listenTCP(0, factory, interface=host))
                port = kept[-1].getHost().port
            row.append(("", 0, path) if path else (host, port, ""))
        places.append(row)
    print(json.dumps({"places": places, "six": six}), flush=True)

    def tell() -> None:
        sys.stdin.readline()
        counts: Counter[str] = Counter()
        for stand in stands:
            counts.update(stand.counts)
            counts["ran"] += len(stand.ran)
            counts["ran twice"] += sum(times > 1 for times in stand.ran.values())
        print(json.dumps(counts), flush=True)
        reactor.callFromThread(reactor.stop)

    reactor.callInThread(tell)
    reactor.run()


class Sequential(AddressHealth):
    """A baseline: the listed order, no memory, never two connects at once."""

    def rank_addresses(self, now: int, addresses: Any) -> list[RankedAddress]:
        return [RankedAddress(address, "listed") for address in addresses]

    def can_race(self, now: int, target: str) -> bool:
        return False


class Racing(Sequential):
    """A baseline: two connects at once, always; each further one when one of them has failed or is slow."""

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


def play(args: argparse.Namespace) -> None:
    """One day: the forwarder's core, its messages, and what came of them as JSON."""
    places = json.loads(sys.stdin.readline())
    rng = random.Random(args.seed)
    settings = Settings(
        classes=(
            MessageClass(
                "pay", int(AIM_S * 1e6), int(DEADLINE_S * 1e6), Idempotency.NON_IDEMPOTENT, late_utility=0.5
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

    def opened(target: str) -> None:
        connects["begun"] += 1

    def failed(error: Exception) -> None:
        raise error

    pool = MailConnectionPool(
        reactor, reactor, "bench.example", PoolConfig(2, 1.0, args.idle), opened, health
    )
    found = {
        f"t{number}": [Address(host, port, False, path) for host, port, path in row]
        for number, row in enumerate(places)
    }
    core = Forwarder(
        settings,
        args.seed,
        reactor,
        lambda: time.monotonic_ns() // 1000,
        pool,
        lambda target: found[target],
        lambda: None,
        Quiet(),
        failed,
    )
    rows = tuple(Endpoint(target, number, EndpointState.READY, "shop") for number, target in enumerate(found))
    core.apply_membership_update(MembershipUpdate(UpdateKind.FULL, 1, rows))
    took: list[float] = []
    answers: Counter[str] = Counter()
    utility = 0.0

    def on_result(result: Any, started: float) -> None:
        nonlocal utility
        answers[type(result).__name__] += 1
        passed = time.monotonic() - started
        if isinstance(result, Delivered):
            took.append(passed)
            utility += (
                1.0 if passed <= AIM_S else max(0.0, 1.0 - 0.5 * (passed - AIM_S) / (DEADLINE_S - AIM_S))
            )
        if answers.total() == args.messages:
            reactor.callLater(0.3, reactor.stop)

    def submit(number: int) -> None:
        where = rng.randrange(len(places))
        content = f"Message-ID: <m{number}@b.example>\r\n\r\nx\r\n".encode()
        payload = MailPayload(mail.Path("a", "b.example"), mail.Path("pay", f"d{where}.example"), content)
        done = core.submit(Submission(f"m{number}", "pay", where, int(DEADLINE_S * 1e6), payload))
        done.addCallback(on_result, time.monotonic())
        if number + 1 < args.messages:
            reactor.callLater(rng.expovariate(args.rate), submit, number + 1)

    reactor.callWhenRunning(submit, 0)
    reduce_gc_frequency()
    reactor.run()
    took.sort()
    outcomes = core.counters.outcomes
    print(
        json.dumps(
            {
                "utility": utility / args.messages,
                "median": took[len(took) // 2] if took else 0.0,
                "p99": took[len(took) * 99 // 100] if took else 0.0,
                "begun": connects["begun"],
                "answers": answers,
                "attempts": core.counters.attempts,
                "ambiguous": outcomes.get(AttemptStatus.TIMEOUT.value, 0)
                + outcomes.get(AttemptStatus.RESET.value, 0),
            }
        ),
        flush=True,
    )


def measure(args: argparse.Namespace, way: str, policy: str) -> dict[str, Any]:
    """One policy on one day, in processes of their own."""
    command = [sys.executable, "-m", "benchmarks.addresses"]
    with tempfile.TemporaryDirectory() as folder:
        stands = subprocess.Popen(
            [*command, "--serve", way, "--endpoints", str(args.endpoints), "--folder", folder],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert stands.stdin and stands.stdout
        listening = json.loads(stands.stdout.readline())
        more = ["--messages", str(args.messages), "--rate", str(args.rate), "--seed", str(args.seed)]
        more += ["--idle", str(args.idle)]
        player = subprocess.run(
            [*command, "--play", policy, *more],
            input=json.dumps(listening["places"]) + "\n",
            capture_output=True,
            text=True,
            check=True,
        )
        stands.stdin.write("\n")
        stands.stdin.flush()
        counts = json.loads(stands.stdout.readline())
        stands.wait()
    return {**json.loads(player.stdout), **counts, "six": listening["six"]}


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--messages", type=int, default=1000)
    parser.add_argument("--rate", type=float, default=100.0)
    parser.add_argument("--endpoints", type=int, default=50)
    parser.add_argument("--idle", type=float, default=0.5, help="seconds for which a connection is kept")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--ways", nargs="*", default=WAYS, choices=WAYS)
    parser.add_argument("--policies", nargs="*", default=list(POLICIES), choices=list(POLICIES))
    parser.add_argument("--serve", default="")
    parser.add_argument("--play", default="")
    parser.add_argument("--folder", default="")
    args = parser.parse_args()
    if args.serve:
        serve(args.endpoints, args.serve, args.folder)
        return
    if args.play:
        play(args)
        return
    print(
        f"{os.cpu_count()} processors, {args.messages} non-idempotent messages a day,",
        f"{args.rate:.0f} a second,",
        end=" ",
    )
    print(f"{args.endpoints} endpoints with 4 addresses, a third of the addresses broken; aim {AIM_S} s")
    print("way      policy       utility delivered  median ms  p99 ms  connects/msg  attempts/msg  ran twice")
    for way in args.ways:
        for policy in args.policies:
            got = measure(args, way, policy)
            print(
                f"{way:8} {policy:12} {got['utility']:6.3f} {got['answers'].get('Delivered', 0):10}"
                f" {got['median'] * 1e3:10.1f} {got['p99'] * 1e3:7.0f} {got['begun'] / args.messages:13.2f}"
                f" {got['attempts'] / args.messages:13.2f} {got['ran twice']:10}",
                flush=True,
            )
            if not got["six"]:
                print("no IPv6 on this machine: IPv4 in its place")


if __name__ == "__main__":
    main()
