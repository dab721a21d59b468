// What may stand in a script of machines out for work. Records are closed: a field that is not named here is an error.
package work

#Duration: =~"^[0-9]{1,7}(ms|s)$"
#Number:   int & >=0 & <=999
// Poolers by number, or by what they are at that moment: who leads the plan, another one, another one that votes, who leads with a minority of
// the voters and half of the rest, a tenth of all in turn, those that the step before named, everybody.
#Whom: =~"^([0-9]{1,3}|leader|other|voter|small-side|tenth|same|all)$"
// Servers by id, or by what they are at that moment: one that waits, is out, or is back, the only other warm one of a group that is next, a zone.
#What: =~"^(s[0-9]{2,4}|waiting|out|at-work|back|spared|primary|zone-[a-z])$"

#Step: {
	do!: "plan" | "call" | "kill" | "stop" | "go" | "start" | "replace" | "end" | "die-after" | "cut" | "cut-ways" | "heal" | "fell" | "raise" | "load" | "list" | "by-hand" | "wait" | "until" | "noise" | "hang-worker" | "free-worker" | "deny-handover" | "grant-handover"
	who: #Whom | *"other"
	what: #What | *"waiting"
	// 'plan': the body; 'call': the path behind /-/work; 'list': the lifecycle; 'by-hand': enable or disable; 'until': what is to be seen.
	text:   string | *""
	// 'plan' and 'call': the status.
	status: int & >=0 & <=599 | *200
	lasts:  #Duration | *"0ms"
	// 'die-after': so many letters; 'load': in percent; 'until': so many machines; 'noise': lost, in parts of a thousand.
	count:  int & >=0 & <=10000 | *1
}

name!:   string
seed:    int & >=0 | *1
poolers: int & >=3 & <=400 | *5
voters: [...#Number] | *[0, 1, 2]
// Groups of so many servers, one in each zone in turn; the first of each is its primary.
groups:  int & >=1 & <=40 | *2
members: int & >=1 & <=9 | *3
zones:   int & >=1 & <=9 | *3
// Clients of each pooler, and the pause of each between an answer and the next request.
clients: int & >=0 & <=50 | *2
pause:   #Duration | *"60ms"
// What stands in the operator's file behind 'work:'.
work:    string | *"every: \"100ms\", term: \"600ms\", cold: \"400ms\", handing: \"5s\", servers: {all: 2, zone: 2, zones: 1}"
// How long work lasts, and what the list says of it: nothing, what is so, up too early, or up too late.
lasts:   #Duration | *"300ms"
listed:  *"never" | "so" | "early" | "late"
// A relay between poolers and servers.
ways:    bool | *false
// These poolers know nothing of work.
old: [...#Number] | *[]
// The steps are done so often.
rounds:  int & >=1 & <=100 | *1
// The plan comes to its end, and all machines are back but so many.
ends:    bool | *true
left:    int & >=0 & <=256 | *0
// Limits that are audited where work has begun.
all:   int & >=0 & <=256 | *2
zone:  int & >=0 & <=256 | *2
group: int & >=0 & <=256 | *1
zones_at_once: int & >=0 & <=9 | *1
// The share of requests that is to be served at least, in thousandths.
served: int & >=0 & <=1000 | *900
steps!: [...#Step]
