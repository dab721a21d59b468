// The lease expires while a call is in flight: the gate rejects the call.
package leases

name: "act-under-way"
late_acts: true
rounds: 3
steps: [
	{do: "hold-gate", lasts: "1200ms"},
	{do: "wait", lasts: "100ms"},
	{do: "cut", who: "same", then: "takeover"},
	{do: "hold-gate", who: "all"},
	{do: "heal"},
	{do: "wait", lasts: "1300ms"},
]
