// A newer process replaces the holder and takes over its lease; then a voter is replaced.
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
