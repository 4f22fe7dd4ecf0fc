"""Messages a second and CPU a message on the ordinary path, beside a bare relay without decisions.

Both run in one process each, one after the other, against the same stand-in partner and load, in the
same run; figures of different machines or runs should be compared by their ratio alone.

    python -m benchmarks.ordinary_path [--messages 4000] [--connections 20] [--destinations 20]
"""

from __future__ import annotations

import argparse
import json
import os
import resource
import subprocess
import sys
import time
from typing import Any

from opentelemetry.sdk.trace.export import BatchSpanProcessor, ConsoleSpanExporter
from twisted.internet.protocol import ClientFactory, Factory, Protocol

from honeybarrow import config, mail
from honeybarrow.addressing.address import Address
from honeybarrow.config.schema import ForwarderConfig as Settings
from honeybarrow.delivery import MailConnectionPool, MailPayload, PoolConfig
from honeybarrow.events import AttemptStatus
from honeybarrow.metrics import Metrics
from honeybarrow.observer_fanout import ObserverFanout
from honeybarrow.reactor import get_reactor
from honeybarrow.register import EndpointAddress, EndpointEntry, ListUpdate, Partner
from honeybarrow.service import Service
from honeybarrow.tracing import MessageTracer
from tests.helpers import FakePermit

reactor = get_reactor()
SCRIPT = """
one = forwarder("bench.example", classes = [message_class("note", aim = "5s", deadline = "30s")],
    register = register(port = 1), listen = [listen("smtp", port = 0)], slots = 64, max_open = 5000,
    weights = "none")
"""


class Quiet:
    """A log for nobody."""

    def debug(self, event: str, **fields: Any) -> None: ...

    info = warning = error = debug


class Sink(Protocol):
    """A partner that takes everything at once."""

    transport: Any = None

    def __init__(self) -> None:
        self.session = mail.ServerSession("sink.example")

    def connectionMade(self) -> None:
        self.session.greet()
        self.transport.write(self.session.take_output())

    def dataReceived(self, data: bytes) -> None:
        self.session.receive(data)
        while (event := self.session.next_event()) is not None:
            if isinstance(event, mail.Sender | mail.Recipient | mail.Message):
                self.session.answer(mail.Reply(250, "2.0.0", "ok"))
        self.transport.write(self.session.take_output())


class Relay(Sink):
    """The same protocols without decisions: each message at once to the partner, its reply to the client."""

    pool: MailConnectionPool
    port = 0

    def dataReceived(self, data: bytes) -> None:
        self.session.receive(data)
        self.work()

    def work(self) -> None:
        while (event := self.session.next_event()) is not None:
            if isinstance(event, mail.Message):
                payload = MailPayload(event.sender, event.recipients[0], event.content)
                call = self.pool.call(
                    "sink", [Address("127.0.0.1", self.port)], payload, 30_000_000, FakePermit()
                )
                call.addCallback(self.called)
            elif isinstance(event, mail.Sender | mail.Recipient):
                self.session.answer(mail.Reply(250, "2.0.0", "ok"))
        self.transport.write(self.session.take_output())

    def called(self, outcome: Any) -> None:
        code = 250 if outcome.status is AttemptStatus.OK else 451
        self.session.answer(mail.Reply(code, "2.0.0" if code == 250 else "4.0.0", "done"))
        self.work()


class Source(Protocol):
    """A client that hands one message in after another."""

    transport: Any = None

    def __init__(self, load: Load) -> None:
        self.load = load
        self.session = mail.ClientSession("source.example")

    def dataReceived(self, data: bytes) -> None:
        for event in self.session.receive(data):
            if isinstance(event, mail.RecipientAnswered):
                self.load.answered(event.reply.code)
            if (
                isinstance(event, mail.Ready | mail.RecipientAnswered)
                and (number := self.load.next()) is not None
            ):
                recipient = mail.Path("note", f"d{number % self.load.destinations}.example")
                self.session.send(mail.Path("a", "b.example"), recipient, self.load.content)
        self.transport.write(self.session.take_output())


class Load:
    """How many messages are left to hand in."""

    def __init__(self, messages: int, destinations: int) -> None:
        self.left, self.destinations = messages, destinations
        self.codes: dict[int, int] = {}
        self.due = messages
        self.content = b"Subject: bench\r\n\r\n" + b"x" * 70 + b"\r\n"

    def next(self) -> int | None:
        if self.left == 0:
            return None
        self.left -= 1
        return self.left

    def answered(self, code: int) -> None:
        self.codes[code] = self.codes.get(code, 0) + 1
        self.due -= 1
        if self.due == 0:
            reactor.stop()


def factory(make: Any, base: Any = Factory) -> Any:
    made = base()
    made.noisy = False
    made.buildProtocol = lambda addr: make()
    return made


def serve(kind: str, destinations: int, sink: int) -> None:
    """One of the two servers, until its standard input ends; then its CPU time."""
    if kind == "relay":
        Relay.pool, Relay.port = MailConnectionPool(reactor, reactor, "bench.example", PoolConfig(64)), sink
        port = reactor.listenTCP(0, factory(Relay), interface="127.0.0.1").getHost().port
    else:
        settings = config.find_one(config.evaluate_script("bench", SCRIPT), Settings, __file__)  # type: ignore[arg-type]
        service = Service(
            settings,
            reactor,
            lambda: time.monotonic_ns() // 1000,
            lambda: "today",
            "bench",
            1,
            lambda: None,
            lambda data: None,
            Quiet(),
            lambda error: reactor.stop(),
        )
        service.register.subscribe = lambda: None  # type: ignore[method-assign]
        if kind == "observed":
            sink_file = open(os.devnull, "w", encoding="utf-8")  # noqa: SIM115 - for the whole run
            exporter = ConsoleSpanExporter(out=sink_file, formatter=lambda span: span.to_json(indent=None))
            spans = MessageTracer(
                "bench", 0.1, BatchSpanProcessor(exporter, max_queue_size=20_000), time.time_ns
            )
            service.forwarder.context.observer = ObserverFanout(Metrics({}), spans)
        port = service.start()[0][2]
        address = EndpointAddress(host="127.0.0.1", port=sink)
        partners = tuple(Partner(number=i, name=f"d{i}.example") for i in range(destinations))
        rows = tuple(
            EndpointEntry(target=f"t{i}", destination=i, state="ready", addresses=(address,))
            for i in range(destinations)
        )
        news = ListUpdate(kind="full", version=1, partners=partners, endpoints=rows)
        service.handle_list_update(service.directory.apply(news))
    print(port, flush=True)

    def tell() -> None:
        sys.stdin.readline()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        print(json.dumps(usage.ru_utime + usage.ru_stime), flush=True)
        sys.stdin.readline()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        print(json.dumps(usage.ru_utime + usage.ru_stime), flush=True)
        reactor.callFromThread(reactor.stop)

    reactor.callInThread(tell)
    reactor.run()


def measure(kind: str, args: argparse.Namespace, sink: int) -> dict[str, float]:
    """One server's figures, in a process of its own, with the load in another."""
    command = [sys.executable, "-m", "benchmarks.ordinary_path"]
    more = ["--destinations", str(args.destinations), "--sink", str(sink)]
    server = subprocess.Popen(
        [*command, "--serve", kind, *more], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    assert server.stdin and server.stdout
    port = int(server.stdout.readline())
    load = [*command, "--load", str(port), "--connections", str(args.connections), *more]
    subprocess.run([*load, "--messages", "500"], check=True, stdout=subprocess.DEVNULL)
    server.stdin.write("\n")
    server.stdin.flush()
    before = float(server.stdout.readline())
    done = subprocess.run(
        [*load, "--messages", str(args.messages)], check=True, capture_output=True, text=True
    )
    wall, codes = json.loads(done.stdout)
    server.stdin.write("\n")
    server.stdin.flush()
    cpu = float(server.stdout.readline()) - before
    server.wait()
    return {
        "messages a second": args.messages / wall,
        "CPU us a message": cpu / args.messages * 1e6,
        "delivered": codes.get("250", 0),
    }


def run_load(args: argparse.Namespace) -> None:
    load = Load(args.messages, args.destinations)
    began = time.monotonic()
    for _ in range(args.connections):
        reactor.connectTCP("127.0.0.1", args.load, factory(lambda: Source(load), ClientFactory))
    reactor.run()
    print(json.dumps([time.monotonic() - began, load.codes]))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0] if __doc__ else "")
    parser.add_argument("--messages", type=int, default=4000)
    parser.add_argument("--connections", type=int, default=20)
    parser.add_argument("--destinations", type=int, default=20)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--serve", default="")
    parser.add_argument("--load", type=int, default=0)
    parser.add_argument("--sink", type=int, default=0)
    args = parser.parse_args()
    if args.messages > 1_000_000 or args.connections > 500:
        parser.error("at most a million messages on 500 connections")
    if args.serve == "sink":
        print(reactor.listenTCP(0, factory(Sink), interface="127.0.0.1").getHost().port, flush=True)
        reactor.run()
        return
    if args.serve:
        serve(args.serve, args.destinations, args.sink)
        return
    if args.load:
        run_load(args)
        return
    command = [sys.executable, "-m", "benchmarks.ordinary_path", "--serve", "sink"]
    sink = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    assert sink.stdout
    try:
        port = int(sink.stdout.readline())
        print(f"{os.cpu_count()} processors, {args.messages} messages, {args.connections} connections,")
        print(f"{args.destinations} destinations, each server one process on one core")
        ratios, extra = [], []
        for _ in range(args.rounds):
            relay, forwarder = measure("relay", args, port), measure("forwarder", args, port)
            observed = measure("observed", args, port)
            extra.append(observed["CPU us a message"] / forwarder["CPU us a message"])
            for name, figures in (("relay", relay), ("forwarder", forwarder), ("observed", observed)):
                print(f"{name:10}", ", ".join(f"{key} {value:.0f}" for key, value in figures.items()))
            ratios.append(forwarder["CPU us a message"] / relay["CPU us a message"])
        print("forwarder / relay, CPU a message: " + ", ".join(f"{ratio:.2f}" for ratio in sorted(ratios)))
        print("with numbers, and spans of a tenth / without: " + ", ".join(f"{r:.2f}" for r in sorted(extra)))
    finally:
        sink.terminate()


if __name__ == "__main__":
    main()
