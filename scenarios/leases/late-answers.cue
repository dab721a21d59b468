// Datagrams come up to a term and a half late, so that answers come after the term; then the way is well again.
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
