// Nearly all boxes are replaced, one or two at a time; their successors start cold.
package scenario

name: "freight-deploy"
seed: 3
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
	{at: "6s", what: "deploy", who: "boxes 0.9", apart: "2500ms", lasts: "3s", away: "1500ms"},
]
checks: {service: 0.78, worst: 0.62}
