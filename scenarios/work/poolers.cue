// The machines of all poolers, one after another: drained, stopped, started again.
package work

name: "poolers"
served: 700
steps: [{do: "plan", text: "{\"poolers\": {\"all\": true}}"}]
