"""Open-loop load test of one forwarder: messages are sent at scheduled times, independent of the replies.

    python -m benchmarks.load_front [--rate 590] [--seconds 120] [--destinations 100] [--silent 10]

Latency counts from the scheduled time of a message, which avoids coordinated omission. The forwarder, its
partners and the load generator run in separate processes.
"""

from __future__ import annotations

import argparse
import json
import random
import resource
import subprocess
import sys
import time
from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram
from twisted.internet.protocol import Factory, Protocol

from honeybarrow import config, mail
from honeybarrow.client import Client, ClientLimits, Delivered
from honeybarrow.config.schema import ForwarderConfig as Settings
from honeybarrow.reactor import get_reactor
from honeybarrow.register import EndpointAddress, EndpointEntry, ListUpdate, Partner
from honeybarrow.service import Service

reactor = get_reactor()
OBJECTIVE_S = 4.0
SCRIPT = """
one = forwarder("load.example", classes = [
        message_class("status", aim = "4s", deadline = "16s", late_share = 0.4),
        message_class("posting", aim = "4s", deadline = "20s", effect = "keyed", window = "5s",
            late_share = 0.3),
        message_class("pay", aim = "4s", deadline = "24s", effect = "unsafe", late_share = 0.5),
    ],
    register = register(port = 1), listen = [listen("smtp", port = 0), listen("lmtp", port = 0)],
    slots = 150, max_open = 3000, weights = "none", max_wait = "3s", fronts = fronts(connections = 4000))
"""
CLASSES = ("status", "status", "posting", "posting", "posting", "pay")


class NullLogger:
    """Logger that drops everything."""

    def debug(self, event: str, **fields: Any) -> None: ...

    info = warning = error = debug


class PartnerSession(Protocol):
    """Session of any partner, on one port for all: replies after 60 to 140 ms, or never if it is silent."""

    transport: Any = None
    silent = 0  # number of silent destinations

    def __init__(self) -> None:
        self.session = mail.ServerSession("partner.example")

    def connectionMade(self) -> None:
        self.session.greet()
        self.transport.write(self.session.take_output())

    def dataReceived(self, data: bytes) -> None:
        self.session.receive(data)
        self.process_events()

    def process_events(self) -> None:
        while (event := self.session.next_event()) is not None:
            if isinstance(event, mail.Sender | mail.Recipient):
                self.session.answer(mail.Reply(250, "2.0.0", "ok"))
            elif isinstance(event, mail.Message) and int(event.recipients[0].domain[1:-8]) >= self.silent:
                reactor.callLater(random.uniform(0.06, 0.14), self.accept_message)
        self.transport.write(self.session.take_output())

    def accept_message(self) -> None:
        if self.connected and self.session.is_waiting:
            self.session.answer(mail.Reply(250, "2.0.0", "ok"))
            self.process_events()


def serve_partners(args: argparse.Namespace) -> None:
    """Run the partners and print their port."""
    PartnerSession.silent = args.silent
    factory = Factory.forProtocol(PartnerSession)
    factory.noisy = False
    print(reactor.listenTCP(0, factory, 1000, "127.0.0.1").getHost().port, flush=True)
    reactor.run()


def serve_forwarder(args: argparse.Namespace) -> None:
    """Run the forwarder and print its ports.

    When a line arrives on standard input, print its CPU time and peak memory, and stop.
    """
    settings = config.find_all(config.evaluate_script("load", SCRIPT), Settings)[0]
    service = Service(
        settings,
        reactor,
        lambda: time.monotonic_ns() // 1000,
        lambda: "today",
        "load",
        1,
        lambda: None,
        lambda data: None,
        NullLogger(),
        lambda error: reactor.stop(),
    )
    service.register.subscribe = lambda: None  # type: ignore[method-assign]
    ports = {protocol: port for protocol, _, port in service.start()}
    address = (EndpointAddress(host="127.0.0.1", port=args.partners),)
    count = args.destinations
    partners = tuple(Partner(number=i, name=f"d{i}.example") for i in range(count))
    rows = tuple(
        EndpointEntry(target=f"t{i}", destination=i, state="ready", addresses=address) for i in range(count)
    )
    update = ListUpdate(kind="full", version=1, partners=partners, endpoints=rows)
    service.handle_list_update(service.directory.apply(update))
    print(json.dumps(ports), flush=True)

    def report_on_request() -> None:
        sys.stdin.readline()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        print(json.dumps([usage.ru_utime + usage.ru_stime, usage.ru_maxrss]), flush=True)
        if reactor.running:
            reactor.callFromThread(reactor.stop)

    reactor.callInThread(report_on_request)
    reactor.run()


def run_load(args: argparse.Namespace) -> None:
    """Send the messages and print the outcomes and latencies as JSON."""
    ports = json.loads(args.ports)
    limits = ClientLimits(max_connections=1500, max_waiting=100_000, timeout_s=40.0)
    clients = [
        Client(reactor, "127.0.0.1", port, name == "lmtp", f"{name}.example", limits)
        for name, port in ports.items()
    ]
    rng = random.Random(1)
    all_latencies, healthy_latencies = (HdrHistogram(1, 60_000_000, 3) for _ in range(2))
    results: Counter[str] = Counter()
    on_time: Counter[str] = Counter()
    total = int(args.rate * args.seconds)
    start_s = time.monotonic() + 0.5
    pending = total

    def submit(number: int) -> None:
        scheduled_s = start_s + number / args.rate
        destination = rng.randrange(args.destinations)
        content = f"Message-ID: <{number}@load.example>\r\n\r\n{'x' * 200}\r\n".encode()
        recipient = f"{rng.choice(CLASSES)}@d{destination}.example"
        reply = clients[number % 2].submit("a@load.example", recipient, content)
        reply.addCallback(on_result, scheduled_s, destination >= args.silent)

    def on_result(result: Any, scheduled_s: float, is_healthy: bool) -> None:
        nonlocal pending
        latency_s = time.monotonic() - scheduled_s
        kind = "healthy" if is_healthy else "silent"
        results[f"{kind} {type(result).__name__}"] += 1
        if isinstance(result, Delivered):
            all_latencies.record_value(max(1, int(latency_s * 1e6)))
            on_time[kind] += latency_s <= OBJECTIVE_S
            if is_healthy:
                healthy_latencies.record_value(max(1, int(latency_s * 1e6)))
        pending -= 1
        if pending == 0:
            reactor.stop()

    def submit_due(number: int) -> None:
        now_s = time.monotonic()
        while number < total and start_s + number / args.rate <= now_s:
            submit(number)
            number += 1
        if number < total:
            reactor.callLater(0.002, submit_due, number)

    reactor.callWhenRunning(submit_due, 0)
    reactor.callLater(args.seconds + 60, reactor.stop)
    reactor.run()
    latencies = {f"p{p:g} ms": healthy_latencies.get_value_at_percentile(p) / 1000 for p in (50, 99, 99.9)}
    share = {
        kind: on_time[kind] / max(1, sum(n for k, n in results.items() if k.startswith(kind)))
        for kind in ("healthy", "silent")
    }
    print(json.dumps({"answers": results, "on time": share, "healthy": latencies, "without answer": pending}))


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--rate", type=float, default=590.0)
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--destinations", type=int, default=100)
    parser.add_argument("--silent", type=int, default=0)
    parser.add_argument("--role", default="")
    parser.add_argument("--partners", type=int, default=0)
    parser.add_argument("--ports", default="")
    args = parser.parse_args()
    if args.rate > 5000 or args.seconds > 600:
        parser.error("at most 5,000 a second for 600 seconds")
    roles = {"partners": serve_partners, "forwarder": serve_forwarder, "load": run_load}
    if args.role:
        roles[args.role](args)
        return
    command = [sys.executable, "-m", "benchmarks.load_front", "--destinations", str(args.destinations)]
    command += ["--silent", str(args.silent), "--rate", str(args.rate), "--seconds", str(args.seconds)]
    partners = subprocess.Popen([*command, "--role", "partners"], stdout=subprocess.PIPE, text=True)
    assert partners.stdout
    port = partners.stdout.readline().strip()
    pipes: Any = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE, "text": True}
    forwarder = subprocess.Popen([*command, "--role", "forwarder", "--partners", port], **pipes)
    assert forwarder.stdout and forwarder.stdin
    try:
        ports = forwarder.stdout.readline().strip()
        done = subprocess.run(
            [*command, "--role", "load", "--ports", ports], stdout=subprocess.PIPE, text=True, check=True
        )
        forwarder.stdin.write("\n")
        forwarder.stdin.flush()
        cpu, peak = json.loads(forwarder.stdout.readline())
        print(
            f"{args.rate:g} a second for {args.seconds:g} s, {args.destinations} destinations,"
            f" {args.silent} silent"
        )
        print(done.stdout.strip())
        cpu_us = cpu / (args.rate * args.seconds) * 1e6
        print(f"forwarder: {cpu_us:.0f} us CPU a message, peak {peak / 1024:.0f} MiB")
    finally:
        partners.terminate()
        forwarder.terminate()


if __name__ == "__main__":
    main()
