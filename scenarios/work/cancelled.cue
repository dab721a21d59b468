// Cancelled half way: what is at work is finished and comes back, nothing else goes.
package work

name: "cancelled"
groups: 4
left: 256
work: "every: \"100ms\", term: \"600ms\", cold: \"400ms\", handing: \"5s\", servers: {all: 2, zone: 2, zones: 1}"
steps: [
	{do: "plan", text: "{\"servers\": {\"all\": true}}"},
	{do: "until", text: "at work", count: 2},
	{do: "call", text: "cancel"},
]
