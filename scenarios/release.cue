// Two hundred poolers hold writes for one group and release them within one report's age.
package scenario

name: "release"
seed: 12
fleet: {groups: 10, poolers: 200}
traffic: {load: 0.5}
troubles: [{at: "12s", what: "crash", who: "primary", groups: 10, lasts: "12s"}]
checks: {served: 0.6}
