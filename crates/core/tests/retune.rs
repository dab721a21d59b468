//! Changes of settings while a router runs.

mod common;
use common::*;
use linnetdeal_core::retune::{MAX_CLASSES, MAX_TENANTS, merge_classes, merge_tenants};
use linnetdeal_core::*;

#[test]
fn a_class_that_differs_in_any_way_gets_a_new_number() {
    let held = settings().classes;
    let changed = Class { effect: Effect::Unsafe, ..held[4].clone() };
    let new = [held[2].clone(), class("more", Need::Any, Effect::Safe), changed.clone(), held[0].clone()];
    let (all, numbers) = merge_classes(&held, &new).unwrap();
    assert_eq!(numbers, [ClassId(2), ClassId(6), ClassId(7), ClassId(0)]);
    assert_eq!((&all[..6], &all[7]), (&held[..], &changed));
    // Alternating between two versions adds no classes; the total number of classes is bounded.
    assert_eq!(merge_classes(&all, &held).unwrap().0, all);
    assert_eq!(merge_classes(&all, &new).unwrap().0, all);
    let many: Vec<_> =
        (0..MAX_CLASSES).map(|index| class(&index.to_string(), Need::Any, Effect::Safe)).collect();
    assert!(merge_classes(&held, &many).is_none() && merge_classes(&[], &many).is_some());
}

#[test]
fn a_tenant_keeps_its_number_whatever_its_share_and_position() {
    let tenant = |name: &str, quota: f64| Tenant { name: name.to_owned(), quota };
    let held = [tenant("a", 5.0), tenant("b", 6.0)];
    let (all, numbers) = merge_tenants(&held, &[tenant("c", 1.0), tenant("b", 2.0)]).unwrap();
    // A tenant that the new settings don't name loses its share; its number stays valid for its open requests.
    assert_eq!(all, [tenant("a", 0.0), tenant("b", 2.0), tenant("c", 1.0)]);
    assert_eq!(numbers, [TenantId(2), TenantId(1)]);
    let (all, numbers) = merge_tenants(&all, &held).unwrap();
    assert_eq!(all, [tenant("a", 5.0), tenant("b", 6.0), tenant("c", 0.0)]);
    assert_eq!(numbers, [TenantId(0), TenantId(1)]);
    let many: Vec<_> = (0..MAX_TENANTS).map(|index| tenant(&index.to_string(), 1.0)).collect();
    assert!(merge_tenants(&held, &many).is_none() && merge_tenants(&[], &many).is_some());
}

#[test]
fn open_requests_keep_their_class_and_attempt_limit_and_later_ones_get_the_new() {
    let mut host = Host::new(settings(), 5);
    host.probe_result(1, true, 0);
    let (old, mut actions) = host.request(ANY);
    let mut new = settings();
    // The new settings make 'any' a write that must not run twice, and allow one attempt.
    new.classes = vec![class("any", Need::Write, Effect::Unsafe)];
    new.max_attempts = 1;
    let (all, numbers) = merge_classes(host.router.classes(), &new.classes).unwrap();
    new.classes = all;
    host.router.update_settings(new);
    for attempt in 0..3 {
        let to = sends(&actions)
            .pop()
            .expect("the old request is still a read, which is retried at other members");
        let index = (1..=5).find(|index| member(*index) == to).unwrap();
        actions = host.end_attempt(old, attempt, index, Verdict::ConnectFailed);
        assert!(!failed(&actions, old));
    }
    let (id, actions) = host.request(numbers[0]);
    assert_eq!(sends(&actions), [member(1)]);
    let actions = host.end_attempt(id, 0, 1, Verdict::Reset);
    assert!(failed(&actions, id) && sends(&actions).is_empty(), "{actions:?}");
}
