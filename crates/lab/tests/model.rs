//! The decisions through all orders of a change of primary, within bounds that a test can afford.

use linnetdeal_lab::model::{Bounds, check};

const SMALL: Bounds =
    Bounds { routers: 1, writes: 1, losses: 1, crashes: 1, drains: true, wrong_reset: false };

#[test]
fn the_rules_hold_in_all_orders_of_a_change_of_primary() {
    let found = check(SMALL, 2);
    assert!(found.wrong.is_none(), "{:?}", found.wrong);
    assert!(found.outlasted && found.states > 1_000, "{} states", found.states);
}

#[test]
fn a_walk_that_resends_after_a_reset_is_found() {
    let found = check(Bounds { wrong_reset: true, ..SMALL }, 2);
    let (words, steps) = found.wrong.expect("it runs twice somewhere");
    assert_eq!(words, "a write ran twice", "{steps:?}");
}
