// The holder shuts down gracefully: it releases its lease first.
package leases

name: "holder-ends"
rounds: 5
steps: [
	{do: "end", then: "takeover"},
	{do: "start", who: "same"},
]
