//! The decisions through all orders of a change of primary, within bounds that a test can afford.

use linnetdeal_lab::model::{Bounds, check};

const SMALL: Bounds =
    Bounds { routers: 1, writes: 1, losses: 1, crashes: 1, drains: true, reset_proves_not_run: false };

#[test]
fn the_rules_hold_in_all_orders_of_a_change_of_primary() {
    let found = check(SMALL, 2);
    assert!(found.violation.is_none(), "{:?}", found.violation);
    assert!(found.write_outlasted_change && found.states > 1_000, "{} states", found.states);
}

#[test]
fn a_walk_that_resends_after_a_reset_is_found() {
    let found = check(Bounds { reset_proves_not_run: true, ..SMALL }, 2);
    let (words, steps) = found.violation.expect("it runs twice somewhere");
    assert_eq!(words, "a write ran twice", "{steps:?}");
}
