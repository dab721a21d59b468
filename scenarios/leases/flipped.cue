// One bit is flipped in a tenth of all datagrams.
package leases

name: "flipped"
rounds: 5
steps: [
	{do: "noise", flipped: 100, doubled: 100},
	{do: "kill", then: "takeover"},
	{do: "start", who: "same"},
]
