// One pooler does not support maintenance work yet: the step waits until it is replaced by one that does.
package work

name: "old-version"
old: [4]
steps: [
	{do: "plan", who: "0", text: "{\"servers\": {\"ids\": [\"s01\"]}}"},
	{do: "until", text: "leaving"},
	{do: "wait", lasts: "2s"},
	{do: "call", who: "0", text: "@/begin", what: "s01", status: 409},
	{do: "call", who: "0", text: "@/skip", what: "s01"},
]
left: 1
