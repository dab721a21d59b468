// Boxes crash and others hang while the list of servers is stale.
package scenario

name: "freight-crash-stale-hang"
seed: 8
fleet:   _fleet
box:     _box
traffic: _traffic & {load: 0.6}
network: _network
clients: _clients
list:    _list
classes: _classes
tenants: _tenants
audit:   "full"
troubles: [
	{at: "8s", what: "stale", who: "list", factor: 5, lasts: "22s"},
	{at: "10s", what: "crash", who: "boxes 0.17", lasts: "12s"},
	{at: "12s", what: "hang", who: "primary", lasts: "9s"},
]
checks: {service: 0.88, worst: 0.8}
