// Half of all datagrams come again, up to a second and a half later, while holders die.
package leases

name: "old-grants-doubled"
rounds: 5
steps: [
	{do: "noise", doubled: 500, late: 30},
	{do: "kill", then: "takeover"},
	{do: "start", who: "same"},
]
