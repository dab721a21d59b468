// Half of the poolers crash at once and restart with their last list of servers.
package scenario

name: "poolers-die"
seed: 9
fleet: {poolers: 8}
traffic: {load: 0.5}
troubles: [{at: "10s", what: "crash", who: "poolers 0.5", lasts: "4s"}]
checks: {served: 0.85}
