// One of three voters is replaced by another, process by process, in two versions of the set of voters.
package leases

name: "voters-changed"
rounds: 1
steps: [
	{do: "start", who: "2", version: 2, voters: [0, 1, 3], previous: [[0, 1, 2]]},
	{do: "wait", lasts: "500ms"},
	{do: "start", who: "3"},
	{do: "wait", lasts: "500ms"},
	{do: "start", who: "0"},
	{do: "wait", lasts: "1500ms"},
	{do: "start", who: "1"},
	{do: "start", who: "4"},
	{do: "wait", lasts: "900ms"},
	{do: "kill", then: "takeover"},
	{do: "start", who: "same"},
	{do: "wait", lasts: "900ms"},
	{do: "start", who: "0", version: 3, voters: [0, 1, 3]},
	{do: "wait", lasts: "500ms"},
	{do: "start", who: "1"},
	{do: "wait", lasts: "500ms"},
	{do: "start", who: "2"},
	{do: "wait", lasts: "500ms"},
	{do: "start", who: "3"},
	{do: "wait", lasts: "500ms"},
	{do: "start", who: "4"},
	{do: "wait", lasts: "900ms"},
	{do: "kill", then: "takeover"},
	{do: "start", who: "same"},
]
