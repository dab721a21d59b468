// A primary hangs while the list of servers is stale.
package scenario

name: "freight-stale-hang"
seed: 9
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
	{at: "8s", what: "stale", who: "list", factor: 6, lasts: "22s"},
	{at: "12s", what: "hang", who: "primary", groups: 2, lasts: "10s"},
]
checks: {service: 0.87, worst: 0.78}
