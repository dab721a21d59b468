// The clock of a pooler that is no voter runs at half the speed, far beyond what was stated: the gate alone holds.
package leases

name: "drift-beyond"
late_acts: true
rounds: 3
steps: [
	{do: "start", who: "3", bend: "rate=0.5"},
	{do: "wait", lasts: "900ms"},
	{do: "hand", to: "3"},
	{do: "wait", lasts: "500ms"},
	{do: "cut", who: "3", then: "takeover"},
	{do: "wait", lasts: "500ms"},
	{do: "heal"},
	{do: "wait", lasts: "500ms"},
]
