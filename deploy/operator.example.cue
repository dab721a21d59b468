// Example of an operator's file. 'linnetdeal check --schema' prints the complete schema.
package linnetdeal

registry: {
	// Tried in this order; the next one is used when one fails.
	servers: [{url: "http://127.0.0.1:8761/eureka"}]
	// Applications whose instances are database servers.
	apps: ["DB"]
	// Networks in which database servers may be located, with their zones.
	networks: [
		{prefix: "127.0.0.0/8", zone: "adum"},
	]
	interval: "5s"
	// A list that lacks more than this share of the known servers is rejected, with no time limit (`believe_after`).
	lost_share:    0.5
	believe_after: "never"
	metadata: {group: "group", role: "role", zone: "zone", started: "startedAtMs"}
	register: {app: "POOLER", renew: "30s"}
}

// Expected durations of a change of primary. Observed durations take precedence once two changes of a kind were seen.
primary: {
	planned: {least: "300ms", usual: "1s"}
	unplanned: {least: "2800ms", usual: "6400ms"}
}

log: {level: "info", format: "text"}
