// A server of the plan is reachable from one side of the fleet only.
package work

name: "one-side"
ways: true
served: 700
steps: [
	{do: "cut-ways", who: "small-side", what: "s01"},
	{do: "plan", text: "{\"servers\": {\"all\": true}}"},
	{do: "wait", lasts: "3s"},
	{do: "heal"},
]
