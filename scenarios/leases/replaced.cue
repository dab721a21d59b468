// A newer process takes the place of the holder, and its task with it; then of a voter.
package leases

name: "replaced"
term: "1500ms"
rounds: 2
steps: [
	{do: "replace", then: "takeover"},
	{do: "replace", who: "voter"},
	{do: "wait", lasts: "1500ms"},
	{do: "kill", then: "takeover"},
	{do: "start", who: "same"},
	{do: "wait", lasts: "1500ms"},
]
