// A second process of the name and number of one that runs.
package leases

name: "two-of-one-name"
rounds: 2
steps: [
	{do: "twin", who: "other"},
	{do: "kill", then: "takeover"},
	{do: "start", who: "same"},
	{do: "twin", who: "holder"},
	{do: "release", then: "takeover"},
	{do: "kill", who: "same", then: "takeover"},
	{do: "start", who: "same"},
]
