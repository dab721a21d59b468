// One-way partition: nothing that the holder sends arrives, but it receives everything.
package leases

name: "holder-mute"
rounds: 4
steps: [
	{do: "cut", way: "out", then: "takeover"},
	{do: "heal"},
]
