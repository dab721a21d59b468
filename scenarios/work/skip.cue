// A machine is left out by hand, one before its turn and one in it.
package work

name: "skip"
left: 2
steps: [
	{do: "plan", text: "{\"servers\": {\"all\": true}}"},
	// At who took the plan: another pooler may not have heard of it yet, and rightly says that there is none.
	{do: "call", who: "same", text: "@/skip", what: "s12"},
	{do: "stop", who: "4"},
	{do: "until", text: "leaving"},
	{do: "call", who: "0", text: "@/skip", what: "out"},
	{do: "go", who: "4"},
]
