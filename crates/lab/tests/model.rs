//! Model checking of the decision logic through all orders of a change of primary, within bounds that suit a test.

use linnetdeal_lab::model::{Bounds, check};

const SMALL: Bounds =
    Bounds { routers: 1, writes: 1, losses: 1, crashes: 1, drains: true, reset_proves_not_run: false };

#[test]
fn the_rules_hold_in_all_orders_of_a_change_of_primary() {
    let result = check(SMALL, 2);
    assert!(result.violation.is_none(), "{:?}", result.violation);
    assert!(result.write_outlasted_change && result.states > 1_000, "{} states", result.states);
}

#[test]
fn resending_after_a_reset_is_found() {
    let result = check(Bounds { reset_proves_not_run: true, ..SMALL }, 2);
    let (rule, steps) = result.violation.expect("a write runs twice in some order");
    assert_eq!(rule, "a write ran twice", "{steps:?}");
}
