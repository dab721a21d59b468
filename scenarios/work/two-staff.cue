// Two operators submit overlapping plans to two poolers at once: exactly one plan is accepted.
package work

name: "two-staff"
steps: [
	{do: "plan", who: "1", text: "{\"servers\": {\"zone\": \"a\"}}"},
	{do: "plan", who: "3", text: "{\"servers\": {\"all\": true}}", status: 409},
]
