"""Submit a batch with the client library and print the result for each recipient.

Start the forwarder and the stand-ins of examples/forwarder.star first; see docs/operators.md.
"""

from typing import Any

from twisted.internet import reactor as chosen

from honeybarrow.client import Client, Delivered, Failed, FinalResult, Refused

reactor: Any = chosen
CONTENT = b"Subject: batch\r\n\r\n12.50\r\n"
RECIPIENTS = ["settlement-pay@chain-1.example", "txn-posting@fleet-1.example", "card-status@indie-1.example"]


def print_results(results: list[FinalResult]) -> None:
    """Print the result of each recipient and stop the reactor."""
    for recipient, result in zip(RECIPIENTS, results, strict=True):
        match result:
            case Delivered():
                print(recipient, "delivered")
            case Refused(retry_after_s, reason):
                print(recipient, f"refused ({reason}); harmless to retry after {retry_after_s:g} s")
            case Failed(reason, _, is_permanent, is_result_lost):
                print(recipient, f"failed ({reason}), permanent: {is_permanent}, lost: {is_result_lost}")
    reactor.stop()


client = Client(reactor, "127.0.0.1", 2424, lmtp=True, name="here.example")
batch = client.submit_batch("me@here.example", RECIPIENTS, CONTENT, envelope_id="example-2")
batch.addCallback(print_results)
reactor.run()
