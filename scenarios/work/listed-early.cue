// What the list says of a machine at work, early, changes nothing of when it is used.
package work

name: "listed-early"
listed: "early"
steps: [{do: "plan", text: "{\"servers\": {\"all\": true}}"}]
