# Three stand-in partners and their register, for examples/forwarder.star.

partners = [
    partner("chain-1.example", number = 1, kind = "station-chains", stations = [
        station("chain-1-a", port = 2601),
        station("chain-1-b", port = 2602, protocol = "lmtp"),
    ], rate = 20.0),
    partner("fleet-1.example", number = 2, kind = "fleet-customers", stations = [station("fleet-1-a", port = 2603)]),
    partner("indie-1.example", number = 3, kind = "independents", stations = [station("indie-1-a", port = 2604)], rate = 5.0),
]

stand_ins = rehearsal("example", length = "1s", partners = partners, register = stand_in_register(port = 2600))
