// A fifth of the boxes crashes at once and returns cold.
package scenario

name: "fifth-dies"
seed: 11
fleet: {groups: 6}
traffic: {load: 0.5}
troubles: [{at: "10s", what: "crash", who: "boxes 0.2", lasts: "10s"}]
checks: {served: 0.75}
