// Normal operation without faults: the baseline for all other scenarios.
package scenario

name: "calm"
seed: 1
fleet: {groups: 2}
traffic: {load: 0.5}
checks: {served: 0.99, writes: 0.99}
