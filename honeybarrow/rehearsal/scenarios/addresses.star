# Endpoints with four addresses each. At each endpoint one address at a time fails: it refuses connections, sends no
# greeting, hangs after MAIL, or sends no reply after the end of data.

classes = [
    message_class("card-status", aim = "2s", deadline = "8s", late_share = 0.4),
    message_class("settlement-pay", aim = "2s", deadline = "12s", effect = "unsafe", worth = 4.0, late_share = 0.5),
    message_class("enrol-order", aim = "3s", deadline = "12s", keep_order = True, late_share = 0.3),
]

def make(i):
    return forwarder(
        "forwarder-%d" % i,
        classes = classes,
        register = register(port = 26950),
        listen = [listen("smtp", port = 26950 + i)],
        routing = routing(key = "header:X-Order-Key", time_left_ms = "header:X-Time-Left-Ms"),
        pool = pool(connect_timeout = "1s", idle = "1s"),
        rules = rules(drain_grace = "250ms", cold = "4s", fall = "2s"),
        slots = 40,
        max_open = 400,
        forwarders = 2,
        stop_grace = "20s",
    )

forwarders = [make(1), make(2)]

def spots(name, port):
    return [
        spot(name + "_2", host = "127.0.0.2", port = port),
        spot(name + "_3", host = "127.0.0.3", port = port, machine = name + "-box"),
        spot(name + "_4", port = port + 100, machine = name + "-box"),
    ]

numbers = list(range(10))

partners = [
    partner("p%d.example" % i, number = i + 1, stations = [station("p%d" % i, port = 26960 + i, spots = spots("p%d" % i, 26960 + i))],
        service = "40ms", workers = 8, connections = 60)
    for i in numbers
]

names = ["forwarder-1", "forwarder-2"]

clients = [
    client("authorise", rate = 40.0, forwarders = names, parts = [part("card-status", "p%d.example" % i) for i in numbers]),
    client("settle", rate = 40.0, forwarders = names, parts = [part("settlement-pay", "p%d.example" % i) for i in numbers]),
    client("enrol", rate = 8.0, forwarders = names, parts = [part("enrol-order", "p%d.example" % i, keys = 4) for i in [0, 1]]),
]

kinds = ["spot_refuse", "spot_mute", "spot_hang", "spot_deaf"]
places = ["", "_2", "_3", "_4"]

# Each partner has one failing address for each of the four kinds of fault in turn, a different one each time.
troubles = [
    trouble(kinds[k], at = "%ds" % (4 + 6 * k), last = "5s", who = "p%d%s" % (i, places[(i + k) % 4]))
    for k in range(4) for i in numbers
] + [
    trouble("refuse", at = "30s", last = "3s", who = "p3.example"),
    trouble("hang", at = "30s", last = "4s", who = "p4.example"),
]

day = rehearsal("addresses", length = "40s", partners = partners, register = stand_in_register(port = 26950), clients = clients, troubles = troubles)
