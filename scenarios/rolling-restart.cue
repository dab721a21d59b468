// All boxes are restarted, one after the other.
package scenario

name: "rolling-restart"
seed: 8
fleet: {groups: 2}
traffic: {load: 0.4, lasts: "60s"}
troubles: [{at: "5s", what: "crash", who: "boxes 1", apart: "3s", lasts: "2s"}]
checks: {served: 0.5}
