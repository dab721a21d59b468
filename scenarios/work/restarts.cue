// All poolers are restarted during the plan, a tenth of them at a time.
package work

name: "restarts"
poolers: 10
steps: [
	{do: "plan", text: "{\"servers\": {\"all\": true}}"},
	{do: "start", who: "tenth"}, {do: "wait", lasts: "700ms"},
	{do: "start", who: "tenth"}, {do: "wait", lasts: "700ms"},
	{do: "start", who: "tenth"}, {do: "wait", lasts: "700ms"},
	{do: "start", who: "tenth"}, {do: "wait", lasts: "700ms"},
	{do: "start", who: "tenth"}, {do: "wait", lasts: "700ms"},
	{do: "start", who: "tenth"}, {do: "wait", lasts: "700ms"},
	{do: "start", who: "tenth"}, {do: "wait", lasts: "700ms"},
	{do: "start", who: "tenth"}, {do: "wait", lasts: "700ms"},
	{do: "start", who: "tenth"}, {do: "wait", lasts: "700ms"},
	{do: "start", who: "tenth"},
]
