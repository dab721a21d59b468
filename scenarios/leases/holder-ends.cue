// The holder is told to end: it gives the task up first.
package leases

name: "holder-ends"
rounds: 5
steps: [
	{do: "end", then: "takeover"},
	{do: "start", who: "same"},
]
