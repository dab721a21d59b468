// Poolers, the leader included, are replaced by newer processes during the plan.
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
