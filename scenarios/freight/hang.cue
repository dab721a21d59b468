// A primary and a replica accept requests but answer none.
package scenario

name: "freight-hang"
seed: 5
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
	{at: "12s", what: "hang", who: "primary", lasts: "12s"},
	{at: "14s", what: "hang", who: "boxes 0.1", lasts: "10s"},
]
checks: {service: 0.87, worst: 0.72}
