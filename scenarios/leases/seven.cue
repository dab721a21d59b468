// Seven poolers and five voters; two voters die.
package leases

name: "seven"
poolers: 7
voters: [0, 1, 2, 3, 4]
rounds: 4
steps: [
	{do: "kill", then: "takeover"},
	{do: "start", who: "same"},
	{do: "kill", who: "voter"},
	{do: "kill", then: "takeover"},
	{do: "start", who: "all", then: "takeover"},
]
