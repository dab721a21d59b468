// Another server of the plan's group dies while one is out; what has not been touched comes back, and it goes on once it is raised.
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
