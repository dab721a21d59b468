// A release is lost on its way: the others wait for a term.
package leases

name: "release-lost"
rounds: 4
steps: [
	{do: "cut", way: "out"},
	{do: "release"},
	{do: "heal", then: "takeover"},
]
