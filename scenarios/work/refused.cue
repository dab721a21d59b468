// Plans and calls that are invalid or impossible are refused at once, with the reason.
package work

name: "refused"
steps: [
	{do: "plan", text: "{\"servers\": {\"ids\": [\"s99\"]}}", status: 400},
	{do: "plan", text: "{\"servers\": {\"ids\": []}}", status: 400},
	{do: "plan", text: "{}", status: 400},
	{do: "plan", text: "{\"servers\": {\"ids\": [\"s01\", \"s01\"]}}", status: 400},
	{do: "plan", text: "{\"servers\": {\"all\": true}, \"poolers\": {\"all\": true}}", status: 400},
	{do: "plan", text: "{\"poolers\": {\"numbers\": [77]}}", status: 400},
	{do: "plan", text: "nonsense", status: 400},
	{do: "call", text: "s01/begin", status: 404},
	{do: "call", text: "pause", status: 404},
	{do: "plan", text: "{\"servers\": {\"ids\": [\"s01\"]}}"},
	{do: "call", text: "s02/begin", status: 404},
]
