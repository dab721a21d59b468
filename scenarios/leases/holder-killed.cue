// The holder is killed and restarts without any state.
package leases

name: "holder-killed"
rounds: 5
steps: [
	{do: "kill", then: "takeover"},
	{do: "start", who: "same"},
]
