"""Tests of the mail fronts over loopback sockets: TLS, accounts, networks, fairness and duplicates."""

from __future__ import annotations

import base64
import datetime
import smtplib
import socket
import ssl
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from twisted.internet.threads import deferToThreadPool

from honeybarrow.admission import admission_control
from honeybarrow.admission.identity import (
    ClientConfig,
    ClientIdentifier,
    check_password,
    hash_password,
    parse_accounts,
)
from honeybarrow.mail_front import connection_registry
from honeybarrow.tls import TlsError, build_server_context
from tests.live import (
    BlockingConnection,
    LiveForwarder,
    ScriptedPartner,
    accept_all_messages,
    forwarder,
    reactor,
    wait_until,
)


def make_certificate(folder: Path, name: str, issuer: Any = None) -> tuple[Path, Path, Any]:
    """Write a certificate, self-signed or signed by ``issuer``, and its key to files."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    built = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer[0] if issuer else subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.BasicConstraints(ca=issuer is None, path_length=None), critical=True)
        .sign(issuer[1] if issuer else key, hashes.SHA256())
    )
    files = folder / f"{name}.crt", folder / f"{name}.key"
    files[0].write_bytes(built.public_bytes(serialization.Encoding.PEM))
    files[1].write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return *files, (subject, key)


@pytest.fixture(scope="module")
def tls_forwarder(tmp_path_factory: pytest.TempPathFactory) -> Any:
    """Start a forwarder with TLS, a certificate authority for clients, and one account."""
    folder = tmp_path_factory.mktemp("tls")
    authority = make_certificate(folder, "authority")
    server = make_certificate(folder, "localhost", authority[2])
    settle = make_certificate(folder, "settle.example", authority[2])
    accounts = parse_accounts("# who\n\nposting:" + hash_password(b"right", b"salt") + "\n")

    def password(name: str, given: bytes) -> Any:
        return deferToThreadPool(reactor, reactor.getThreadPool(), check_password, accounts, name, given)

    live = LiveForwarder(
        "slots = 8, max_open = 40, tls = tls('x', 'y'), accounts = 'z', clients = ["
        "client_program('settlement', certificate = 'settle.example', weight = 2.0),"
        "client_program('poster', account = 'posting')]",
        require="auth",
        tls=build_server_context(server[0], server[1], authority[0]),
        password=password,
    )
    partner = ScriptedPartner(accept_all_messages)
    live.list_partner("p.example", partner.port)
    yield live, authority[0], settle
    live.stop()


def test_tls_is_required_and_account_identifies_client(tls_forwarder: Any) -> None:
    live, authority, _ = tls_forwarder
    with smtplib.SMTP("localhost", live.ports["smtp"]) as client:
        with pytest.raises(smtplib.SMTPResponseException, match="530"):
            client.sendmail("a@b.example", "note@p.example", "\r\nx\r\n")
        client.starttls(context=ssl.create_default_context(cafile=str(authority)))
        client.ehlo()
        assert client.mail("a@b.example")[0] == 530
        with pytest.raises(smtplib.SMTPAuthenticationError):
            client.login("posting", "wrong")
        with pytest.raises(smtplib.SMTPAuthenticationError):
            client.login("nobody", "right")
        client.login("posting", "right")
        assert client.sendmail("a@b.example", "note@p.example", "\r\nx\r\n") == {}
    assert {"client": "poster"}.items() <= next(
        fields.items() for event, fields in live.log.lines if event == "client_identified"
    )
    assert not any("right" in str(line) for line in live.log.lines)


def test_certificate_identifies_client(tls_forwarder: Any) -> None:
    live, authority, settle = tls_forwarder
    context = ssl.create_default_context(cafile=str(authority))
    context.load_cert_chain(settle[0], settle[1])
    with smtplib.SMTP("localhost", live.ports["smtp"]) as client:
        client.starttls(context=context)
        assert client.sendmail("a@b.example", "pay@p.example", "\r\nx\r\n") == {}
    message = [fields for event, fields in live.log.lines if event == "message_received"][-1]
    assert message["client"] == "settlement"


def test_commands_injected_after_starttls_are_discarded(tls_forwarder: Any) -> None:
    live, authority, _ = tls_forwarder
    connection = live.client()
    connection.write_lines("STARTTLS", "MAIL FROM:<evil@x.example>")
    assert connection.read_reply().startswith("220")
    context = ssl.create_default_context(cafile=str(authority))
    inside = BlockingConnection(context.wrap_socket(connection.sock, server_hostname="localhost"))
    inside.write_lines("EHLO c.example")
    assert inside.read_reply().startswith("250")
    inside.write_lines("NOOP")
    assert inside.read_reply().startswith("250 2.0.0")


def test_tls_error_names_invalid_file_without_its_content(tmp_path: Path) -> None:
    one, two = make_certificate(tmp_path, "one"), make_certificate(tmp_path, "two")
    (tmp_path / "bad").write_text("secret")
    bad = tmp_path / "bad"
    for crt, key, expected in (
        (one[0], two[1], "belong together"),
        (one[0], bad, "bad: no private key"),
        (bad, one[1], "bad: no certificate"),
    ):
        with pytest.raises(TlsError, match=expected) as caught:
            build_server_context(crt, key, None)
        assert "secret" not in str(caught.value)


def test_accounts_and_networks_are_parsed() -> None:
    wrong = ("3$8$1$00$00", "16384$8$1$zz$00", "99999999$8$1$00$00")
    for text in ("name", "name:plain", *(f"n:scrypt${each}" for each in wrong)):
        with pytest.raises(ValueError, match="line 1 of the accounts"):
            parse_accounts(text)
    identity = ClientIdentifier(
        ["127.0.0.0/8", "::1/128"], [ClientConfig("settle", ("127.0.0.2/32", "::1/128"))]
    )
    assert identity.can_connect("127.0.0.9") and identity.can_connect("::1")
    assert not identity.can_connect("10.0.0.1") and not identity.can_connect("nonsense")
    named = [identity.identify_by_address(address) for address in ("127.0.0.2", "::1", "127.0.0.3")]
    assert named == ["settle", "settle", "127.0.0.3"]
    with pytest.raises(ValueError, match=r"'300\.0\.0\.0/8' is no network"):
        ClientIdentifier(["300.0.0.0/8"], [])


def test_connection_from_disallowed_address_is_rejected() -> None:
    with forwarder("allow = ['127.0.0.2/32']") as live:
        connection = BlockingConnection(socket.create_connection(("127.0.0.1", live.ports["smtp"])))
        assert connection.read_line().startswith("554 5.7.1") and connection.read_line() == ""
        address = ("127.0.0.1", live.ports["smtp"])
        other = BlockingConnection(socket.create_connection(address, source_address=("127.0.0.2", 0)))
        assert other.read_line().startswith("220")


def reply_when_set(may_reply: threading.Event, received: list[str]) -> Callable[[BlockingConnection], None]:
    """Return the script of a partner that records each message and replies once ``may_reply`` is set."""

    def script(connection: BlockingConnection) -> None:
        connection.greet()
        while True:
            connection.accept_envelope()
            received.append(connection.read_content())
            may_reply.wait(15)
            connection.write_lines("250 2.0.0 ok")

    return script


MESSAGE_ID_HEADER = "Message-ID: <m1@c.example>"


def test_duplicate_of_open_message_gets_the_same_result() -> None:
    may_reply, received = threading.Event(), list[str]()
    with forwarder() as live:
        partner = ScriptedPartner(reply_when_set(may_reply, received))
        live.list_partner("p.example", partner.port)
        first, second = live.client(), live.client("lmtp")
        live.submit(first, "pay@p.example", MESSAGE_ID_HEADER)
        wait_until(lambda: len(received) == 1)
        live.submit(second, "pay@p.example", MESSAGE_ID_HEADER)
        wait_until(lambda: any(event == "duplicate_joined" for event, _ in live.log.lines))
        other = live.client()
        live.submit(other, "pay@p.example", "Message-ID: <m2@c.example>")
        may_reply.set()
        assert [connection.read_reply()[:3] for connection in (first, second, other)] == ["250"] * 3
        assert len(received) == 2 and live.service.forwarder.counters.accepted == 2


def test_duplicate_of_delivered_message_gets_its_result_again() -> None:
    with forwarder() as live:
        received: list[str] = []
        may_reply = threading.Event()
        may_reply.set()
        live.list_partner("p.example", ScriptedPartner(reply_when_set(may_reply, received)).port)
        for protocol in ("smtp", "lmtp"):
            assert live.send(live.client(protocol), "pay@p.example", MESSAGE_ID_HEADER).startswith("250")
        assert len(received) == 1
        # The envelope id alone identifies the message.
        for _ in range(2):
            assert live.send(live.client(), "pay@p.example", by=" ENVID=e1").startswith("250")
        assert len(received) == 2


def test_reconnected_client_gets_result_of_attempt_in_flight() -> None:
    may_reply, received = threading.Event(), list[str]()
    with forwarder() as live:
        live.list_partner("p.example", ScriptedPartner(reply_when_set(may_reply, received)).port)
        first = live.client()
        live.submit(first, "pay@p.example", MESSAGE_ID_HEADER)
        wait_until(lambda: len(received) == 1)
        first.sock.close()
        wait_until(lambda: live.service.forwarder.counters.withdrawn == 1)
        second = live.client()
        live.submit(second, "pay@p.example", MESSAGE_ID_HEADER)
        wait_until(lambda: any(event == "duplicate_deferred" for event, _ in live.log.lines))
        may_reply.set()
        assert second.read_reply().startswith("250")
        assert len(received) == 1


def test_ambiguous_non_idempotent_message_is_not_sent_again() -> None:
    runs: list[str] = []

    def lost(connection: BlockingConnection) -> None:
        connection.greet()
        connection.accept_envelope()
        runs.append(connection.read_content())
        connection.reset()

    with forwarder() as live:
        live.list_partner("p.example", ScriptedPartner(lost).port)
        for _ in range(2):
            assert live.send(live.client(), "pay@p.example", MESSAGE_ID_HEADER).startswith("554 5.4.0")
        assert len(runs) == 1


@pytest.mark.parametrize("protocol", ["smtp", "lmtp"])
def test_a_message_whose_call_is_out_is_answered_with_its_result_however_long_it_takes(
    monkeypatch: pytest.MonkeyPatch, protocol: str
) -> None:
    """Guards against review case 6: the front answered 421 for slowness while the call was out."""
    monkeypatch.setattr(admission_control, "SENDING_GRACE_US", 300_000)
    monkeypatch.setattr(connection_registry, "SWEEP_INTERVAL_S", 0.1)
    may_reply, received = threading.Event(), list[str]()
    with forwarder() as live:
        live.list_partner("p.example", ScriptedPartner(reply_when_set(may_reply, received)).port)
        live.list_partner("q.example", ScriptedPartner(accept_all_messages).port)
        client = live.client(protocol)
        recipients = ["pay@q.example", "pay@p.example"] if protocol == "lmtp" else ["pay@p.example"]
        client.write_lines(
            "MAIL FROM:<a@c.example>", *(f"RCPT TO:<{recipient}>" for recipient in recipients), "DATA"
        )
        assert [client.read_reply()[:3] for _ in range(2 + len(recipients))][-1] == "354"
        client.write_lines("", "hello", ".")
        wait_until(lambda: len(received) == 1)
        time.sleep(0.6)
        slow = live.client()
        slow.write_lines("MAIL FROM:<a@c.example>", "RCPT TO:<pay@q.example>", "DATA")
        assert [slow.read_reply()[:3] for _ in range(3)] == ["250", "250", "354"]
        assert slow.read_reply().startswith("421 4.4.2")
        may_reply.set()
        assert [client.read_reply()[:3] for _ in recipients] == ["250"] * len(recipients)


@pytest.mark.parametrize("by", ["", " BY=1;R"])
def test_a_repeat_that_is_not_admitted_is_no_refusal_if_the_message_may_have_run(
    monkeypatch: pytest.MonkeyPatch, by: str
) -> None:
    """Guards against 451 "harmless to try again" for a repeat of a message that may have run."""
    runs: list[str] = []

    def lost(connection: BlockingConnection) -> None:
        connection.greet()
        connection.accept_envelope()
        runs.append(connection.read_content())
        connection.reset()

    with forwarder() as live:
        live.list_partner("p.example", ScriptedPartner(lost).port)
        first = live.client()
        live.submit(first, "post@p.example", MESSAGE_ID_HEADER)
        wait_until(lambda: len(runs) == 1)
        first.sock.close()
        wait_until(lambda: live.service.forwarder.open_count == 0)
        second = live.client()
        second.write_lines(f"MAIL FROM:<a@c.example>{by}", "RCPT TO:<post@p.example>", "DATA")
        assert [second.read_reply()[:3] for _ in range(3)] == ["250", "250", "354"]
        if by:
            time.sleep(1.1)  # no time is left at the end of data
        else:
            no_room = admission_control.Defer(1_000_000, "no room")
            monkeypatch.setattr(
                admission_control.AdmissionController, "admit_message", lambda *arguments: no_room
            )
        second.write_lines(MESSAGE_ID_HEADER, "", "hello", ".")
        reply = second.read_reply()
        assert reply.startswith("554 5.4.0") and "[within=" in reply, reply
        assert len(runs) == 1


def test_disconnect_at_any_byte_releases_all_resources() -> None:
    with forwarder() as live:
        live.list_partner("p.example", ScriptedPartner(accept_all_messages).port)
        session = b"EHLO c\r\n\0MAIL FROM:<a@c.example>\r\nRCPT TO:<note@p.example>\r\nDATA\r\n\0"
        session += b"Subject: x\r\n\r\nhi\r\n.\r\n"
        whole = session.replace(b"\0", b"")
        for cut in range(len(whole) + 1):
            connection = BlockingConnection(socket.create_connection(("127.0.0.1", live.ports["smtp"])))
            sent = 0
            for part in session.split(b"\0"):
                piece = part[: max(0, cut - sent)]
                connection.sock.sendall(piece)
                sent += len(piece)
                if len(piece) < len(part):
                    break
                connection.read_reply()
            connection.sock.close()
        wait_until(
            lambda: not live.service.mail_connections.connections and live.service.forwarder.open_count == 0
        )
        admission = live.service.admission
        shares = (admission.message_share, admission.session_share, admission.buffer_share)
        assert all(share.used == 0 for share in shares) and not admission.admitted


def test_rset_and_quit_are_answered_after_pending_results() -> None:
    may_reply, received = threading.Event(), list[str]()
    with forwarder() as live:
        live.list_partner("p.example", ScriptedPartner(reply_when_set(may_reply, received)).port)
        client = live.client()
        live.submit(client, "note@p.example")
        client.write_lines("RSET", "QUIT")
        wait_until(lambda: len(received) == 1)
        may_reply.set()
        assert [client.read_reply()[:3] for _ in range(3)] == ["250", "250", "221"]


def test_flood_of_sessions_leaves_capacity_for_another_client() -> None:
    extra_settings = "fronts = fronts(connections = 20),"
    extra_settings += "clients = [client_program('settle', networks = ['127.0.0.2/32'])]"
    with forwarder(extra_settings) as live:
        address = ("127.0.0.1", live.ports["smtp"])
        settle = BlockingConnection(socket.create_connection(address, source_address=("127.0.0.2", 0)))
        assert settle.read_reply().startswith("220")
        flood = [BlockingConnection(socket.create_connection(address)) for _ in range(40)]
        codes = [connection.read_reply()[:3] for connection in flood]
        assert codes.count("220") == 14 and codes.count("421") == 26
        another = BlockingConnection(socket.create_connection(address, source_address=("127.0.0.2", 0)))
        assert another.read_reply().startswith("220")


def test_connections_of_idle_clients_are_closed() -> None:
    with forwarder("fronts = fronts(command_timeout = '300ms', data_timeout = '400ms')") as live:
        live.list_partner("p.example", ScriptedPartner(accept_all_messages).port)
        silent, incomplete = live.client(), live.client()
        incomplete.write_lines("MAIL FROM:<a@c.example>", "RCPT TO:<note@p.example>", "DATA")
        assert [incomplete.read_reply()[:3] for _ in range(3)] == ["250", "250", "354"]
        incomplete.write_lines("half a mess")
        assert silent.read_reply().startswith("421 4.4.2") and silent.read_line() == ""
        assert incomplete.read_reply().startswith("421 4.4.2") and incomplete.read_line() == ""
        wait_until(lambda: not live.service.mail_connections.connections)


def test_batch_of_50_recipients_at_mixed_partners() -> None:
    def wait(connection: BlockingConnection) -> None:
        connection.greet("XADVICE")
        while line := connection.read_line():
            connection.write_lines("451 4.3.2 [wait=5000] shut" if line.startswith("MAIL") else "250 ok")

    def silent(connection: BlockingConnection) -> None:
        connection.greet()
        connection.accept_envelope()
        connection.read_content()
        time.sleep(20)

    def refusing(connection: BlockingConnection) -> None:
        connection.greet()
        while line := connection.read_line():
            connection.write_lines("550 5.1.1 nobody" if line.startswith("RCPT") else "250 ok")

    with forwarder("slots = 16, max_open = 100") as live:
        for name, script in (
            ("good", accept_all_messages),
            ("shut", wait),
            ("mute", silent),
            ("no", refusing),
        ):
            live.list_partner(f"{name}.example", ScriptedPartner(script).port)
        client = live.client("lmtp")
        names = ["good", "shut", "mute", "no", "good"] * 10
        recipients = [f"RCPT TO:<{'pay' if name == 'mute' else 'note'}@{name}.example>" for name in names]
        client.write_lines("MAIL FROM:<>", *recipients, "DATA")
        assert [client.read_reply()[:3] for _ in range(52)] == ["250"] * 51 + ["354"]
        client.write_lines("Subject: x", "", "x", ".")
        codes = dict[str, set[str]]()
        for name in names:
            codes.setdefault(name, set()).add(client.read_reply()[:3])
        assert codes["good"] == {"250"} and codes["shut"] == {"451"} and codes["no"] == {"550"}
        # Non-idempotent messages to a silent partner have failed or were never sent.
        assert "554" in codes["mute"] and codes["mute"] <= {"554", "451"}


def test_auth_and_starttls_are_not_offered_without_tls() -> None:
    with forwarder() as live:
        client = live.client()
        client.write_lines("AUTH PLAIN " + base64.b64encode(b"\0u\0p").decode())
        assert client.read_reply().startswith("502")
        client.write_lines("STARTTLS")
        assert client.read_reply().startswith("502")


def test_drain_during_batch_gives_each_recipient_a_result() -> None:
    may_reply, received = threading.Event(), list[str]()
    with forwarder("slots = 4, max_open = 40") as live:
        live.list_partner("p.example", ScriptedPartner(reply_when_set(may_reply, received)).port)
        client = live.client("lmtp")
        client.write_lines("MAIL FROM:<>", *["RCPT TO:<note@p.example>"] * 12, "DATA")
        assert [client.read_reply()[:3] for _ in range(14)] == ["250"] * 13 + ["354"]
        client.write_lines("", "x", ".")
        wait_until(lambda: len(received) >= 2)
        stopping = threading.Thread(target=live.stop)
        stopping.start()
        wait_until(lambda: live.service.admission.is_stopping)
        may_reply.set()
        codes = [client.read_reply()[:3] for _ in range(12)]
        assert codes.count("250") >= 4 and set(codes) <= {"250", "451", "554"}
        stopping.join(20)
        live.stop = lambda: None  # type: ignore[method-assign]
