// The discovery service ends all watches and is overloaded while boxes are replaced.
package scenario

name: "freight-overbooked"
seed: 10
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
	{at: "8s", what: "overbook", who: "list", factor: 6, lasts: "12s"},
	{at: "10s", what: "deploy", who: "boxes 0.2", apart: "2s", lasts: "3s"},
]
checks: {service: 0.9, worst: 0.85}
