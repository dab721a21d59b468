// Whoever leads dies after 36 letters of a plan for one machine: somebody else goes on where it was.
package work

name: "dies-after-36"
steps: [
	{do: "plan", text: "{\"servers\": {\"ids\": [\"s01\"]}}"},
	{do: "die-after", count: 36},
	{do: "wait", lasts: "500ms"},
	{do: "start", who: "same"},
]
