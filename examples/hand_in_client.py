"""Hands a batch in with the client library and tells an answer for each recipient.

Start the pair of examples/forwarder.star first; see docs/operators.md.
"""

from typing import Any

from twisted.internet import reactor as chosen

from honeybarrow.client import Answer, Client, Delivered, Failed, Refused

reactor: Any = chosen
CONTENT = b"Subject: batch\r\n\r\n12.50\r\n"
RECIPIENTS = ["settlement-pay@chain-1.example", "txn-posting@fleet-1.example", "card-status@indie-1.example"]


def tell(answers: list[Answer]) -> None:
    for recipient, answer in zip(RECIPIENTS, answers, strict=True):
        match answer:
            case Delivered():
                print(recipient, "delivered")
            case Refused(wait_s, why):
                print(recipient, f"refused ({why}); harmless to try again after {wait_s:g} s")
            case Failed(why, within_s, for_good, lost):
                print(recipient, f"failed ({why}), for good: {for_good}, answer lost: {lost}, {within_s:g} s")
    reactor.stop()


client = Client(reactor, "127.0.0.1", 2424, lmtp=True, name="here.example")
client.submit_batch("me@here.example", RECIPIENTS, CONTENT, envelope_id="example-2").addCallback(tell)
reactor.run()
