// The holder gives the task up, and others take it.
package leases

name: "released"
rounds: 6
steps: [
	{do: "release", then: "takeover"},
]
