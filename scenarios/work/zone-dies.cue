// A whole zone fails while machines are out.
package work

name: "zone-dies"
groups: 3
served: 300
steps: [
	{do: "plan", text: "{\"servers\": {\"all\": true}}"},
	{do: "until", text: "at work"},
	{do: "fell", what: "zone-c"},
	{do: "wait", lasts: "5s"},
	{do: "raise", what: "zone-c"},
]
