// A replica of another group in the plan crashes while a machine is out; machines that were taken out but not yet
// worked on return, and the plan continues once the replica is up again.
package work

name: "server-dies"
groups: 3
served: 800
steps: [
	{do: "plan", text: "{\"servers\": {\"all\": true}}"},
	{do: "until", text: "at work"},
	{do: "fell", what: "spared"},
	{do: "wait", lasts: "4s"},
	{do: "raise", what: "zone-a"},
	{do: "raise", what: "zone-b"},
	{do: "raise", what: "zone-c"},
]
