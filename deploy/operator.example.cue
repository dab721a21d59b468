// An operator's file to start from. 'linnetdeal check --schema' prints all that may stand in it.
package linnetdeal

registry: {
	// Asked in this order; the next one when one fails.
	servers: [{url: "http://127.0.0.1:8761/eureka"}]
	// The applications whose instances are boxes.
	apps: ["DB"]
	// Where boxes may lie, and in which zone.
	networks: [
		{prefix: "127.0.0.0/8", zone: "adum"},
	]
	interval: "5s"
	// A list that lacks more than this share of the boxes is not believed, for ever.
	lost_share:    0.5
	believe_after: "never"
	metadata: {group: "group", role: "role", zone: "zone", started: "startedAtMs"}
	register: {app: "POOLER", renew: "30s"}
}

// How long changes of primary take here; what is seen counts for more, once two of a kind were.
primary: {
	planned: {least: "300ms", usual: "1s"}
	unplanned: {least: "2800ms", usual: "6400ms"}
}

log: {level: "info", format: "text"}
