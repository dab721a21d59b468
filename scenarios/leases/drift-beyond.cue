// Poolers that are no voters have clocks at half the speed, far beyond what was stated: the gate alone holds.
package leases

name: "drift-beyond"
late_acts: true
rounds: 2
steps: [
	{do: "start", who: "3", bend: "rate=0.5"},
	{do: "start", who: "4", bend: "rate=0.5"},
	{do: "wait", lasts: "700ms"},
	{do: "kill"},
	{do: "wait", lasts: "1200ms"},
	{do: "cut", then: "takeover"},
	{do: "heal"},
	{do: "start", who: "0"},
	{do: "start", who: "1"},
	{do: "start", who: "2"},
	{do: "wait", lasts: "900ms"},
]
