// The plan is cancelled half way: work under way is finished and its machines return; no other machine goes out.
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
