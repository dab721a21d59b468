// The load rises sharply during the plan, beyond the capacity of a reduced group: no further machine goes out until
// it drops.
package work

name: "load-doubles"
groups: 2
clients: 4
work: "every: \"100ms\", term: \"600ms\", cold: \"400ms\", handing: \"5s\", servers: {all: 2, zone: 2, zones: 1}, spare: 1.0, capacity: [{machine: \"m\", requests: 150}]"
steps: [
	{do: "plan", text: "{\"servers\": {\"all\": true}}"},
	{do: "until", text: "at work"},
	{do: "load", count: 300},
	{do: "wait", lasts: "4s"},
	{do: "load", count: 50},
]
