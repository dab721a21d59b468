// Two of three voters die: after one term nobody acts any more. They return with empty memory.
package leases

name: "majority-lost"
rounds: 3
steps: [
	{do: "kill", who: "0"},
	{do: "kill", who: "1", then: "nobody", lasts: "800ms"},
	{do: "start", who: "0"},
	{do: "start", who: "1", then: "takeover"},
]
