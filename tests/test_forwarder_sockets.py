"""End-to-end tests of a forwarder over loopback sockets, with partners that follow scripts."""

from __future__ import annotations

import threading
import time

from tests.live import BlockingConnection, ScriptedPartner, accept_all_messages, forwarder, wait_until


def answering_partner(*answers: str, extensions: tuple[str, ...] = ()) -> tuple[ScriptedPartner, list[str]]:
    """Return a partner that gives these answers to messages, repeating the last, and the list it receives."""
    received: list[str] = []
    lock = threading.Lock()

    def script(connection: BlockingConnection) -> None:
        connection.greet(*extensions)
        while True:
            connection.accept_envelope()
            content = connection.read_content()
            with lock:
                answer = answers[min(len(received), len(answers) - 1)]
                received.append(content)
            connection.write_lines(answer)

    return ScriptedPartner(script), received


def test_client_receives_each_kind_of_final_result() -> None:
    with forwarder() as live:
        accepting, received = answering_partner("250 2.0.0 ok")
        rejecting, rejected = answering_partner("550 5.1.1 nobody of that name\x07")
        broken, attempts = answering_partner("451 4.3.0 broken")
        for name, partner in (("good", accepting), ("bad", rejecting), ("broken", broken)):
            live.list_partner(f"{name}.example", partner.port)
        client = live.client()
        assert live.send(client, "note@good.example").startswith("250 2.0.0")
        assert received[0].startswith("Received: from c.example ([127.0.0.1])")
        assert "Message-ID: <fwd.example-test-1@fwd.example>" in received[0]
        # A permanent rejection is not retried, and its reason is passed to the client.
        assert live.send(client, "note@bad.example").startswith("550 5.1.1 the partner refuses: 550 nobody")
        assert len(rejected) == 1
        # An idempotent message is retried after an error, and finally refused as safe to retry.
        assert live.send(client, "note@broken.example").startswith("451 4.3.2 [wait=")
        assert len(attempts) > 1
        # A non-idempotent message may have taken effect, so it fails after one attempt.
        other = answering_partner("451 4.3.0 broken")
        live.list_partner("other.example", other[0].port)
        assert live.send(client, "pay@other.example").startswith("554 5.4.0")
        assert len(other[1]) == 1


def test_non_idempotent_message_is_retried_if_it_was_not_run() -> None:
    def reset_at_rcpt(connection: BlockingConnection) -> None:
        connection.greet()
        connection.read_line()
        connection.write_lines("250 ok")
        connection.read_line()
        connection.reset()

    with forwarder() as live:
        partner = ScriptedPartner(reset_at_rcpt, reset_at_rcpt, accept_all_messages)
        live.list_partner("p.example", partner.port)
        assert live.send(live.client(), "pay@p.example").startswith("250")
        assert len(partner.connections) >= 3


def test_ambiguous_non_idempotent_message_fails_without_a_retry() -> None:
    received: list[str] = []

    def silent(connection: BlockingConnection) -> None:
        connection.greet()
        connection.accept_envelope()
        received.append(connection.read_content())
        connection.read_line()

    with forwarder() as live:
        partner = ScriptedPartner(silent)
        live.list_partner("p.example", partner.port)
        assert live.send(live.client(), "pay@p.example", "X-Time-Left-Ms: 900").startswith("554 5.4.0")
        assert len(received) == 1


def test_invalid_recipients_and_headers_are_refused_with_a_reason() -> None:
    with forwarder("slots = 8, max_open = 10") as live:
        partner, _ = answering_partner("250 ok")
        live.list_partner("p.example", partner.port)
        client = live.client()
        client.write_lines(
            "MAIL FROM:<a@c.example>", "RCPT TO:<note@other.example>", "RCPT TO:<what@p.example>"
        )
        assert [client.read_reply()[:9] for _ in range(3)] == ["250 2.1.0", "550 5.1.2", "550 5.1.1"]
        client.write_lines("RCPT TO:<note@p.example>", "RCPT TO:<note@p.example>", "DATA")
        assert [client.read_reply()[:3] for _ in range(3)] == ["250", "452", "354"]
        client.write_lines("X-Time-Left-Ms: soon", "", "x", ".")
        assert client.read_reply().startswith("554 5.6.0")
        assert live.send(client, "note@p.example", *["Received: x"] * 51).startswith("554 5.4.6")
        assert live.send(client, "note@p.example", "X-Time-Left-Ms: 0").startswith("451 4.4.7")


def test_each_lmtp_recipient_has_its_own_outcome() -> None:
    with forwarder() as live:
        accepting, _ = answering_partner("250 ok")
        full, _ = answering_partner("451 4.3.2 [wait=2500] full", extensions=("XADVICE",))
        failing, _ = answering_partner("554 5.3.0 broken")
        for name, partner in (("good", accepting), ("full", full), ("bad", failing)):
            live.list_partner(f"{name}.example", partner.port)
        client = live.client("lmtp")
        recipients = ["brief@full.example", "note@good.example", "pay@bad.example", "pay@good.example"]
        client.write_lines("MAIL FROM:<>", *[f"RCPT TO:<{recipient}>" for recipient in recipients], "DATA")
        assert [client.read_reply()[:3] for _ in range(6)] == ["250"] * 5 + ["354"]
        client.write_lines("Subject: batch", "", "x", ".")
        replies = [client.read_reply() for _ in recipients]
        assert [reply[:3] for reply in replies] == ["451", "250", "554", "250"]
        assert "[wait=" in replies[0]


def test_reply_is_sent_before_the_time_of_the_client_ends() -> None:
    def silent(connection: BlockingConnection) -> None:
        connection.greet()
        connection.accept_message("")
        time.sleep(10)

    with forwarder() as live:
        partner = ScriptedPartner(silent)
        live.list_partner("p.example", partner.port)
        # DELIVERBY asks for a shorter time than the deadline of the class.
        reply = live.send(live.client(), "note@p.example", by=" BY=1;R")
        assert reply[:3] in ("451", "554")
        accepted = dict(live.log.lines)["message_accepted"]
        assert 0 < accepted["time_left_us"] <= 1_000_000


def test_300_concurrent_messages_get_one_reply_each_and_use_at_most_8_slots() -> None:
    in_flight, max_in_flight = 0, 0
    lock = threading.Lock()

    def count_messages(connection: BlockingConnection) -> None:
        nonlocal in_flight, max_in_flight
        connection.greet("PIPELINING")
        while True:
            connection.accept_envelope()
            with lock:
                in_flight += 1
                max_in_flight = max(max_in_flight, in_flight)
            connection.read_content()
            time.sleep(0.004)
            with lock:
                in_flight -= 1
            connection.write_lines("250 ok")

    with forwarder() as live:
        partners = [ScriptedPartner(count_messages) for _ in range(2)]
        live.list_partner("p.example", *[partner.port for partner in partners])
        clients = [live.client("lmtp") for _ in range(3)]
        for client in clients:
            client.write_lines("MAIL FROM:<>", *["RCPT TO:<note@p.example>"] * 100, "DATA")
            assert {client.read_reply()[:3] for _ in range(102)} == {"250", "354"}
        for client in clients:
            client.write_lines("", "x", ".")
        codes = [client.read_reply()[:3] for client in clients for _ in range(100)]
        assert set(codes) <= {"250", "451"} and codes.count("250") > 200
        assert max_in_flight <= 8
        counters = live.service.forwarder.counters
        assert counters.accepted + counters.rejected == 300
        assert counters.delivered == codes.count("250")


def test_messages_beyond_the_capacity_are_rejected_with_a_retry_wait() -> None:
    def slow(connection: BlockingConnection) -> None:
        connection.greet()
        while True:
            connection.accept_envelope()
            connection.read_content()
            time.sleep(0.3)
            connection.write_lines("250 ok")

    with forwarder("slots = 2, max_open = 4") as live:
        partner = ScriptedPartner(slow)
        live.list_partner("p.example", partner.port)
        client = live.client("lmtp")
        client.write_lines("MAIL FROM:<>", *["RCPT TO:<note@p.example>"] * 10, "DATA")
        replies = [client.read_reply() for _ in range(12)]
        assert [reply[:3] for reply in replies] == ["250"] * 5 + ["452"] * 6 + ["354"]
        assert all(reply.startswith("452 4.3.1 [wait=") for reply in replies[5:11])
        client.write_lines("", "x", ".")
        # The policy returns one message to its client before the capacity is reached, and delivers three.
        assert sorted(client.read_reply()[:3] for _ in range(4)) == ["250", "250", "250", "451"]


def test_retry_wait_applies_to_messages_that_are_already_queued() -> None:
    call_times_s: list[float] = []
    refusal_times_s: list[float] = []
    lock = threading.Lock()

    def refuse_for_900_ms(connection: BlockingConnection) -> None:
        connection.greet("XADVICE")
        while line := connection.read_line():
            if line.startswith("MAIL"):
                with lock:
                    call_times_s.append(time.monotonic())
                    if len(refusal_times_s) < 1:
                        refusal_times_s.append(time.monotonic())
                connection.write_lines(
                    "451 4.3.2 [wait=900] full" if time.monotonic() < refusal_times_s[0] + 0.9 else "250 ok"
                )
            elif line.startswith("DATA"):
                connection.write_lines("354 go")
                connection.read_content()
                connection.write_lines("250 ok")
            else:
                connection.write_lines("250 ok")

    with forwarder("slots = 1, max_open = 50") as live:
        partner = ScriptedPartner(refuse_for_900_ms)
        live.list_partner("p.example", partner.port)
        client = live.client("lmtp")
        client.write_lines("MAIL FROM:<>", *["RCPT TO:<note@p.example>"] * 5, "DATA")
        assert {client.read_reply()[:3] for _ in range(7)} == {"250", "354"}
        client.write_lines("", "x", ".")
        replies = [client.read_reply()[:3] for _ in range(5)]
        assert "250" in replies
        assert [time_s for time_s in call_times_s[1:] if time_s < refusal_times_s[0] + 0.9] == []


def test_call_in_flight_completes_after_its_endpoint_left_the_list() -> None:
    may_reply = threading.Event()

    def reply_when_allowed(connection: BlockingConnection) -> None:
        connection.greet()
        connection.accept_envelope()
        connection.read_content()
        may_reply.wait(10)
        connection.write_lines("250 ok")
        connection.read_line()

    with forwarder() as live:
        partner, other = ScriptedPartner(reply_when_allowed), ScriptedPartner(accept_all_messages)
        live.list_partner("p.example", partner.port)
        client = live.client()
        live.submit(client, "note@p.example")
        wait_until(lambda: len(partner.connections) == 1)
        live.list_partner("p.example", partner.port, state="gone")
        live.list_partner("p.example", other.port)
        assert live.send(live.client(), "note@p.example").startswith("250")
        assert len(partner.connections) == 1 and len(other.connections) == 1
        may_reply.set()
        assert client.read_reply().startswith("250")


def test_disconnect_of_the_client_withdraws_its_waiting_message() -> None:
    with forwarder() as live:
        partner, received = answering_partner("451 4.3.0 broken")
        live.list_partner("p.example", partner.port)
        client = live.client()
        live.submit(client, "note@p.example")
        wait_until(lambda: len(received) >= 1)
        client.sock.close()
        wait_until(lambda: live.service.forwarder.open_count == 0)
        assert live.service.forwarder.counters.withdrawn == 1
        attempts = len(received)
        assert live.send(live.client(), "step@p.example", "X-Time-Left-Ms: 1500").startswith("451")
        retries = [content for content in received[attempts:] if "test-1@" in content]
        assert retries == []


def test_messages_of_one_order_key_are_sent_one_at_a_time() -> None:
    in_flight, max_in_flight = 0, 0
    subjects: list[str] = []
    lock = threading.Lock()

    def slow(connection: BlockingConnection) -> None:
        nonlocal in_flight, max_in_flight
        connection.greet()
        while True:
            connection.accept_envelope()
            with lock:
                in_flight += 1
                max_in_flight = max(max_in_flight, in_flight)
            subjects.append(
                next(line for line in connection.read_content().split("\n") if line.startswith("Subject"))
            )
            time.sleep(0.02)
            with lock:
                in_flight -= 1
            connection.write_lines("250 ok")

    with forwarder() as live:
        partner = ScriptedPartner(slow)
        live.list_partner("p.example", partner.port)
        clients = [live.client() for _ in range(6)]
        for number, client in enumerate(clients):
            live.submit(client, "step@p.example", f"Subject: {number}", "X-Order-Key: k")
            wait_until(lambda number=number: live.service.forwarder.counters.accepted == number + 1)  # type: ignore[misc]
        assert [client.read_reply()[:3] for client in clients] == ["250"] * 6
        assert subjects == [f"Subject: {number}" for number in range(6)] and max_in_flight == 1


def test_shutdown_answers_all_messages_and_refuses_new_ones() -> None:
    with forwarder() as live:
        partner, _ = answering_partner("451 4.3.0 broken")
        live.list_partner("p.example", partner.port)
        waiting_client, idle_client = live.client(), live.client()
        live.submit(waiting_client, "note@p.example")
        wait_until(lambda: live.service.forwarder.open_count == 1)
        stop_thread = threading.Thread(target=live.stop)
        stop_thread.start()
        assert idle_client.read_reply().startswith("421 4.3.2")
        assert waiting_client.read_reply()[:3] in ("451", "554")
        stop_thread.join(20)
        assert live.service.forwarder.open_count == 0
        live.stop = lambda: None  # type: ignore[method-assign]


def test_ambiguous_message_with_an_idempotency_key_gets_a_bounded_retry_window() -> None:
    def reset_after_data(connection: BlockingConnection) -> None:
        connection.greet()
        connection.accept_envelope()
        connection.read_content()
        connection.reset()

    with forwarder() as live:
        partner = ScriptedPartner(reset_after_data)
        live.list_partner("p.example", partner.port)
        reply = live.send(live.client(), "post@p.example", "X-Time-Left-Ms: 1200")
        assert reply.startswith("554 5.4.0 [within=")
        assert 0 < int(reply.split("within=")[1].split("]")[0]) < 3000
