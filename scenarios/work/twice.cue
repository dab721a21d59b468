// Two plans for the same machines, one after the other.
package work

name: "twice"
rounds: 2
steps: [{do: "plan", text: "{\"servers\": {\"zone\": \"b\"}}"}]
