"""Benchmark of the fault-free path: throughput and CPU time per message, compared with a plain relay.

The relay makes no decisions. Relay and forwarder run one after the other, each in a process of its own, with
the same stand-in partner and load. Compare runs or machines only by the ratio of the two.

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
from honeybarrow.delivery import MailConnectionPool, MailPayload, PoolLimits
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


class NullLogger:
    """Logger that drops everything."""

    def debug(self, event: str, **fields: Any) -> None: ...

    info = warning = error = debug


class Sink(Protocol):
    """Partner that accepts everything without a delay."""

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
    """Relay without decisions: forwards each message at once and passes the reply on to the client."""

    pool: MailConnectionPool
    port = 0

    def dataReceived(self, data: bytes) -> None:
        self.session.receive(data)
        self.process_events()

    def process_events(self) -> None:
        while (event := self.session.next_event()) is not None:
            if isinstance(event, mail.Message):
                payload = MailPayload(event.sender, event.recipients[0], event.content)
                call = self.pool.call(
                    "sink", [Address("127.0.0.1", self.port)], payload, 30_000_000, FakePermit()
                )
                call.addCallback(self.on_call_finished)
            elif isinstance(event, mail.Sender | mail.Recipient):
                self.session.answer(mail.Reply(250, "2.0.0", "ok"))
        self.transport.write(self.session.take_output())

    def on_call_finished(self, outcome: Any) -> None:
        code = 250 if outcome.status is AttemptStatus.OK else 451
        self.session.answer(mail.Reply(code, "2.0.0" if code == 250 else "4.0.0", "done"))
        self.process_events()


class Source(Protocol):
    """Client that submits one message after another."""

    transport: Any = None

    def __init__(self, load: Load) -> None:
        self.load = load
        self.session = mail.ClientSession("source.example")

    def dataReceived(self, data: bytes) -> None:
        for event in self.session.receive(data):
            if isinstance(event, mail.RecipientAnswered):
                self.load.record_reply(event.reply.code)
            if (
                isinstance(event, mail.Ready | mail.RecipientAnswered)
                and (number := self.load.take_next()) is not None
            ):
                recipient = mail.Path("note", f"d{number % self.load.destinations}.example")
                self.session.send(mail.Path("a", "b.example"), recipient, self.load.content)
        self.transport.write(self.session.take_output())


class Load:
    """Messages to submit, and the reply codes received."""

    def __init__(self, messages: int, destinations: int) -> None:
        self.unsent, self.destinations = messages, destinations
        self.codes: dict[int, int] = {}
        self.unanswered = messages
        self.content = b"Subject: bench\r\n\r\n" + b"x" * 70 + b"\r\n"

    def take_next(self) -> int | None:
        """Return the number of the next message, or ``None`` if all were taken."""
        if self.unsent == 0:
            return None
        self.unsent -= 1
        return self.unsent

    def record_reply(self, code: int) -> None:
        """Count a reply; stop the reactor after the last one."""
        self.codes[code] = self.codes.get(code, 0) + 1
        self.unanswered -= 1
        if self.unanswered == 0:
            reactor.stop()


def make_factory(make_protocol: Any, base: Any = Factory) -> Any:
    """Return a factory whose connections get the protocols returned by ``make_protocol``."""
    factory = base()
    factory.noisy = False
    factory.buildProtocol = lambda addr: make_protocol()
    return factory


def serve(kind: str, destinations: int, sink: int) -> None:
    """Run a server and print its port. For each of two lines on standard input, print its CPU time."""
    if kind == "relay":
        Relay.pool, Relay.port = MailConnectionPool(reactor, reactor, "bench.example", PoolLimits(64)), sink
        port = reactor.listenTCP(0, make_factory(Relay), interface="127.0.0.1").getHost().port
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
            NullLogger(),
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
        update = ListUpdate(kind="full", version=1, partners=partners, endpoints=rows)
        service.handle_list_update(service.directory.apply(update))
    print(port, flush=True)

    def report_on_request() -> None:
        sys.stdin.readline()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        print(json.dumps(usage.ru_utime + usage.ru_stime), flush=True)
        sys.stdin.readline()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        print(json.dumps(usage.ru_utime + usage.ru_stime), flush=True)
        reactor.callFromThread(reactor.stop)

    reactor.callInThread(report_on_request)
    reactor.run()


def measure(kind: str, args: argparse.Namespace, sink: int) -> dict[str, float]:
    """Measure one server, in a new process, with the load from another one."""
    command = [sys.executable, "-m", "benchmarks.ordinary_path"]
    options = ["--destinations", str(args.destinations), "--sink", str(sink)]
    server = subprocess.Popen(
        [*command, "--serve", kind, *options], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    assert server.stdin and server.stdout
    port = int(server.stdout.readline())
    load = [*command, "--load", str(port), "--connections", str(args.connections), *options]
    subprocess.run([*load, "--messages", "500"], check=True, stdout=subprocess.DEVNULL)
    server.stdin.write("\n")
    server.stdin.flush()
    before_s = float(server.stdout.readline())
    done = subprocess.run(
        [*load, "--messages", str(args.messages)], check=True, capture_output=True, text=True
    )
    duration_s, codes = json.loads(done.stdout)
    server.stdin.write("\n")
    server.stdin.flush()
    cpu_s = float(server.stdout.readline()) - before_s
    server.wait()
    return {
        "messages a second": args.messages / duration_s,
        "CPU us a message": cpu_s / args.messages * 1e6,
        "delivered": codes.get("250", 0),
    }


def run_load(args: argparse.Namespace) -> None:
    """Submit all messages, and print the duration and the reply codes as JSON."""
    load = Load(args.messages, args.destinations)
    started_s = time.monotonic()
    for _ in range(args.connections):
        reactor.connectTCP("127.0.0.1", args.load, make_factory(lambda: Source(load), ClientFactory))
    reactor.run()
    print(json.dumps([time.monotonic() - started_s, load.codes]))


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
        print(reactor.listenTCP(0, make_factory(Sink), interface="127.0.0.1").getHost().port, flush=True)
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
        relay_ratios, observer_ratios = [], []
        for _ in range(args.rounds):
            relay, forwarder = measure("relay", args, port), measure("forwarder", args, port)
            observed = measure("observed", args, port)
            observer_ratios.append(observed["CPU us a message"] / forwarder["CPU us a message"])
            for name, figures in (("relay", relay), ("forwarder", forwarder), ("observed", observed)):
                print(f"{name:10}", ", ".join(f"{key} {value:.0f}" for key, value in figures.items()))
            relay_ratios.append(forwarder["CPU us a message"] / relay["CPU us a message"])
        print(
            "forwarder / relay, CPU a message: " + ", ".join(f"{ratio:.2f}" for ratio in sorted(relay_ratios))
        )
        print(
            "with metrics and a tenth of the traces / without: "
            + ", ".join(f"{r:.2f}" for r in sorted(observer_ratios))
        )
    finally:
        sink.terminate()


if __name__ == "__main__":
    main()
