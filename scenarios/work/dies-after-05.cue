// Whoever leads dies after 5 letters of a plan for one machine: somebody else goes on where it was.
package work

name: "dies-after-05"
steps: [
	{do: "plan", text: "{\"servers\": {\"ids\": [\"s01\"]}}"},
	{do: "die-after", count: 5},
	{do: "wait", lasts: "500ms"},
	{do: "start", who: "same"},
]
