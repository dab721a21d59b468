// The voters restart one by one; the holder keeps its lease unless it is the voter that restarts.
package leases

name: "voters-one-by-one"
rounds: 2
steps: [
	{do: "start", who: "0"},
	{do: "wait", lasts: "600ms"},
	{do: "start", who: "1"},
	{do: "wait", lasts: "600ms"},
	{do: "start", who: "2"},
	{do: "wait", lasts: "600ms"},
	{do: "kill", then: "takeover"},
	{do: "start", who: "same"},
]
