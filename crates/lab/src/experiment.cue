// What may stand in an experiment: one scenario, played for each of these, with so many seeds each.
package experiment

name!:     =~"^[a-z0-9-]{1,64}$"
// The scenario's file, from the experiment's own folder.
scenario!: =~"^[^\n]{1,1024}$"
seeds:     int & >=1 & <=10000 | *8
poolers: [...int & >=1 & <=10000]
loads: [...number & >=0.01 & <=10]
