// What may stand in a scenario. Records are closed: a field that is not named here is an error.
package scenario

#Duration: =~"^[0-9]{1,9}(us|ms|s|m)$"
// Whom a trouble befalls: the primary, a replica by number, a share of all boxes, a share of the poolers, or the list.
#Whom: =~"^(primary|replica [0-9]{1,3}|boxes 0\\.[0-9]{1,3}|boxes 1|poolers 0\\.[0-9]{1,3}|poolers 1|list)$"

// Something that goes wrong, or is done.
#Trouble: {
	at!:   #Duration
	what!: "crash" | "pause" | "hang" | "slow" | "lag" | "drain" | "deploy" | "surge" | "stale" | "overbook"
	who!:  #Whom
	// The groups, where a primary or a replica is named: the first so many.
	groups: int & >=1 & <=100000 | *1
	// After that it is over: the process is back, the pause ends. Left out: it lasts.
	lasts?: #Duration
	// How much slower, how much more is asked, or by how many seconds the list runs further behind.
	factor: number & >=1 & <=1000 | *10
	// One after the other, this far apart.
	apart: #Duration | *"0ms"
	// A deploy: from the end of a process until its successor runs.
	away: #Duration | *"1s"
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
	// Whether a second copy may be sent while the first runs, and whether what poolers call off is told to have ended. Boxes
	// work on in either case.
	second_copies: bool | *false
	cancels:       bool | *false
	// Nothing new to a box later than this after its drain was told.
	grace: #Duration | *"250ms"
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
	// Whether reports tell how many requests wait, too.
	report_queue: bool | *false
	// Beyond so many held for each core work takes longer; by this part of itself from twice as many on.
	thrash_at: number & >=0.1 & <=1000 | *4
	thrash:    number & >=0 & <=10 | *0
	// What a probe and a handshake cost the box in work, and how long a handshake takes beside its round trips.
	probe_work:     #Duration | *"0ms"
	handshake_work: #Duration | *"0ms"
	handshake:      #Duration | *"2ms"
	// Whether a box turns away a read that it is too far behind for.
	checks: bool | *false
	// The share of its capacity that a box starts with, and when it is warm; it falls when it is sent more than so many
	// times its capacity for so long.
	cold_from:     number & >=0.01 & <=1 | *0.16
	cold_in:       #Duration | *"16s"
	fall_multiple: number & >=1 & <=100 | *2.5
	fall_for:      #Duration | *"3s"
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
	// A session's read says when its last write was committed; without it poolers remember.
	tokens_carried: bool | *false
	// What is beyond its tenant's share is worth this part of the usual; all shares together are this part of what the
	// fleet can do.
	over_share: number & >=0 & <=1 | *1
	quota:      number & >=0.01 & <=10 | *0.85
}

// What clients do that are refused, failed or not answered.
#Clients: {
	// They wait as long each time, or twice as long each time: between these.
	wait:       "fixed" | "exponential" | *"fixed"
	wait_least: #Duration | *"10ms"
	wait_most:  #Duration | *"80ms"
	// The share of clients that stay away for as long as they are told to.
	heeds: number & >=0 & <=1 | *1
	// A try is given up after this part of the class's deadline at the least, and after all of it at the most.
	patience: number & >=0.05 & <=1 | *1
}

// A class of requests. The last of a scenario's is the one of writes.
#Class: {
	name!: =~"^[a-z0-9-]{1,64}$"
	need!: "any" | "bounded" | "session" | "fresh" | "write"
	// For 'bounded': no older than this when it is sent.
	bound: #Duration | *"1s"
	// Its part of all requests, beside those of the others.
	share!: number & >0 & <=1000
	// The mean work on a standard core, how it is spread, and for 'lognormal' the deviation as a part of the mean.
	work!:  #Duration
	spread: "exponential" | "lognormal" | *"exponential"
	cv:     number & >0 & <=5 | *1
	aim!:      #Duration
	deadline!: #Duration
	worth:      number & >=0 & <=1000 | *1
	late_worth: number & >=0 & <=1 | *0
	// It must never run twice.
	once: bool | *false
}

// A customer: its part of what all may ask, and what it asks as a multiple of that.
#Tenant: {
	name!:  =~"^[a-z0-9-]{1,64}$"
	share!: number & >0 & <=1
	usage:  number & >0 & <=100 | *1
}

// The list of boxes.
#List: {
	// One service for all poolers that has to be asked; else it tells unasked.
	asked: bool | *false
	// What a call takes it, one after another; a call fails that has waited longer; news go out so often.
	call:  #Duration | *"300ms"
	wait:  #Duration | *"2s"
	every: #Duration | *"500ms"
	// Whether it shows who is primary.
	roles: bool | *true
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
	// Worth served within the aims, of what was asked for: in the whole run, and in its worst 10 s.
	service: number & >=0 & <=1 | *0
	worst:   number & >=0 & <=1 | *0
}

name!:   =~"^[a-z0-9-]{1,64}$"
seed:    int & >=0 & <=4294967295 | *1
fleet:   #Fleet
box:     #Box
traffic: #Traffic
network: #Network
clients: #Clients
list:    #List
// Left out: five classes of a portal.
classes: [...#Class]
tenants: [...#Tenant]
// 'full' records the tries of each client and the way of each job through its box, too, and holds them to more rules.
audit: "usual" | "full" | *"usual"
troubles: [...#Trouble]
checks:  #Checks
