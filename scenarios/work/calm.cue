// All servers, one after another, with nothing else that happens.
package work

name: "calm"
steps: [{do: "plan", text: "{\"servers\": {\"all\": true}}"}]
