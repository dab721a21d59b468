// A pooler has the voters of another version: it is not heard.
package leases

name: "unlike-versions"
rounds: 3
steps: [
	{do: "start", who: "3", version: 9},
	{do: "kill", then: "takeover"},
	{do: "start", who: "same"},
]
