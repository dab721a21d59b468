// The clock of a pooler that is not a voter runs at half speed, far beyond the configured drift: only the gate
// protects.
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
