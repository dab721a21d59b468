// One-way partition: the holder receives nothing, but what it sends arrives.
package leases

name: "holder-deaf"
rounds: 4
steps: [
	{do: "cut", way: "in", then: "takeover"},
	{do: "heal"},
]
