// Nine of ten boxes apply the replication log ten times more slowly; their response times do not change.
package scenario

name: "lagging-log"
seed: 7
fleet: {groups: 2}
traffic: {load: 0.5}
troubles: [{at: "10s", what: "lag", who: "boxes 0.9", factor: 10, lasts: "15s"}]
checks: {served: 0.7}
