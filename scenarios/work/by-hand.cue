// A server that was taken out by hand stays out after the plan has finished with it.
package work

name: "by-hand"
steps: [
	{do: "by-hand", what: "s01", text: "disable"},
	{do: "wait", lasts: "1s"},
	{do: "plan", text: "{\"servers\": {\"ids\": [\"s02\", \"s10\"]}}"},
	{do: "wait", lasts: "1s"},
	{do: "by-hand", what: "s01", text: "enable"},
]
