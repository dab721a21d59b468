// The primary becomes five times slower.
package scenario

name: "slow-primary"
seed: 6
traffic: {load: 0.4}
troubles: [{at: "10s", what: "slow", who: "primary", factor: 5, lasts: "10s"}]
checks: {served: 0.6}
