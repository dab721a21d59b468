// The primary dies and is back, cold, after 12 s; the list tells late.
package scenario

name: "primary-dies"
seed: 2
fleet: {groups: 2}
traffic: {load: 0.5}
troubles: [{at: "12s", what: "crash", who: "primary", lasts: "12s"}]
checks: {served: 0.9}
