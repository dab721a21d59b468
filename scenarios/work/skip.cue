// A machine is left out by hand, one before its turn and one in it.
package work

name: "skip"
left: 2
steps: [
	{do: "plan", text: "{\"servers\": {\"all\": true}}"},
	{do: "call", text: "@/skip", what: "s12"},
	{do: "stop", who: "4"},
	{do: "until", text: "leaving"},
	{do: "call", who: "0", text: "@/skip", what: "out"},
	{do: "go", who: "4"},
]
