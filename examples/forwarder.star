# A forwarder with SMTP on 127.0.0.1:2525 and LMTP on 127.0.0.1:2424. Start the stand-ins first:
#
#     honeybarrow stand-ins examples/stand-ins.star
#     honeybarrow run examples/forwarder.star
#
# The local part of a recipient names the message class and its domain the partner, as in
# card-status@indie-1.example.

classes = [
    message_class("card-status", aim = "4s", deadline = "16s", late_share = 0.4),
    message_class("txn-posting", aim = "3s", deadline = "20s", effect = "keyed", window = "5s", worth = 3.0, late_share = 0.3),
    message_class("settlement-pay", aim = "2500ms", deadline = "24s", effect = "unsafe", worth = 4.0, late_share = 0.5),
]

example = forwarder(
    "forwarder-1",
    classes = classes,
    kinds = [kind("station-chains"), kind("fleet-customers"), kind("independents")],
    register = register(port = 2600),
    listen = [listen("smtp", port = 2525), listen("lmtp", port = 2424)],
    routing = routing(tenant = "header:X-Tenant", time_left_ms = "header:X-Time-Left-Ms"),
    slots = 16,
    max_open = 244,
    max_wait = "3s",
)
