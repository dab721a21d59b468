// The lease is handed over to a pooler that has just died.
package leases

name: "handed-to-the-dead"
rounds: 3
steps: [
	{do: "kill", who: "4"},
	{do: "wait", lasts: "900ms"},
	{do: "hand", to: "4", then: "takeover"},
	{do: "start", who: "4"},
]
