// What the list says of a machine at work, late, changes nothing of when it is used.
package work

name: "listed-late"
listed: "late"
steps: [{do: "plan", text: "{\"servers\": {\"all\": true}}"}]
