// Whoever leads is stopped, and goes on after another has taken over; it never acts on what is old.
package work

name: "leader-stopped"
steps: [
	{do: "plan", text: "{\"servers\": {\"all\": true}}"},
	{do: "until", text: "at work"},
	{do: "stop", who: "leader"},
	{do: "wait", lasts: "3s"},
	{do: "go", who: "same"},
]
