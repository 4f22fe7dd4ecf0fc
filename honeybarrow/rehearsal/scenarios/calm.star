# Six seconds without faults: two partners, one forwarder, and a rate limit that is reached occasionally.

classes = [
    message_class("note", aim = "1s", deadline = "4s", late_share = 0.4),
    message_class("pay", aim = "1s", deadline = "6s", effect = "unsafe", late_share = 0.5),
]

forwarders = [forwarder(
    "solo",
    classes = classes,
    register = register(port = 26700),
    listen = [listen("smtp", port = 26701)],
    routing = routing(time_left_ms = "header:X-Time-Left-Ms"),
    rules = rules(cold = "3s", fall = "1s"),
)]

partners = [
    partner("one.example", number = 1, stations = [station("one-a", port = 26710)], rate = 20.0, service = "30ms"),
    partner("two.example", number = 2, stations = [station("two-a", port = 26711, protocol = "lmtp")], service = "30ms"),
]

clients = [client("caller", rate = 30.0, forwarders = ["solo"], parts = [
    part("note", "one.example"),
    part("pay", "two.example"),
])]

day = rehearsal("calm", length = "6s", settle = "8s", partners = partners, register = stand_in_register(port = 26700), clients = clients)
