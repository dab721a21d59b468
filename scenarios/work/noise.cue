// A fifth of all datagrams is lost, others come twice, late or altered.
package work

name: "noise"
steps: [
	{do: "noise", count: 200},
	{do: "plan", text: "{\"servers\": {\"all\": true}}"},
]
