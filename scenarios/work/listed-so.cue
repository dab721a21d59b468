// What the list says of a machine at work, so, changes nothing of when it is used.
package work

name: "listed-so"
listed: "so"
steps: [{do: "plan", text: "{\"servers\": {\"all\": true}}"}]
