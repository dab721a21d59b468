// Nobody else becomes primary: the primaries are left out, with the reason, and the rest is done.
package work

name: "hand-over-fails"
left: 2
work: "every: \"100ms\", term: \"600ms\", cold: \"400ms\", handing: \"2s\", servers: {all: 2, zone: 2, zones: 1}"
steps: [
	{do: "deny-handover"},
	{do: "plan", text: "{\"servers\": {\"all\": true}}"},
]
