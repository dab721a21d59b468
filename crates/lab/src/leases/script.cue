// Schema of a lease script. Records are closed: a field that is not declared here is an error.
package leases

#Duration: =~"^[0-9]{1,7}(ms|s)$"
#Number:   int & >=0 & <=999
// Poolers by number or by their current role: the holder, a voter or any other pooler that is not the holder, all
// voters, the holder with a minority of the voters, the targets of the previous step, all poolers.
#Whom: =~"^([0-9]{1,3}|holder|voter|other|voters|small-side|same|all)$"

#Step: {
	do!: "start" | "kill" | "end" | "stop" | "go" | "cut" | "heal" | "noise" | "release" | "hand" | "hold-gate" | "wait" | "seize" | "twin" | "replace"
	who: #Whom | *"holder"
	// 'hand': the successor. The next act must be this pooler's, unless it is dead.
	to: #Whom | *"other"
	// 'cut': the direction in which datagrams are dropped.
	way: "in" | "out" | *"both"
	// 'wait': the duration; 'hold-gate': the delay of these poolers' calls to the gate.
	lasts: #Duration | *"0ms"
	// 'noise': datagrams lost, duplicated and corrupted, per thousand; maximum delay in milliseconds.
	lost:    int & >=0 & <=1000 | *0
	doubled: int & >=0 & <=1000 | *0
	flipped: int & >=0 & <=1000 | *0
	late:    int & >=0 & <=5000 | *0
	// 'start': a clock error in the format that the daemon's debug build reads; another version or key.
	bend:    string | *""
	version: int & >=0 & <=999 | *0
	key:     string | *""
	// 'start': the voters and the earlier sets of voters, for this start and all later ones.
	voters: [...#Number] | *[]
	previous: [...[...#Number]] | *[]
	// What must follow: a pooler acts with a new token; the same holder continues; after one term, no act begins for
	// `lasts`.
	then: *"" | "takeover" | "same" | "nobody"
}

name!:  string
seed:   int & >=0 | *1
poolers: int & >=3 & <=400 | *5
voters:  [...#Number] | *[0, 1, 2]
previous: [...[...#Number]] | *[]
term:   #Duration | *"400ms"
drift:  int & >=0 & <=500 | *50
// Duration of an act, and the pause before the next one.
lasts: #Duration | *"40ms"
every: #Duration | *"20ms"
// Number of times that the steps are repeated.
rounds: int & >=1 & <=100 | *1
// Acts with an old token may reach the gate, because a process is suspended or a clock exceeds the configured drift.
late_acts: bool | *false
// Whether the gate rejects older tokens. Off in scripts that show what a lease cannot guarantee without fencing.
gate: bool | *true
steps!: [...#Step]
