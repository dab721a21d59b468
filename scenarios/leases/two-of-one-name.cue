// A second process runs under the name and number of a pooler that is not a voter.
package leases

name: "two-of-one-name"
rounds: 3
steps: [
	{do: "twin", who: "3"},
	{do: "twin", who: "4"},
	{do: "wait", lasts: "500ms"},
	{do: "cut", then: "takeover"},
	{do: "heal"},
	{do: "cut", then: "takeover"},
	{do: "heal"},
	{do: "start", who: "3"},
	{do: "start", who: "4"},
	{do: "wait", lasts: "500ms"},
]
