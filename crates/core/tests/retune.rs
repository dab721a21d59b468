//! Settings that change while a router works.

mod common;
use common::*;
use linnetdeal_core::retune::{MAX_CLASSES, MAX_TENANTS, merge_classes, merge_tenants};
use linnetdeal_core::*;

#[test]
fn a_class_that_differs_in_anything_gets_a_number_of_its_own() {
    let held = settings().classes;
    let changed = Class { effect: Effect::Unsafe, ..held[4].clone() };
    let new = [held[2].clone(), class("more", Need::Any, Effect::Safe), changed.clone(), held[0].clone()];
    let (all, numbers) = merge_classes(&held, &new).unwrap();
    assert_eq!(numbers, [ClassId(2), ClassId(6), ClassId(7), ClassId(0)]);
    assert_eq!((&all[..6], &all[7]), (&held[..], &changed));
    // Back and forth between two versions adds nothing; endless versions are refused at a bound.
    assert_eq!(merge_classes(&all, &held).unwrap().0, all);
    assert_eq!(merge_classes(&all, &new).unwrap().0, all);
    let many: Vec<_> = (0..MAX_CLASSES).map(|at| class(&at.to_string(), Need::Any, Effect::Safe)).collect();
    assert!(merge_classes(&held, &many).is_none() && merge_classes(&[], &many).is_some());
}

#[test]
fn a_tenant_keeps_its_number_under_any_share_and_place() {
    let tenant = |name: &str, quota: f64| Tenant { name: name.to_owned(), quota };
    let held = [tenant("a", 5.0), tenant("b", 6.0)];
    let (all, numbers) = merge_tenants(&held, &[tenant("c", 1.0), tenant("b", 2.0)]).unwrap();
    // Whom the new settings don't name has no share any more; its open requests still have a number.
    assert_eq!(all, [tenant("a", 0.0), tenant("b", 2.0), tenant("c", 1.0)]);
    assert_eq!(numbers, [TenantId(2), TenantId(1)]);
    let (all, numbers) = merge_tenants(&all, &held).unwrap();
    assert_eq!(all, [tenant("a", 5.0), tenant("b", 6.0), tenant("c", 0.0)]);
    assert_eq!(numbers, [TenantId(0), TenantId(1)]);
    let many: Vec<_> = (0..MAX_TENANTS).map(|at| tenant(&at.to_string(), 1.0)).collect();
    assert!(merge_tenants(&held, &many).is_none() && merge_tenants(&[], &many).is_some());
}

#[test]
fn an_open_request_keeps_its_class_and_its_attempts_and_a_new_one_has_the_new_ones() {
    let mut host = Host::new(settings(), 5);
    host.probe_result(1, true, 0);
    let (old, mut actions) = host.request(ANY);
    let mut new = settings();
    // 'any' is a write that must not run twice now, and one attempt is all there is.
    new.classes = vec![class("any", Need::Write, Effect::Unsafe)];
    new.max_attempts = 1;
    let (all, numbers) = merge_classes(host.router.classes(), &new.classes).unwrap();
    new.classes = all;
    host.router.update_settings(new);
    for attempt in 0..3 {
        let to = sends(&actions).pop().expect("a read that is safe to repeat goes on to others");
        let at = (1..=5).find(|at| member(*at) == to).unwrap();
        actions = host.end_attempt(old, attempt, at, Verdict::ConnectFailed);
        assert!(!failed(&actions, old));
    }
    let (id, actions) = host.request(numbers[0]);
    assert_eq!(sends(&actions), [member(1)]);
    let actions = host.end_attempt(id, 0, 1, Verdict::Reset);
    assert!(failed(&actions, id) && sends(&actions).is_empty(), "{actions:?}");
}
