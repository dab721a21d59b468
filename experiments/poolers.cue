// What a calm day costs and serves as the same work is spread over more poolers, each of which sees less.
package experiment

name:     "poolers"
scenario: "../scenarios/calm.cue"
seeds:    8
poolers: [4, 20, 100, 500]
