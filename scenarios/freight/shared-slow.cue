// All boxes become twice as slow at the same time.
package scenario

name: "freight-shared-slow"
seed: 6
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
	{at: "12s", what: "slow", who: "boxes 1", factor: 2, lasts: "10s"},
]
checks: {service: 0.75, worst: 0.35}
