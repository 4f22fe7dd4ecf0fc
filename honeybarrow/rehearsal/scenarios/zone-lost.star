# Outage of a zone: a fleet of 9 forwarders in 3 zones has to agree to eject a silent zone over lossy links.

classes = [
    message_class("card-status", aim = "2s", deadline = "8s", late_share = 0.4),
    message_class("txn-posting", aim = "2s", deadline = "10s", effect = "keyed", window = "5s", worth = 3.0, late_share = 0.3),
    message_class("settlement-pay", aim = "2s", deadline = "12s", effect = "unsafe", worth = 4.0, late_share = 0.5),
]

kinds = [kind("chains")]
zones = ["a", "b", "c"]
numbers = [1, 2, 3, 4, 5, 6, 7, 8, 9]

# Each forwarder reaches its peers through relays of its own, so that each direction of a link can fail independently.
def make(i):
    return forwarder(
        "forwarder-%d" % i,
        classes = classes,
        kinds = kinds,
        zone = zones[i % 3],
        register = register(port = 27900),
        listen = [listen("smtp", port = 27910 + i)],
        routing = routing(key = "header:X-Order-Key", time_left_ms = "header:X-Time-Left-Ms"),
        pool = pool(connect_timeout = "1s", idle = "5s"),
        rules = rules(drain_grace = "250ms", cold = "6s", fall = "2s"),
        fleet = fleet(
            name = "zone-lost",
            listen = "127.0.0.1:%d" % (27930 + i),
            peers = ["forwarder-%d@127.0.0.1:%d" % (j, 28000 + 10 * i + j) for j in numbers],
        ),
        slots = 24,
        max_open = 240,
        forwarders = 9,
        max_wait = "3s",
        stop_grace = "20s",
    )

forwarders = [make(i) for i in numbers]

def chain(n):
    stations = [station("chain-%d-%s" % (n, zones[k]), port = 27800 + 10 * n + k, zone = zones[k]) for k in range(3)]
    return partner("chain-%d.example" % n, number = n, kind = "chains", stations = stations, service = "60ms", workers = 12, rate = 60.0)

partners = [chain(n) for n in range(1, 7)]
names = ["forwarder-%d" % i for i in numbers]

def to_all(name):
    return [part(name, "chain-%d.example" % n) for n in range(1, 7)]

clients = [
    client("authorise", rate = 45.0, forwarders = names, parts = to_all("card-status")),
    client("posting", rate = 15.0, forwarders = names, parts = to_all("txn-posting")),
    client("settle", rate = 8.0, forwarders = names, parts = to_all("settlement-pay")),
]

troubles = [
    trouble("link_lossy", at = "3s", last = "50s", who = "a", size = 0.02),
    trouble("zone_down", at = "10s", last = "14s", who = "b"),
    trouble("kill", at = "16s", last = "2s", who = "forwarder-4"),
    trouble("link_one_way", at = "30s", last = "4s", who = "forwarder-2"),
]

day = rehearsal("zone-lost", length = "50s", partners = partners, register = stand_in_register(port = 27900), clients = clients, troubles = troubles)
