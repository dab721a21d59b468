// The leader dies after it has sent 12 datagrams of a plan for one machine: another pooler continues from there.
package work

name: "dies-after-12"
steps: [
	{do: "plan", text: "{\"servers\": {\"ids\": [\"s01\"]}}"},
	{do: "die-after", count: 12},
	{do: "wait", lasts: "500ms"},
	{do: "start", who: "same"},
]
