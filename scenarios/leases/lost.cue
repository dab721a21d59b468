// A fifth of all datagrams is lost.
package leases

name: "lost"
rounds: 5
steps: [
	{do: "noise", lost: 200},
	{do: "kill", then: "takeover"},
	{do: "start", who: "same"},
]
