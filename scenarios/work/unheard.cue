// An unreachable pooler may still be sending requests: the step waits for it, by name, and continues when it is
// heard again.
package work

name: "unheard"
steps: [
	{do: "stop", who: "4"},
	{do: "plan", who: "0", text: "{\"servers\": {\"ids\": [\"s01\"]}}"},
	{do: "until", text: "leaving"},
	{do: "wait", lasts: "2s"},
	{do: "call", who: "0", text: "@/begin", what: "s01", status: 409},
	{do: "go", who: "4"},
]
