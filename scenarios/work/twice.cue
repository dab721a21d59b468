// Two plans, one after the other, of the same machines.
package work

name: "twice"
rounds: 2
steps: [{do: "plan", text: "{\"servers\": {\"zone\": \"b\"}}"}]
