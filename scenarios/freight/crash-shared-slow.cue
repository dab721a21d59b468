// Boxes crash, and all boxes become slower while they are down.
package scenario

name: "freight-crash-shared-slow"
seed: 7
fleet:   _fleet
box:     _box
traffic: _traffic & {load: 0.63}
network: _network
clients: _clients
list:    _list
classes: _classes
tenants: _tenants
audit:   "full"
troubles: [
	{at: "10s", what: "crash", who: "primary", lasts: "14s"},
	{at: "10s", what: "crash", who: "boxes 0.17", lasts: "14s"},
	{at: "14s", what: "slow", who: "boxes 1", factor: 1.8, lasts: "10s"},
]
checks: {service: 0.72, worst: 0.35}
