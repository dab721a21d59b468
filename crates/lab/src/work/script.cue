// Schema of a script of maintenance work on machines. Records are closed: a field that is not declared here is an
// error.
package work

#Duration: =~"^[0-9]{1,7}(ms|s)$"
#Number:   int & >=0 & <=999
// Poolers by number or by their current role: the leader of the plan, another pooler, another pooler that is a
// voter, the leader with a minority of the voters, each tenth of all poolers in turn, the targets of the previous
// step, all poolers.
#Whom: =~"^([0-9]{1,3}|leader|other|voter|small-side|tenth|same|all)$"
// Servers by id or by their current state: one that waits, is out, is at work or is back, a replica of a group with
// none out, a primary, a zone.
#What: =~"^(s[0-9]{2,4}|waiting|out|at-work|back|spared|primary|zone-[a-z])$"

#Step: {
	do!: "plan" | "call" | "kill" | "stop" | "go" | "start" | "replace" | "end" | "die-after" | "cut" | "cut-ways" | "heal" | "fell" | "raise" | "load" | "list" | "by-hand" | "wait" | "until" | "noise" | "hang-worker" | "free-worker" | "deny-handover" | "grant-handover"
	who: #Whom | *"other"
	what: #What | *"waiting"
	// 'plan': the body; 'call': the path below /-/work; 'list': the lifecycle; 'by-hand': enable or disable; 'until':
	// the state to wait for.
	text:   string | *""
	// 'plan' and 'call': the expected HTTP status.
	status: int & >=0 & <=599 | *200
	lasts:  #Duration | *"0ms"
	// 'die-after': number of datagrams; 'load': percent; 'until': number of machines; 'noise': datagrams lost, per
	// thousand.
	count:  int & >=0 & <=10000 | *1
}

name!:   string
seed:    int & >=0 | *1
poolers: int & >=3 & <=400 | *5
voters: [...#Number] | *[0, 1, 2]
// Groups of `members` servers, placed in the zones in turn; the first server of each group is its primary.
groups:  int & >=1 & <=40 | *2
members: int & >=1 & <=9 | *3
zones:   int & >=1 & <=9 | *3
// Clients per pooler, and the pause of each client between a response and its next request.
clients: int & >=0 & <=50 | *2
pause:   #Duration | *"60ms"
// Value of `work` in the operator's file.
work:    string | *"every: \"100ms\", term: \"600ms\", cold: \"400ms\", handing: \"5s\", servers: {all: 2, zone: 2, zones: 1}"
// Duration of the work on a machine, and what the list of servers reports of it: nothing, the truth, up too early or
// up too late.
lasts:   #Duration | *"300ms"
listed:  *"never" | "so" | "early" | "late"
// Whether a relay stands between poolers and servers, so that their links can be cut.
ways:    bool | *false
// Poolers that do not support maintenance work.
old: [...#Number] | *[]
// Number of times that the steps are repeated.
rounds:  int & >=1 & <=100 | *1
// Whether the plan must end, and how many machines must be left out then; 256 accepts any number.
ends:    bool | *true
left:    int & >=0 & <=256 | *0
// Limits that are audited at each start of work.
all:   int & >=0 & <=256 | *2
zone:  int & >=0 & <=256 | *2
group: int & >=0 & <=256 | *1
zones_at_once: int & >=0 & <=9 | *1
// Minimum share of requests served, per thousand.
served: int & >=0 & <=1000 | *900
steps!: [...#Step]
