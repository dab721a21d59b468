// The leader is killed repeatedly while machines are out.
package work

name: "leader-killed"
steps: [
	{do: "plan", text: "{\"servers\": {\"all\": true}}"},
	{do: "until", text: "at work"},
	{do: "kill", who: "leader"},
	{do: "wait", lasts: "2s"},
	{do: "start", who: "same"},
	{do: "until", text: "out"},
	{do: "kill", who: "leader"},
	{do: "wait", lasts: "2s"},
	{do: "start", who: "same"},
	{do: "until", text: "out"},
	{do: "kill", who: "leader"},
	{do: "start", who: "same"},
]
