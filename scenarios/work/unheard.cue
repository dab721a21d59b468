// A pooler that can't be heard may be alive and sending: the step waits for it, by name, and goes on when it is heard.
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
