// The holder is suspended for longer than its term and resumes in the middle of an act.
package leases

name: "holder-stopped"
late_acts: true
lasts: "150ms"
rounds: 4
steps: [
	{do: "stop", then: "takeover"},
	{do: "go", who: "same", then: "same"},
]
