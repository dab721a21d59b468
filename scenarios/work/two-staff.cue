// Two of the staff start plans that overlap, at two poolers at once: one is taken.
package work

name: "two-staff"
steps: [
	{do: "plan", who: "1", text: "{\"servers\": {\"zone\": \"a\"}}"},
	{do: "plan", who: "3", text: "{\"servers\": {\"all\": true}}", status: 409},
]
