// Whoever leads is cut off with a minority of the voters, and comes back.
package work

name: "leader-cut-off"
steps: [
	{do: "plan", text: "{\"servers\": {\"all\": true}}"},
	{do: "until", text: "at work"},
	{do: "cut", who: "small-side"},
	{do: "wait", lasts: "3s"},
	{do: "heal"},
]
