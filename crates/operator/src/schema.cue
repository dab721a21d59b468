// The schema of the operator's file. Records are closed: a field that is not listed here is an error.
package linnetdeal

// A duration with its unit.
#Duration: =~"^[1-9][0-9]{0,8}(ms|s|m|h)$"
// An amount of memory with its unit.
#Size: =~"^[1-9][0-9]{0,5}(KB|MB)$"
// A file path.
#Path: =~"^[^\n]{1,4096}$"
// A name that can be part of URLs and ids.
#Word: =~"^[A-Za-z0-9._:-]{1,128}$"

// A registry server. Host names are not looked up: if the URL has one, 'at' gives the address.
#Server: {
	url!: =~"^https?://[^ @?#]+$"
	at?:  =~"^[0-9a-fA-F.:\\[\\]]+:[0-9]+$"
}

// A network in which members may be, and the zone of the members in it.
#Network: {
	prefix!: =~"^[0-9a-fA-F.:]+/[0-9]{1,3}$"
	zone:    string | *""
}

// Credentials. The password is the first line of a file that only its owner may read.
#User: {
	name!:          =~"^[^:\n]{1,256}$"
	password_file!: #Path
}

// The pooler's certificate, and its key in a file that only its owner may read.
#Identity: {
	certificate!: #Path
	key!:         #Path
}

// How this pooler registers itself: 'renew' is the interval of renewals, 'expires' is how long the registration stays
// valid without a renewal.
#Own: {
	app!:    #Word
	id?:     #Word
	renew:   #Duration | *"30s"
	expires: #Duration | *"90s"
}

// A service registry that speaks Eureka's REST API.
#Registry: {
	// Tried in this order; when one fails, the next one is used.
	servers!: [...#Server]
	// The applications whose instances are members.
	apps!: [...#Word]
	// The networks in which members may be. Instances elsewhere are ignored, so nothing is sent to them.
	networks!: [...#Network]
	// What is read: 'delta' follows changes, 'full' reads everything each time, 'app' and 'vip' read only the application
	// in 'apps' or the virtual address in 'vip'.
	read: *"delta" | "full" | "app" | "vip"
	// The virtual address for read: "vip".
	vip: #Word | *""
	// The polling interval.
	interval: #Duration | *"30s"
	// The timeout of a call, and the maximum pause while all registry servers fail.
	patience:      #Duration | *"10s"
	longest_pause: #Duration | *"60s"
	// The maximum size of a response body. A larger one is rejected.
	most_body: #Size | *"64MB"
	// A list that lacks more than this share of the members in service is suspect and not accepted. So is an empty list.
	lost_share: number & >=0 & <=1 | *0.5
	// How long lists must have been suspect before one is accepted after all, or "never".
	believe_after: #Duration | *"never"
	// What ends a drain by a status override: 'registration' waits until the instance registers anew, 'override' also
	// accepts the removal of the override.
	lifts: *"registration" | "override"
	// The metadata keys of these properties.
	metadata: {
		group:   string | *"group"
		zone:    string | *"zone"
		role:    string | *"role"
		started: string | *"startedAtMs"
	}
	// The role of a primary, and the group of instances that name none.
	primary: string | *"primary"
	group?:  int & >=0 & <=1000000
	// Whether members are reached on their secure port.
	secure_port: bool | *false
	user?:       #User
	// The certificate authorities for registry servers that use TLS.
	ca?:       #Path
	identity?: #Identity
	register?: #Own
}

// Logging to standard error.
#Log: {
	level:  "error" | "warn" | *"info" | "debug"
	format: *"text" | "json"
}

// Expected duration of a primary change: none takes less than 'least', and most take no more than 'usual'.
#Change: {
	least!: #Duration
	usual!: #Duration
}

// Expected durations of planned and unplanned primary changes. Once the pooler has observed two changes of a kind, the
// observed durations are used instead.
#Primary: {
	planned?:   #Change
	unplanned?: #Change
}

// A pooler's number: its position in the platform's list of poolers.
#Number: int & >=0 & <=65000

// HTTP/1.1 calls that a task's holder makes: 'begin', and 'end' when an act is done.
#Call: {
	address!: =~"^[0-9a-fA-F.:\\[\\]]+:[0-9]+$"
	path:     =~"^/[^ \n]{0,256}$" | *"/"
	// The pause between two acts, and the duration of an act.
	every: #Duration | *"1s"
	lasts: #Duration | *"1ms"
}

// A task that one pooler of the fleet executes at a time.
#Task: {
	name!: #Word
	// The term of the lease: when the holder dies, the task is not executed for up to this long.
	term: #Duration | *"3s"
	// The poolers that may hold the lease; all if none is named.
	candidates: [...#Number] | *[]
	call?: #Call
}

// Leases of tasks that one pooler of the fleet executes at a time. These settings must be the same on all poolers.
#Leases: {
	// The name of the installation, and the version of the set of voters. Poolers that differ in either do not
	// communicate.
	site!:    #Word
	version!: int & >=1 & <=1000000000
	// The 3, 5 or 7 poolers that grant leases by majority.
	voters!: [...#Number]
	// Earlier sets of voters that poolers with another version may still use.
	previous: [...[...#Number]] | *[]
	// Maximum deviation of each pooler's clock rate, in parts per thousand.
	drift: int & >=0 & <=500 | *50
	// The maximum term. A voter does not answer for this long after its start. To shorten it, two
	// successive versions are needed.
	longest: #Duration | *"10s"
	// Files with a key of 16 bytes or more in their first line. The first key signs datagrams, all keys are accepted.
	keys!: [...#Path]
	tasks: [...#Task] | *[]
	// If set, one pooler per group polls the members for position and role, and publishes these to all others. This has an
	// effect only if members check the requests that they receive.
	positions?: {
		term:  #Duration | *"3s"
		every: #Duration | *"500ms"
	}
}

// Limits on machines that are out at once: in total, per zone, and the number of zones with machines out.
#Bounds: {
	all:   int & >=1 & <=256 | *1
	zone:  int & >=1 & <=256 | *1
	zones: int & >=1 & <=256 | *1
}

// The capacity in requests per second of a machine type, by the type's name in the list of servers.
#Capacity: {
	machine!:  string
	requests!: number & >=0 & <=1000000
}

// A period of the day, in UTC, in which no machine is taken out.
#Quiet: {
	from!: =~"^([01][0-9]|2[0-3]):[0-5][0-9]$"
	to!:   =~"^([01][0-9]|2[0-3]):[0-5][0-9]$"
}

// Maintenance work that takes machines out of service. It requires 'leases', and must be the same on all poolers.
#Work: {
	// How often a pooler reports its progress while a plan is under way, and the term of the lease.
	every: #Duration | *"1s"
	term:  #Duration | *"3s"
	// A starting pooler is not ready until a majority of the voters has reported which machines are out, or this much time
	// has passed.
	hold: #Duration | *"30s"
	// Limits on servers that are out, counting failed ones, and the maximum per group.
	servers: #Bounds
	group: int & >=1 & <=256 | *1
	// The minimum number of warm replicas that remain in a group, and the minimum ratio of the remaining machines'
	// capacity to the group's load, both the present load and the last hour's peak.
	warm:  int & >=0 & <=256 | *1
	spare: number & >=0 & <=100 | *1.2
	capacity: [...#Capacity] | *[]
	// 'cold' is how long a machine counts as cold after its return. A primary that is not handed over within 'handing' is
	// skipped. A machine that is out for longer than 'longest' is reported.
	cold:    #Duration | *"30s"
	handing: #Duration | *"30s"
	longest: #Duration | *"4h"
	order: *"ahead" | "spare" | "named"
	quiet: [...#Quiet] | *[]
	// Called over HTTP/1.1, with the lease's token, to request another primary for a group.
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
