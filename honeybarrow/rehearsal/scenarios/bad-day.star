# Many faults in one run: closed, silent, hanging and throttled partners, a killed forwarder, a register that is down,
# sends malformed updates and sends an old list.

classes = [
    message_class("card-status", aim = "2s", deadline = "8s", late_share = 0.4),
    message_class("txn-posting", aim = "2s", deadline = "10s", effect = "keyed", window = "5s", worth = 3.0, late_share = 0.3),
    message_class("settlement-pay", aim = "2s", deadline = "12s", effect = "unsafe", worth = 4.0, late_share = 0.5),
    message_class("enrol-order", aim = "3s", deadline = "12s", keep_order = True, late_share = 0.3),
]

kinds = [kind("station-chains"), kind("fleet-customers"), kind("independents")]

def make(i):
    return forwarder(
        "forwarder-%d" % i,
        classes = classes,
        kinds = kinds,
        register = register(port = 26900),
        listen = [listen("smtp", port = 26910 + i), listen("lmtp", port = 26920 + i)],
        routing = routing(key = "header:X-Order-Key", time_left_ms = "header:X-Time-Left-Ms", tenant = "header:X-Tenant"),
        pool = pool(connect_timeout = "1s", idle = "5s"),
        rules = rules(drain_grace = "250ms", cold = "6s", fall = "2s"),
        slots = 24,
        max_open = 240,
        forwarders = 3,
        max_wait = "3s",
        stop_grace = "20s",
    )

forwarders = [make(i) for i in [1, 2, 3]]

def two(name, base, protocol = "smtp"):
    return [station(name + "-a", port = base, protocol = protocol), station(name + "-b", port = base + 1, protocol = protocol)]

partners = [
    partner("chain-1.example", number = 1, kind = "station-chains", stations = two("chain-1", 26800), rate = 40.0, service = "60ms", workers = 12),
    partner("chain-2.example", number = 2, kind = "station-chains", stations = two("chain-2", 26802, "lmtp"), rate = 30.0, service = "80ms", workers = 8),
    partner("fleet-1.example", number = 3, kind = "fleet-customers", stations = two("fleet-1", 26804), service = "70ms", workers = 8),
    partner("fleet-2.example", number = 4, kind = "fleet-customers", stations = two("fleet-2", 26806), rate = 25.0, span = "1s", service = "60ms", workers = 6),
    partner("indie-1.example", number = 5, kind = "independents", stations = [station("indie-1", port = 26808)], rate = 12.0, wait_told = 0.4, service = "50ms", workers = 3, connections = 20),
    partner("indie-2.example", number = 6, kind = "independents", stations = [station("indie-2", port = 26810)], service = "90ms", workers = 4, connections = 12),
]

names = ["forwarder-1", "forwarder-2", "forwarder-3"]

clients = [
    client("authorise", rate = 30.0, forwarders = names, parts = [
        part("card-status", "chain-1.example", share = 2.0),
        part("card-status", "fleet-1.example", share = 2.0),
        part("card-status", "indie-1.example"),
        part("card-status", "indie-2.example"),
    ]),
    client("posting", rate = 20.0, forwarders = names, protocol = "lmtp", parts = [
        part("txn-posting", "fleet-1.example", share = 2.0),
        part("txn-posting", "fleet-2.example", share = 2.0),
        part("txn-posting", "indie-1.example"),
    ]),
    client("settle", rate = 14.0, forwarders = names, parts = [
        part("settlement-pay", "chain-1.example"),
        part("settlement-pay", "chain-2.example"),
    ]),
    client("enrol", rate = 8.0, forwarders = names, parts = [
        part("enrol-order", "chain-2.example", keys = 6),
        part("enrol-order", "fleet-2.example", keys = 6),
    ]),
]

troubles = [
    trouble("shut", at = "10s", last = "6s", who = "chain-1.example"),
    trouble("silent", at = "14s", last = "8s", who = "fleet-1.example"),
    trouble("kill", at = "22s", last = "2s", who = "forwarder-2"),
    trouble("register_down", at = "26s", last = "8s"),
    trouble("drain", at = "28s", who = "chain-2-a"),
    trouble("hang", at = "32s", last = "5s", who = "chain-2.example"),
    trouble("answer_lost", at = "38s", last = "6s", who = "fleet-2.example", size = 0.25),
    trouble("refuse", at = "42s", last = "5s", who = "indie-2.example"),
    trouble("add", at = "44s", who = "chain-2-a"),
    trouble("burst", at = "46s", last = "4s", who = "authorise", size = 2.5),
    trouble("register_bad", at = "48s", last = "3s"),
    trouble("register_down", at = "54s", last = "1s"),
    trouble("register_stale", at = "54500ms", last = "3s"),
    trouble("errors", at = "50s", last = "4s", who = "fleet-1.example", size = 0.6),
    trouble("throttle", at = "52s", last = "6s", who = "chain-1.example", size = 0.5),
    trouble("idle_drop", at = "56s", last = "1s", who = "chain-1.example"),
]

day = rehearsal("bad-day", length = "62s", partners = partners, register = stand_in_register(port = 26900), clients = clients, troubles = troubles)
