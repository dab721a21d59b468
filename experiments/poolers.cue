// Cost and served share of the `calm` scenario as the same load is spread over more poolers, each of which observes
// less of it.
package experiment

name:     "poolers"
scenario: "../scenarios/calm.cue"
seeds:    8
poolers: [4, 20, 100, 500]
