// The list reports a machine as up before its work is done; this must not change when the machine is used.
package work

name: "listed-early"
listed: "early"
steps: [{do: "plan", text: "{\"servers\": {\"all\": true}}"}]
