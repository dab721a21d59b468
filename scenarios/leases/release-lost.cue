// A release message is lost: the other poolers wait for one term.
package leases

name: "release-lost"
rounds: 4
steps: [
	{do: "cut", way: "out"},
	{do: "release"},
	{do: "heal", then: "takeover"},
]
