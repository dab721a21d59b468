// Half of all datagrams are delivered a second time, up to 1.5 s later, while holders die.
package leases

name: "old-grants-doubled"
rounds: 5
steps: [
	{do: "noise", doubled: 500, late: 30},
	{do: "kill", then: "takeover"},
	{do: "start", who: "same"},
]
