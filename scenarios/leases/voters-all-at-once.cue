// All voters restart at once with empty memory; later all poolers do.
package leases

name: "voters-all-at-once"
rounds: 2
steps: [
	{do: "start", who: "voters", then: "takeover"},
	{do: "start", who: "all", then: "takeover"},
]
