// The holder is stopped beyond its term and goes on in the middle of what it did.
package leases

name: "holder-stopped"
late_acts: true
lasts: "150ms"
rounds: 4
steps: [
	{do: "stop", then: "takeover"},
	{do: "go", who: "same", then: "same"},
]
