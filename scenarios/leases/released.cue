// The holder releases its lease, and other poolers acquire it.
package leases

name: "released"
rounds: 6
steps: [
	{do: "release", then: "takeover"},
]
