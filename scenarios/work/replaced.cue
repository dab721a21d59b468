// Newer processes take the place of poolers during the plan, of who leads too.
package work

name: "replaced"
lasts: "800ms"
steps: [
	{do: "plan", text: "{\"servers\": {\"all\": true}}"},
	{do: "until", text: "out"},
	{do: "replace", who: "4"},
	{do: "until", text: "at work"},
	{do: "replace", who: "leader"},
]
