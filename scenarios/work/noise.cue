// A fifth of all datagrams is lost; others are duplicated, delayed or corrupted.
package work

name: "noise"
steps: [
	{do: "noise", count: 200},
	{do: "plan", text: "{\"servers\": {\"all\": true}}"},
]
