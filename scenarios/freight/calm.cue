// Normal operation without faults.
package scenario

name: "freight-calm"
seed: 2
fleet:   _fleet
box:     _box
traffic: _traffic & {load: 0.6}
network: _network
clients: _clients
list:    _list
classes: _classes
tenants: _tenants
audit:   "full"
checks: {service: 0.9, worst: 0.85}
