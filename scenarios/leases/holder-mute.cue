// Nothing that the holder sends arrives, though it hears all.
package leases

name: "holder-mute"
rounds: 4
steps: [
	{do: "cut", way: "out", then: "takeover"},
	{do: "heal"},
]
