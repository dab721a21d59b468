package linnetdeal

// Logs every input event and output action of the routing core, for statistics over a whole fleet.
log: {level: "debug", format: "text"}
