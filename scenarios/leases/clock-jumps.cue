// The clock of a pooler jumps forward by two lease terms.
package leases

name: "clock-jumps"
late_acts: true
rounds: 2
steps: [
	{do: "start", who: "3", bend: "jump=700:800"},
	{do: "start", who: "0", bend: "jump=900:800"},
	{do: "wait", lasts: "600ms"},
	{do: "kill", then: "takeover"},
	{do: "start", who: "same"},
]
