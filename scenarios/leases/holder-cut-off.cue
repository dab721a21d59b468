// The holder is partitioned off with a minority of the voters.
package leases

name: "holder-cut-off"
rounds: 4
steps: [
	{do: "cut", who: "small-side", then: "takeover"},
	{do: "heal", then: "same"},
]
