// The large fleet with a plan, and a server that crashes and comes back up during it.
package work

name: "large-fault"
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
steps: [
	{do: "plan", text: "{\"servers\": {\"all\": true}}"},
	{do: "until", text: "at work"},
	{do: "fell", what: "spared"},
	{do: "wait", lasts: "6s"},
	{do: "raise", what: "zone-a"}, {do: "raise", what: "zone-b"}, {do: "raise", what: "zone-c"},
]
