// No replica takes over as primary: the primaries are skipped with the reason, and all other machines are worked on.
package work

name: "hand-over-fails"
left: 2
work: "every: \"100ms\", term: \"600ms\", cold: \"400ms\", handing: \"2s\", servers: {all: 2, zone: 2, zones: 1}"
steps: [
	{do: "deny-handover"},
	{do: "plan", text: "{\"servers\": {\"all\": true}}"},
]
