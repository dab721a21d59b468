// What may stand in an operator's file. Records are closed: a field that is not named here is an error.
package linnetdeal

// A length of time with its unit.
#Duration: =~"^[1-9][0-9]{0,8}(ms|s|m|h)$"
// An amount of memory with its unit.
#Size: =~"^[1-9][0-9]{0,5}(KB|MB)$"
// A path of a file.
#Path: =~"^[^\n]{1,4096}$"
// A word that stands in URLs and ids.
#Word: =~"^[A-Za-z0-9._:-]{1,128}$"

// A server of a registry. Names are not looked up: 'at' says where a host that is a name listens.
#Server: {
	url!: =~"^https?://[^ @?#]+$"
	at?:  =~"^[0-9a-fA-F.:\\[\\]]+:[0-9]+$"
}

// A network in which boxes may lie, and the zone of what lies in it.
#Network: {
	prefix!: =~"^[0-9a-fA-F.:]+/[0-9]{1,3}$"
	zone:    string | *""
}

// The password is the first line of a file that only its owner may read.
#User: {
	name!:          =~"^[^:\n]{1,256}$"
	password_file!: #Path
}

// The own certificate, and its key in a file that only its owner may read.
#Identity: {
	certificate!: #Path
	key!:         #Path
}

// What this pooler says of itself in the registry.
#Own: {
	app!:    #Word
	id?:     #Word
	renew:   #Duration | *"30s"
	expires: #Duration | *"90s"
}

// A registry that speaks Eureka's REST API.
#Registry: {
	// Asked in this order; the next one when one fails.
	servers!: [...#Server]
	// The applications whose instances are boxes.
	apps!: [...#Word]
	// Where boxes may lie. What lies elsewhere gets nothing.
	networks!: [...#Network]
	// What is asked for: 'delta' follows changes, 'full' reads all each time, 'app' and 'vip' read what is named there.
	read: *"delta" | "full" | "app" | "vip"
	// The virtual address, where 'vip' is read.
	vip: #Word | *""
	// How often.
	interval: #Duration | *"30s"
	// A call may take so long, and the longest pause while all servers fail.
	patience:      #Duration | *"10s"
	longest_pause: #Duration | *"60s"
	// A larger body is not read.
	most_body: #Size | *"64MB"
	// A list that lacks more than this share of the boxes in service is not believed, nor is an empty one,
	lost_share: number & >=0 & <=1 | *0.5
	// until it has told the same for so long; "never" for ever.
	believe_after: #Duration | *"never"
	// Once an override is taken back: 'registration' waits for the box to register anew, 'override' takes it as lifted.
	lifts: *"registration" | "override"
	// The metadata keys that hold these.
	metadata: {
		group:   string | *"group"
		zone:    string | *"zone"
		role:    string | *"role"
		started: string | *"startedAtMs"
	}
	// The role of a primary, and the group of who names none.
	primary: string | *"primary"
	group?:  int & >=0 & <=1000000
	// Whether boxes are reached on their secure port.
	secure_port: bool | *false
	user?:       #User
	// Who may vouch for servers, where these speak TLS.
	ca?:       #Path
	identity?: #Identity
	register?: #Own
}

// What is written to standard error.
#Log: {
	level:  "error" | "warn" | *"info" | "debug"
	format: *"text" | "json"
}

// How long a change of primary takes: none is over before 'least', and most are after 'usual'.
#Change: {
	least!: #Duration
	usual!: #Duration
}

// What is known of changes of primary before any was seen; two of a kind that were seen count for more.
#Primary: {
	planned?:   #Change
	unplanned?: #Change
}

// A pooler, by its place in the platform's list of poolers.
#Number: int & >=0 & <=65000

// What a task's holder calls, over HTTP/1.1: 'begin', and 'end' when it is done.
#Call: {
	address!: =~"^[0-9a-fA-F.:\\[\\]]+:[0-9]+$"
	path:     =~"^/[^ \n]{0,256}$" | *"/"
	// A pause between two acts, and how long each lasts.
	every: #Duration | *"1s"
	lasts: #Duration | *"1ms"
}

// A task of the whole fleet.
#Task: {
	name!: #Word
	// Who holds it and dies leaves it alone for so long.
	term: #Duration | *"3s"
	// Who may hold it; all poolers where none is named.
	candidates: [...#Number] | *[]
	call?: #Call
}

// Tasks that one pooler of the fleet does at a time. All poolers have the same here.
#Leases: {
	// The installation, and the version of the voters: poolers that differ in either don't talk.
	site!:    #Word
	version!: int & >=1 & <=1000000000
	// 3, 5 or 7 poolers that decide.
	voters!: [...#Number]
	// The sets that poolers of other versions may still go by.
	previous: [...[...#Number]] | *[]
	// Clocks of any two poolers differ in speed by no more than so many parts in a thousand, each.
	drift: int & >=0 & <=500 | *50
	// No term is longer. A voter that has started is silent for so long; it is made shorter in two versions only.
	longest: #Duration | *"10s"
	// Files with a key in their first line, 16 bytes or more; the first signs, all are believed.
	keys!: [...#Path]
	tasks: [...#Task] | *[]
	// One pooler a group asks its members for position and role, and tells all others. It counts only where members check what
	// they are sent.
	positions?: {
		term:  #Duration | *"3s"
		every: #Duration | *"500ms"
	}
}

// So many machines out at once: of all, of one zone, and in so many zones.
#Bounds: {
	all:   int & >=1 & <=256 | *1
	zone:  int & >=1 & <=256 | *1
	zones: int & >=1 & <=256 | *1
}

// Requests a second that a machine of a type bears, by the list's name for the type.
#Capacity: {
	machine!:  string
	requests!: number & >=0 & <=1000000
}

// Hours, in UTC, in which nothing begins.
#Quiet: {
	from!: =~"^([01][0-9]|2[0-3]):[0-5][0-9]$"
	to!:   =~"^([01][0-9]|2[0-3]):[0-5][0-9]$"
}

// Machines out for work. It rests on the leases; all poolers have the same here.
#Work: {
	// A pooler says so often how far it is while a plan is under way; the lease's term.
	every: #Duration | *"1s"
	term:  #Duration | *"3s"
	// A pooler that starts is not ready before a majority of voters has told it what is out, or so much time has passed.
	hold: #Duration | *"30s"
	// Servers, those that are dead among them, and of one group.
	servers: #Bounds
	group: int & >=1 & <=256 | *1
	// Warm replicas that a group keeps, and how many times its load now and at the last hour's peak the machines that it keeps can do.
	warm:  int & >=0 & <=256 | *1
	spare: number & >=0 & <=100 | *1.2
	capacity: [...#Capacity] | *[]
	// Back, a machine counts as cold for so long. A primary that is not handed over by then is left out; who is out for longer is told of.
	cold:    #Duration | *"30s"
	handing: #Duration | *"30s"
	longest: #Duration | *"4h"
	order: *"ahead" | "spare" | "named"
	quiet: [...#Quiet] | *[]
	// Called over HTTP/1.1, with the lease's token, to have somebody else made the primary of a group.
	handover?: {
		address!: =~"^[0-9a-fA-F.:\\[\\]]+:[0-9]+$"
		path:     =~"^/[^ \n]{0,256}$" | *"/"
	}
	poolers: #Bounds
}

registry?: #Registry
leases?:   #Leases
work?:     #Work
primary:   #Primary
log:       #Log
