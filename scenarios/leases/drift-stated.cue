// Clocks run fast and slow by the configured maximum drift.
package leases

name: "drift-stated"
rounds: 3
steps: [
	{do: "start", who: "0", bend: "rate=1.05"},
	{do: "start", who: "1", bend: "rate=0.95"},
	{do: "start", who: "3", bend: "rate=0.95"},
	{do: "start", who: "4", bend: "rate=0.95"},
	{do: "wait", lasts: "500ms"},
	{do: "kill", then: "takeover"},
	{do: "start", who: "same"},
	{do: "cut", who: "small-side", then: "takeover"},
	{do: "heal"},
]
