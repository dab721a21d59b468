// Peak traffic: the load doubles for 20 s, and a primary crashes during the peak.
package scenario

name: "market-day"
seed: 10
fleet: {groups: 2}
traffic: {load: 0.55, lasts: "60s"}
troubles: [
	{at: "15s", what: "surge", who: "boxes 1", factor: 2, lasts: "20s"},
	{at: "25s", what: "crash", who: "primary", lasts: "10s"},
]
checks: {served: 0.5}
