// Maintenance of all pooler machines, one after another: each pooler is drained, stopped and started again.
package work

name: "poolers"
served: 700
steps: [{do: "plan", text: "{\"poolers\": {\"all\": true}}"}]
