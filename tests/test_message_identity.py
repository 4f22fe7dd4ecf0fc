"""Properties of the identity of a mail message: same message, same names; another message, other names."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from honeybarrow import mail
from honeybarrow.mail.grammar import XTEXT_PATTERN, MailParameters
from honeybarrow.mail_front.message_identity import MessageIdentifier, MessageIdentity

TEXT = st.text(st.characters(codec="ascii", min_codepoint=33, max_codepoint=126), min_size=1, max_size=12)
CLIENT, BODY = st.sampled_from(["a", "b", "a\0envelope"]), st.sampled_from([b"", b"x\r\n", b"x\r\ny\r\n"])
RECIPIENT = st.builds(
    mail.Path, st.sampled_from(["note", "pay"]), st.sampled_from(["p.example", "q.example"])
)


@st.composite
def submissions(draw: st.DrawFn) -> tuple[str, str, str, mail.Path, bytes]:
    """Draw client, envelope id, Message-ID, recipient and body; a name may be missing."""
    names = draw(st.sampled_from([("e", ""), ("e", "<m@c>"), ("", "<m@c>"), ("e2", ""), ("", "<m2@c>")]))
    return draw(CLIENT), *names, draw(RECIPIENT), draw(BODY)


def identify(
    client: str, envelope_id: str, message_id: str, recipient: mail.Path, body: bytes, unique: str = "<u@f>"
) -> MessageIdentity:
    header = f"Message-ID: {message_id}\r\n".encode() if message_id else b"Subject: x\r\n"
    parameters = MailParameters(envelope_id=mail.encode_xtext(envelope_id))
    message = mail.Message(mail.Path("", ""), parameters, (recipient,), header + b"\r\n" + body)
    return MessageIdentifier(client, message).identify(recipient, unique)


@given(submissions(), submissions())
def test_two_submissions_have_the_same_names_exactly_if_they_are_the_same_message(
    first: tuple[str, str, str, mail.Path, bytes], second: tuple[str, str, str, mail.Path, bytes]
) -> None:
    one, other = identify(*first, unique="<u1@f1>"), identify(*second, unique="<u2@f2>")
    if first == second:
        assert one == other and one.duplicate_key
    is_same_name = first[1] == second[1] and (bool(first[1]) or first[2] == second[2])
    is_same = is_same_name and first[0] == second[0] and first[3:] == second[3:]
    assert (one.duplicate_key == other.duplicate_key) is is_same
    if one.envelope_id or other.envelope_id:
        assert (one.envelope_id == other.envelope_id) is is_same
    if one.added_message_id or other.added_message_id:
        assert (one.added_message_id == other.added_message_id) is (is_same and first[2] == second[2])


@given(submissions(), st.text(max_size=20))
def test_fields_that_a_relay_adds_change_no_name(
    submission: tuple[str, str, str, mail.Path, bytes], trace: str
) -> None:
    client, envelope_id, message_id, recipient, body = submission
    content = f"Message-ID: {message_id}\r\n".encode() if message_id else b""
    content += b"\r\n" + body
    received = f"Received: {mail.sanitize(trace)}\r\n".encode("ascii", "replace")
    message = mail.Message(recipient, MailParameters(envelope_id=envelope_id), (recipient,), content)
    relayed = replace(message, content=received + content)
    names = [MessageIdentifier(client, each).identify(recipient, "<u@f>") for each in (message, relayed)]
    assert names[0] == names[1]


def test_a_message_without_a_name_has_one_of_its_own() -> None:
    recipient = mail.Path("pay", "p.example")
    names = [identify("a", "", "", recipient, b"x", unique=f"<{number}@f>") for number in range(2)]
    assert [each.duplicate_key for each in names] == ["", ""] and not names[0].envelope_id
    assert [each.added_message_id for each in names] == ["<0@f>", "<1@f>"]


@given(st.text(max_size=30), st.text(max_size=30))
def test_envelope_ids_are_encoded_without_loss(first: str, second: str) -> None:
    encoded = mail.encode_xtext(first)
    assert mail.decode_xtext(encoded) == first
    assert not first or len(encoded) > 100 or XTEXT_PATTERN.fullmatch(encoded)
    assert (encoded == mail.encode_xtext(second)) is (first == second)


@given(TEXT, st.data())
def test_all_encodings_of_an_envelope_id_give_the_same_names(envelope_id: str, data: st.DataObject) -> None:
    def encode(character: str) -> str:
        is_plain = character not in "+=" and data.draw(st.booleans())
        return character if is_plain else f"+{ord(character):02X}"

    encoded = "".join(map(encode, envelope_id))
    recipient = mail.Path("pay", "p.example")
    messages = [
        mail.Message(recipient, MailParameters(envelope_id=each), (recipient,), b"\r\nx\r\n")
        for each in (encoded, mail.encode_xtext(envelope_id))
    ]
    names = [MessageIdentifier("a", each).identify(recipient, "<u@f>") for each in messages]
    assert names[0] == names[1]
