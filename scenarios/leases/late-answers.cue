// Datagrams are delayed by up to one and a half terms, so that answers arrive after the term; then the network
// recovers.
package leases

name: "late-answers"
rounds: 3
steps: [
	{do: "noise", late: 600},
	{do: "kill"},
	{do: "wait", lasts: "1500ms"},
	{do: "noise"},
	{do: "start", who: "same"},
	{do: "wait", lasts: "900ms"},
	{do: "kill", then: "takeover"},
	{do: "start", who: "same"},
]
