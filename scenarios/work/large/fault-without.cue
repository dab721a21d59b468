// The large fleet without a plan, with a server that crashes and comes back up.
package work

name: "large-fault-without"
poolers: 24
voters: [0, 5, 10, 15, 20]
groups: 6
members: 3
clients: 3
pause: "100ms"
lasts: "2s"
all: 3
zone: 3
work: "every: \"200ms\", term: \"800ms\", cold: \"400ms\", handing: \"5s\", servers: {all: 3, zone: 3, zones: 1}"
served: 900
ends: false
steps: [
	{do: "wait", lasts: "3s"},
	{do: "fell", what: "s11"},
	{do: "wait", lasts: "6s"},
	{do: "raise", what: "s11"},
	{do: "wait", lasts: "15s"},
]
