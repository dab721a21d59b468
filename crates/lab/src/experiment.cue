// Schema of an experiment: one scenario, run for each number of poolers and each load, with `seeds` seeds each.
package experiment

name!:     =~"^[a-z0-9-]{1,64}$"
// Path of the scenario file, relative to the experiment's folder.
scenario!: =~"^[^\n]{1,1024}$"
seeds:     int & >=1 & <=10000 | *8
poolers: [...int & >=1 & <=10000]
loads: [...number & >=0.01 & <=10]
