// One pooler has another key: its datagrams are refused, and it takes no part.
package leases

name: "wrong-key"
rounds: 3
steps: [
	{do: "start", who: "4", key: "a key of somebody else, and longer"},
	{do: "kill", then: "takeover"},
	{do: "start", who: "same"},
	{do: "start", who: "4"},
]
