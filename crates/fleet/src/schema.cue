// The schema of scenarios. Records are closed: a field that is not named here is an error.
package scenario

#Duration: =~"^[0-9]{1,9}(us|ms|s|m)$"
// The target of a trouble: the primary, a replica by number, a share of all boxes, a share of the poolers, or the
// list.
#Whom: =~"^(primary|replica [0-9]{1,3}|boxes 0\\.[0-9]{1,3}|boxes 1|poolers 0\\.[0-9]{1,3}|poolers 1|list)$"

// A trouble.
#Trouble: {
	at!:   #Duration
	what!: "crash" | "pause" | "hang" | "slow" | "lag" | "drain" | "deploy" | "surge" | "stale" | "overbook"
	who!:  #Whom
	// With a primary or a replica as the target: the number of groups affected, from the first.
	groups: int & >=1 & <=100000 | *1
	// How long it lasts, until the process is back or the pause is over. Without it the trouble does not end.
	lasts?: #Duration
	// How many times slower, how many times more requests, or by how many seconds the list is further behind.
	factor: number & >=1 & <=1000 | *10
	// The time between one target and the next.
	apart: #Duration | *"0ms"
	// For a deploy: from the end of a process until its successor runs.
	away: #Duration | *"1s"
}

#Fleet: {
	groups:  int & >=1 & <=10000 | *1
	members: int & >=1 & <=64 | *6
	poolers: int & >=1 & <=10000 | *4
	zones:   int & >=1 & <=64 | *3
	// Number of groups that a pooler serves; 0 for all.
	reach: int & >=0 & <=10000 | *0
	// Whether poolers are configured with the usual durations of changes of primary.
	expected: bool | *false
	// Whether a second copy may be sent while the first runs, and whether a router learns that an attempt which it
	// cancels has ended. Boxes continue with the work in either case.
	second_copies: bool | *false
	cancels:       bool | *false
	// A box receives nothing new later than this after its drain was reported.
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
	// Whether reports contain the number of waiting requests.
	report_queue: bool | *false
	// With more than this many requests for each core work takes longer, by this share, reached at twice as many.
	thrash_at: number & >=0.1 & <=1000 | *4
	thrash:    number & >=0 & <=10 | *0
	// The work that a probe and a handshake cause at the box, and the duration of a handshake in addition to its
	// round trips.
	probe_work:     #Duration | *"0ms"
	handshake_work: #Duration | *"0ms"
	handshake:      #Duration | *"2ms"
	// Whether a box rejects a read that needs a later position than its own.
	checks: bool | *false
	// The share of its capacity that a box has at its start, and when it is warm; cold, it collapses when it is
	// sent more than this multiple of its capacity for this long.
	cold_from:     number & >=0.01 & <=1 | *0.16
	cold_in:       #Duration | *"16s"
	fall_multiple: number & >=1 & <=100 | *2.5
	fall_for:      #Duration | *"3s"
}

#Traffic: {
	// Requests per second in total; 0 for the rate that gives 'load'.
	rate: number & >=0 & <=10000000 | *0
	load: number & >=0.01 & <=10 | *0.6
	// How long requests arrive.
	lasts:    #Duration | *"40s"
	sessions: int & >=1 & <=100000000 | *2000
	// The exponent of the Zipf distribution of sessions.
	zipf: number & >=0 & <=5 | *0.9
	// Retries of a refused or failed request that may be repeated.
	retries: int & >=0 & <=5 | *1
	// Whether a session's read says when its last write was committed; without it poolers remember.
	tokens_carried: bool | *false
	// The worth of requests beyond their tenant's share, as a share of the usual worth; and the sum of all shares,
	// as a share of the fleet's capacity.
	over_share: number & >=0 & <=1 | *1
	quota:      number & >=0.01 & <=10 | *0.85
}

// The behaviour of clients that are refused, fail or get no answer.
#Clients: {
	// Waits are drawn from 'wait_least' to 'wait_most'; with 'exponential' the range doubles with each try.
	wait:       "fixed" | "exponential" | *"fixed"
	wait_least: #Duration | *"10ms"
	wait_most:  #Duration | *"80ms"
	// The share of clients that wait for a retry-after.
	heeds: number & >=0 & <=1 | *1
	// A try is abandoned after at least this share of the class's deadline, and after the whole deadline at the
	// latest.
	patience: number & >=0.05 & <=1 | *1
	// Whether clients mark their retries.
	marks: bool | *false
}

// A class of requests. The last class of a scenario is the one of writes.
#Class: {
	name!: =~"^[a-z0-9-]{1,64}$"
	need!: "any" | "bounded" | "session" | "fresh" | "write"
	// For 'bounded': no older than this when it is sent.
	bound: #Duration | *"1s"
	// Its weight among all requests.
	share!: number & >0 & <=1000
	// The mean work on a standard core, its distribution, and for 'lognormal' the coefficient of variation.
	work!:  #Duration
	spread: "exponential" | "lognormal" | *"exponential"
	cv:     number & >0 & <=5 | *1
	aim!:      #Duration
	deadline!: #Duration
	worth:      number & >=0 & <=1000 | *1
	late_worth: number & >=0 & <=1 | *0
	// Whether a request must never run twice.
	once: bool | *false
}

// A tenant: its share of the quota, and what it requests as a multiple of its share.
#Tenant: {
	name!:  =~"^[a-z0-9-]{1,64}$"
	share!: number & >0 & <=1
	usage:  number & >0 & <=100 | *1
}

// The list of boxes.
#List: {
	// Whether it has to be polled at one service for all poolers; otherwise changes are pushed.
	asked: bool | *false
	// How long the service takes for a call, one after another; a call that has waited longer fails; and the
	// interval of notifications.
	call:  #Duration | *"300ms"
	wait:  #Duration | *"2s"
	every: #Duration | *"500ms"
	// Whether the list shows which box is the primary.
	roles: bool | *true
}

#Network: {
	same:  #Duration | *"200us"
	cross: #Duration | *"1ms"
	// The least and the greatest delay of a change of the list.
	list_least: #Duration | *"800ms"
	list_most:  #Duration | *"4600ms"
}

// Thresholds that a run has to reach.
#Checks: {
	served: number & >=0 & <=1 | *0
	writes: number & >=0 & <=1 | *0
	// The share of the requested worth that was served within the latency objectives: in the whole run, and in its
	// worst 10 s.
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
// Without classes, the five classes of a portal are used.
classes: [...#Class]
tenants: [...#Tenant]
// 'full' also records the tries of clients and the jobs of boxes, and checks more rules.
audit: "usual" | "full" | *"usual"
troubles: [...#Trouble]
checks:  #Checks
