// The task is handed to a pooler that is named.
package leases

name: "handed-over"
rounds: 6
steps: [
	{do: "hand", to: "other", then: "takeover"},
]
