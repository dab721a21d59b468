// A server does not come up after its work: it stays out, the limits still hold, and the plan continues once it is up.
package work

name: "dies-in-its-turn"
served: 800
steps: [
	{do: "plan", text: "{\"servers\": {\"all\": true}}"},
	{do: "until", text: "at work"},
	{do: "fell", what: "at-work"},
	{do: "until", text: "warming"},
	{do: "wait", lasts: "3s"},
	{do: "until", text: "warming"},
	{do: "raise", what: "zone-a"}, {do: "raise", what: "zone-b"}, {do: "raise", what: "zone-c"},
]
