// Two hundred poolers hold back writes for a group and release them within the age of one load report.
package scenario

name: "release"
seed: 12
fleet: {groups: 10, poolers: 200}
traffic: {load: 0.5}
troubles: [{at: "12s", what: "crash", who: "primary", groups: 10, lasts: "12s"}]
checks: {served: 0.6}
