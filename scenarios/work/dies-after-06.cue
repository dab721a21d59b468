// The leader dies after it has sent 6 datagrams of a plan for one machine: another pooler continues from there.
package work

name: "dies-after-06"
steps: [
	{do: "plan", text: "{\"servers\": {\"ids\": [\"s01\"]}}"},
	{do: "die-after", count: 6},
	{do: "wait", lasts: "500ms"},
	{do: "start", who: "same"},
]
