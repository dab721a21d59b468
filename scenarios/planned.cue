// Planned handover of the primary of every group, one group after the other.
package scenario

name: "planned"
seed: 4
fleet: {groups: 4}
traffic: {load: 0.5}
troubles: [{at: "10s", what: "drain", who: "primary", groups: 4, apart: "4s", lasts: "6s"}]
checks: {served: 0.95, writes: 0.95}
