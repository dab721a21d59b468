// One pooler has another version of the set of voters: its datagrams are refused.
package leases

name: "unlike-versions"
rounds: 3
steps: [
	{do: "start", who: "3", version: 9},
	{do: "kill", then: "takeover"},
	{do: "start", who: "same"},
]
