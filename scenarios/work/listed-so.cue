// The list reports the state of a machine at work correctly; this must not change when the machine is used.
package work

name: "listed-so"
listed: "so"
steps: [{do: "plan", text: "{\"servers\": {\"all\": true}}"}]
