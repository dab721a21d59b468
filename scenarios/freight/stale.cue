// The list of servers is five more seconds out of date while two boxes crash.
package scenario

name: "freight-stale"
seed: 4
fleet:   _fleet
box:     _box
traffic: _traffic & {load: 0.65}
network: _network
clients: _clients
list:    _list
classes: _classes
tenants: _tenants
audit:   "full"
troubles: [
	{at: "8s", what: "stale", who: "list", factor: 5, lasts: "20s"},
	{at: "12s", what: "crash", who: "boxes 0.17", lasts: "8s"},
]
checks: {service: 0.9, worst: 0.82}
