// Boxes crash in the middle of a deployment.
package scenario

name: "freight-crash-deploy"
seed: 11
fleet:   _fleet
box:     _box
traffic: _traffic & {load: 0.55}
network: _network
clients: _clients
list:    _list
classes: _classes
tenants: _tenants
audit:   "full"
troubles: [
	{at: "6s", what: "deploy", who: "boxes 0.8", apart: "3s", lasts: "3s", away: "1500ms"},
	{at: "16s", what: "crash", who: "primary", lasts: "10s"},
]
checks: {service: 0.8, worst: 0.65}
