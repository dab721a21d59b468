// Shared definitions for the scenarios in this folder, a second kind of deployment: two groups without peers, boxes
// that finish every request they accepted, clients that retry on their own, tenants with shares, and a list of
// servers that is polled.
package scenario

_fleet: {groups: 2, members: 6, poolers: 4, zones: 2, second_copies: true, cancels: true, grace: "500ms"}
_box: {
	cores: 4, speed: 1, spread: 0.2, room: 96, crowding: 0, thrash_at: 5, thrash: 0.15
	ship: "8ms", apply: "14ms", detect: "2s", elect: "2800ms", switch: "500ms"
	report: "140ms", report_queue: true, probe_work: "400us", handshake_work: "5ms", handshake: "0ms"
	checks: true, cold_from: 0.2, cold_in: "12s", fall_multiple: 2, fall_for: "1500ms"
}
_traffic: {lasts: "40s", sessions: 600, zipf: 0.7, retries: 3, tokens_carried: true, over_share: 0.05, quota: 0.85}
_network: {same: "250us", cross: "600us", list_least: "500ms", list_most: "3500ms"}
_clients: {wait: "exponential", heeds: 0.65, patience: 0.4, marks: true}
_list: {asked: true, call: "350ms", wait: "2s", every: "500ms", roles: false}
_classes: [
	{name: "board", need: "bounded", bound: "3s", share: 0.4, work: "52ms", spread: "exponential", aim: "200ms", deadline: "500ms", worth: 1},
	{name: "own-loads", need: "session", share: 0.28, work: "55ms", spread: "lognormal", cv: 1, aim: "300ms", deadline: "1200ms", worth: 2, late_worth: 0.2},
	{name: "archive", need: "any", share: 0.24, work: "58ms", spread: "lognormal", cv: 1.1, aim: "250ms", deadline: "750ms", worth: 2},
	{name: "book-load", need: "write", share: 0.06, work: "130ms", spread: "lognormal", cv: 1, aim: "1s", deadline: "3s", worth: 3, late_worth: 0.5, once: true},
]
_tenants: [
	{name: "north-line", share: 0.5, usage: 1.1},
	{name: "coast-line", share: 0.3, usage: 0.9},
	{name: "inland", share: 0.2, usage: 1},
]
