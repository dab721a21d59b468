//! The order of machines by itself, in steps of a second: how long a plan takes, and what it costs.
