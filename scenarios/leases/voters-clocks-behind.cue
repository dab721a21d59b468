// All voters restart, and the clock of one of the three is an hour behind.
package leases

name: "voters-clocks-behind"
rounds: 2
steps: [
	{do: "kill", who: "1"},
	{do: "kill", who: "2"},
	{do: "start", who: "0", bend: "wall=-3600000"},
	{do: "start", who: "1"},
	{do: "start", who: "2", then: "takeover"},
]
