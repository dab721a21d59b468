// What may stand in a script of leases. Records are closed: a field that is not named here is an error.
package leases

#Duration: =~"^[0-9]{1,7}(ms|s)$"
#Number:   int & >=0 & <=999
// Poolers by number, or by what they are at that moment: who acts, a voter or another pooler that does not act, all voters,
// who acts and a minority of the voters, those that the step before named, everybody.
#Whom: =~"^([0-9]{1,3}|holder|voter|other|voters|small-side|same|all)$"

#Step: {
	do!: "start" | "kill" | "end" | "stop" | "go" | "cut" | "heal" | "noise" | "release" | "hand" | "hold-gate" | "wait" | "seize" | "twin" | "replace"
	who: #Whom | *"holder"
	// 'hand': to whom. The next act must be this pooler's, unless it is dead.
	to: #Whom | *"other"
	// 'cut': which way nothing passes.
	way: "in" | "out" | *"both"
	// 'wait': so long; 'hold-gate': calls of these poolers come so much later.
	lasts: #Duration | *"0ms"
	// 'noise', in parts of a thousand, and milliseconds.
	lost:    int & >=0 & <=1000 | *0
	doubled: int & >=0 & <=1000 | *0
	flipped: int & >=0 & <=1000 | *0
	late:    int & >=0 & <=5000 | *0
	// 'start': a clock that runs wrong, as the daemon's debug build reads it, and another version, voters or key.
	bend:    string | *""
	version: int & >=0 & <=999 | *0
	key:     string | *""
	// 'start': these voters, and those before them, here and in all starts that follow.
	voters: [...#Number] | *[]
	previous: [...[...#Number]] | *[]
	// What must follow: somebody acts with a new token; the same goes on; nobody begins an act, one term later, for so long.
	then: *"" | "takeover" | "same" | "nobody"
}

name!:  string
seed:   int & >=0 | *1
poolers: int & >=3 & <=400 | *5
voters:  [...#Number] | *[0, 1, 2]
previous: [...[...#Number]] | *[]
term:   #Duration | *"400ms"
drift:  int & >=0 & <=500 | *50
// An act lasts so long, and so long it is until the next.
lasts: #Duration | *"40ms"
every: #Duration | *"20ms"
// The steps are done so often.
rounds: int & >=1 & <=100 | *1
// Acts of an old token may come to the gate, since a process is stopped or a clock runs beyond what was stated.
late_acts: bool | *false
// The gate turns older tokens away; not so where it is shown what a lease can't give by itself.
gate: bool | *true
steps!: [...#Step]
