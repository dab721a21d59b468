// The list reports a machine as up only after a delay; this must not change when the machine is used.
package work

name: "listed-late"
listed: "late"
steps: [{do: "plan", text: "{\"servers\": {\"all\": true}}"}]
