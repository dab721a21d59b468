// Maintenance of all servers, one after another, without faults.
package work

name: "calm"
steps: [{do: "plan", text: "{\"servers\": {\"all\": true}}"}]
