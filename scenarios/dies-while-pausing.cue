// The primary crashes while a replica is paused, so that the expected successor may not be the one that is elected.
package scenario

name: "dies-while-pausing"
seed: 3
traffic: {load: 0.5}
troubles: [
	{at: "10s", what: "pause", who: "replica 0", lasts: "8s"},
	{at: "11s", what: "crash", who: "primary", lasts: "10s"},
]
checks: {served: 0.75}
