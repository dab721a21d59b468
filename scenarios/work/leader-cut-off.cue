// The leader is partitioned off with a minority of the voters, and the partition heals.
package work

name: "leader-cut-off"
steps: [
	{do: "plan", text: "{\"servers\": {\"all\": true}}"},
	{do: "until", text: "at work"},
	{do: "cut", who: "small-side"},
	{do: "wait", lasts: "3s"},
	{do: "heal"},
]
