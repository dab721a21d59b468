// Two machines are skipped by hand, one before its turn and one during it.
package work

name: "skip"
left: 2
steps: [
	{do: "plan", text: "{\"servers\": {\"all\": true}}"},
	// Sent to the pooler that accepted the plan: another one may not have received it yet and would rightly answer that
	// there is none.
	{do: "call", who: "same", text: "@/skip", what: "s12"},
	{do: "stop", who: "4"},
	{do: "until", text: "leaving"},
	{do: "call", who: "0", text: "@/skip", what: "out"},
	{do: "go", who: "4"},
]
