// The leader is suspended and resumes after another pooler has taken over; it must never act on outdated state.
package work

name: "leader-stopped"
steps: [
	{do: "plan", text: "{\"servers\": {\"all\": true}}"},
	{do: "until", text: "at work"},
	{do: "stop", who: "leader"},
	{do: "wait", lasts: "3s"},
	{do: "go", who: "same"},
]
