// Two boxes and a primary crash at once and return cold, with replication lag.
package scenario

name: "freight-crash"
seed: 1
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
	{at: "12s", what: "crash", who: "primary", lasts: "12s"},
	{at: "12s", what: "crash", who: "boxes 0.17", lasts: "12s"},
]
checks: {service: 0.85, worst: 0.72}
