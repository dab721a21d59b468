// One box answers ten times more slowly, but correctly.
package scenario

name: "slow-box"
seed: 5
traffic: {load: 0.5}
troubles: [{at: "10s", what: "slow", who: "replica 1", factor: 10, lasts: "15s"}]
checks: {served: 0.95}
