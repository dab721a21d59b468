// The holder is killed, and starts again from nothing.
package leases

name: "holder-killed"
rounds: 5
steps: [
	{do: "kill", then: "takeover"},
	{do: "start", who: "same"},
]
