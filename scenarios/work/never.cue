// A plan with limits that can never be met is refused at once.
package work

name: "never"
work: "every: \"100ms\", term: \"600ms\", cold: \"400ms\", warm: 2, servers: {all: 2, zone: 2, zones: 1}"
ends: false
steps: [{do: "plan", text: "{\"servers\": {\"all\": true}}", status: 409}]
