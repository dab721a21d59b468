// The holder hands its lease over to a named pooler.
package leases

name: "handed-over"
rounds: 6
steps: [
	{do: "hand", to: "other", then: "takeover"},
]
