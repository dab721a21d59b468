// What may stand in a scenario. Records are closed: a field that is not named here is an error.
package scenario

#Duration: =~"^[0-9]{1,9}(us|ms|s|m)$"
// Whom a trouble befalls: the primary, a replica by number, a share of all boxes, or a share of the poolers.
#Whom: =~"^(primary|replica [0-9]{1,3}|boxes 0\\.[0-9]{1,3}|boxes 1|poolers 0\\.[0-9]{1,3}|poolers 1)$"

// Something that goes wrong, or is done.
#Trouble: {
	at!:   #Duration
	what!: "crash" | "pause" | "slow" | "lag" | "drain" | "surge"
	who!:  #Whom
	// The groups, where a primary or a replica is named: the first so many.
	groups: int & >=1 & <=100000 | *1
	// After that it is over: the process is back, the pause ends. Left out: it lasts.
	lasts?: #Duration
	// How much slower, or how much more is asked.
	factor: number & >=1 & <=1000 | *10
	// One after the other, this far apart.
	apart: #Duration | *"0ms"
}

#Fleet: {
	groups:  int & >=1 & <=10000 | *1
	members: int & >=1 & <=64 | *6
	poolers: int & >=1 & <=10000 | *4
	zones:   int & >=1 & <=64 | *3
	// How many groups a pooler serves; 0 is all.
	reach: int & >=0 & <=10000 | *0
	// Whether an operator told poolers how long changes of primary take.
	expected: bool | *false
}

#Box: {
	cores:    int & >=1 & <=256 | *4
	speed:    number & >=0.01 & <=100 | *1.2
	room:     int & >=1 & <=100000 | *64
	crowding: number & >=0 & <=10 | *0.3
	// Boxes differ in speed by this share.
	spread: number & >=0 & <=0.9 | *0.25
	ship:   #Duration | *"8ms"
	apply:  #Duration | *"5ms"
	detect: #Duration | *"2200ms"
	elect:  #Duration | *"2s"
	switch: #Duration | *"600ms"
	report: #Duration | *"150ms"
}

#Traffic: {
	// Requests a second, all together; 0 is what keeps the fleet at 'load'.
	rate: number & >=0 & <=10000000 | *0
	load: number & >=0.01 & <=10 | *0.6
	// How long clients ask.
	lasts:    #Duration | *"40s"
	sessions: int & >=1 & <=100000000 | *2000
	// How uneven sessions are: the exponent of a Zipf distribution.
	zipf: number & >=0 & <=5 | *0.9
	// Retries of a refused or failed request that may be asked again.
	retries: int & >=0 & <=5 | *1
}

#Network: {
	same:  #Duration | *"200us"
	cross: #Duration | *"1ms"
	// The list tells of a change after this at the least and at the most.
	list_least: #Duration | *"800ms"
	list_most:  #Duration | *"4600ms"
}

// What has to come out.
#Checks: {
	served: number & >=0 & <=1 | *0
	writes: number & >=0 & <=1 | *0
}

name!:   =~"^[a-z0-9-]{1,64}$"
seed:    int & >=0 & <=4294967295 | *1
fleet:   #Fleet
box:     #Box
traffic: #Traffic
network: #Network
troubles: [...#Trouble]
checks:  #Checks
