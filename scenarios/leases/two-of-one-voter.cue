// A second process runs under the name and number of a voter and receives all of its datagrams: the gate must reject
// old tokens.
package leases

name: "two-of-one-voter"
late_acts: true
rounds: 3
steps: [
	{do: "twin", who: "1"},
	{do: "wait", lasts: "900ms"},
	{do: "hand", to: "1"},
	{do: "wait", lasts: "900ms"},
	{do: "release"},
	{do: "wait", lasts: "900ms"},
	{do: "start", who: "1"},
	{do: "wait", lasts: "900ms"},
]
