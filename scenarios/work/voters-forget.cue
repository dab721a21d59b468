// All voters lose their memory at once while machines are out: the other poolers know what is out, and the plan
// continues.
package work

name: "voters-forget"
poolers: 6
steps: [
	{do: "plan", who: "4", text: "{\"servers\": {\"all\": true}}"},
	{do: "hang-worker"},
	{do: "until", text: "at work"},
	{do: "kill", who: "0"}, {do: "kill", who: "1"}, {do: "kill", who: "2"},
	{do: "start", who: "0"}, {do: "start", who: "1"}, {do: "start", who: "2"},
	{do: "until", text: "at work"},
	{do: "free-worker"},
]
