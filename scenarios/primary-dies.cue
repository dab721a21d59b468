// The primary crashes and returns cold after 12 s; the list of servers reports this with a delay.
package scenario

name: "primary-dies"
seed: 2
fleet: {groups: 2}
traffic: {load: 0.5}
troubles: [{at: "12s", what: "crash", who: "primary", lasts: "12s"}]
checks: {served: 0.9}
