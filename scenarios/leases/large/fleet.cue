// Three hundred poolers request the lease at the same moment; holders die.
package leases

name: "fleet"
poolers: 300
term: "5s"
lasts: "100ms"
every: "200ms"
rounds: 5
steps: [
	{do: "seize", who: "all"},
	{do: "kill", then: "takeover"},
	{do: "start", who: "same"},
]
