// Staff confirm that an unreachable pooler is dead, with `force`.
package work

name: "forced"
steps: [
	{do: "kill", who: "4"},
	{do: "plan", who: "0", text: "{\"servers\": {\"ids\": [\"s01\"]}}"},
	{do: "until", text: "leaving"},
	{do: "wait", lasts: "1s"},
	{do: "call", who: "0", text: "@/force", what: "s01"},
	{do: "until", text: "at work"},
	{do: "start", who: "4"},
]
