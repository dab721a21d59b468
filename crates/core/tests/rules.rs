//! The rules of routing, as each router keeps them on its own, with one test for each failure that was found in the
//! simulator or on real sockets.

mod common;
use common::*;
use linnetdeal_core::*;

/// A router that knows member 1 as the primary of three members.
fn with_primary(settings: Settings) -> Host {
    let mut host = Host::new(settings, 3);
    host.probe_result(1, true, 0);
    host
}

#[test]
fn a_write_that_may_have_run_fails_at_once_and_is_not_sent_again() {
    for verdict in [Verdict::Error, Verdict::Timeout, Verdict::Reset, Verdict::Cancelled] {
        for class in [KEYED, UNSAFE] {
            let mut host = with_primary(settings());
            let (id, actions) = host.request(class);
            assert_eq!(sends(&actions), [member(1)]);
            let actions = host.end_attempt(id, 0, 1, verdict);
            assert!(failed(&actions, id), "{verdict:?}");
            assert!(sends(&actions).is_empty() && refused(&actions, id).is_none());
            assert!(sends(&host.advance(2_000)).is_empty());
        }
    }
}

#[test]
fn a_write_that_the_host_could_not_send_is_no_evidence_against_the_primary() {
    // A host that is out of file descriptors sends nothing at all. If that counted as proof, the mark would move
    // away from a healthy primary.
    let mut host = with_primary(settings());
    let (id, _) = host.request(UNSAFE);
    assert_eq!(sends(&host.end_attempt(id, 0, 1, Verdict::Moot)), [member(1)]);
    assert_eq!(sends(&host.request(UNSAFE).1), [member(1)]);
}

#[test]
fn a_request_that_fails_everywhere_ejects_no_member() {
    // Guards against ejections for faulty requests: with a third of the requests answered by an error at every
    // member, four such answers in a row ejected it.
    let mut host = Host::new(settings(), 3);
    for _ in 0..60 {
        let (id, mut actions) = host.request(ANY);
        let mut attempt = 0;
        while let Some(target) = sends(&actions).first().cloned() {
            let n = (1..=3).find(|n| member(*n) == target).unwrap();
            actions = host.end_attempt(id, attempt, n, Verdict::Error);
            attempt += 1;
        }
        assert!(attempt <= 2, "{attempt} attempts for a request that is at fault itself");
        assert!(refused(&actions, id).is_some());
    }
    let used: std::collections::BTreeSet<MemberId> =
        (0..40).flat_map(|_| sends(&host.request(ANY).1)).collect();
    assert_eq!(used.len(), 3, "all members still serve");
}

#[test]
fn many_routers_together_do_not_overload_a_cold_member() {
    // Guards against the sum of many small budgets: 510 routers that could each always send one request to a member
    // that just started.
    let routers = 500;
    let mut total_sends = 0;
    for seed in 0..routers {
        let many = Settings { fleet: routers as u32, ..settings() };
        let mut host = Host::seeded(seed, many, 2);
        // Each router serves two requests, then one of its two members restarts, and two more requests arrive.
        for _ in 0..2 {
            let (id, actions) = host.request(ANY);
            host.now = host.now + Span::millis(20);
            let n = if sends(&actions) == [member(1)] { 1 } else { 2 };
            host.end_attempt(id, 0, n, Verdict::Ok);
        }
        let started = Some(host.now);
        host.handle(Event::List(Listing::Changes(vec![Entry { started, ..entry(2) }])));
        host.handle(Event::List(Listing::Changes(vec![Entry { state: ListState::Draining, ..entry(1) }])));
        for _ in 0..2 {
            host.now = host.now + Span::millis(200);
            total_sends += sends(&host.request(ANY).1).len();
        }
    }
    assert!(total_sends <= 120, "{total_sends} sends in 0.4 s by 500 routers");
    assert!(total_sends >= 10, "{total_sends} sends: the member should get a random part of the requests");
}

#[test]
fn a_member_that_refused_a_connection_is_cold_when_it_returns() {
    // Where the list did not report restarts, members that returned were overloaded for good. A member that was
    // only cut off for a while is not cold; treated as cold, it was kept from its work for 16 s.
    for (verdict, down) in
        [(Verdict::Ok, false), (Verdict::Unreachable, false), (Verdict::ConnectFailed, true)]
    {
        let mut host = Host::new(Settings { max_attempts: 1, ..settings() }, 1);
        let (id, _) = host.request(ANY);
        host.end_attempt(id, 0, 1, verdict);
        host.now = host.now + Span::millis(1_000);
        let (id, actions) = host.request(ANY);
        if !sends(&actions).is_empty() {
            host.end_attempt(id, 0, 1, Verdict::Ok);
        }
        host.now = host.now + Span::millis(50);
        let burst: usize = (0..10).map(|_| sends(&host.request(ANY).1).len()).sum();
        assert_eq!(burst == 0, down, "{burst} sends in a burst");
    }
}

#[test]
fn sends_to_a_warm_member_do_not_reduce_its_budget_when_cold() {
    let mut host = Host::new(settings(), 1);
    let send_request = |host: &mut Host| {
        let (id, actions) = host.request(ANY);
        (id, !sends(&actions).is_empty())
    };
    // More than the budget of a cold member would ever allow, all of it answered in time.
    for _ in 0..400 {
        let (id, sent) = send_request(&mut host);
        assert!(sent);
        host.now = host.now + Span::millis(5);
        host.end_attempt(id, 0, 1, Verdict::Ok);
    }
    let (id, _) = send_request(&mut host);
    host.end_attempt(id, 0, 1, Verdict::ConnectFailed);
    host.handle(Event::Gone(id));
    host.advance(500);
    assert!((0..10).any(|_| {
        let (id, sent) = send_request(&mut host);
        host.handle(Event::Gone(id));
        host.advance(50);
        sent
    }));
}

#[test]
fn a_connection_that_broke_before_the_send_is_no_restart_and_keeps_the_mark() {
    let mut host = with_primary(settings());
    let (id, actions) = host.request(UNSAFE);
    assert_eq!(sends(&actions), [member(1)]);
    let actions = host.end_attempt(id, 0, 1, Verdict::Broken);
    assert_eq!(sends(&actions), [member(1)], "sent again at once to the same member");
    host.end_attempt_as(id, 1, 1, Verdict::Ok, Some(Role::Primary));
    // The member does not count as cold: a burst of writes is sent.
    let burst: Vec<_> = (0..3).map(|_| host.request(UNSAFE).1).collect();
    assert!(burst.iter().all(|actions| sends(actions) == [member(1)]), "{burst:?}");
}

#[test]
fn abandoned_work_still_counts_while_it_may_run() {
    // Guards against members that look idle but are busy: clients gave up early and retried, and their abandoned
    // requests filled the members.
    let mut host = Host::new(settings(), 1);
    let mut sent = Vec::new();
    loop {
        let (id, actions) = host.request(ANY);
        if sends(&actions).is_empty() {
            host.handle(Event::Gone(id));
            break;
        }
        sent.push(id);
    }
    for id in &sent {
        host.handle(Event::Gone(*id));
        host.end_attempt(*id, 0, 1, Verdict::Cancelled);
    }
    let (id, actions) = host.request(ANY);
    assert!(sends(&actions).is_empty(), "the member is full of abandoned work");
    let actions = host.advance(150);
    assert_eq!(sends(&actions).len(), 1, "which is done after the usual latency");
    host.end_attempt(id, 0, 1, Verdict::Ok);
}

#[test]
fn a_failed_connection_beside_answered_requests_is_no_restart() {
    for answered in [false, true] {
        let mut host = with_primary(settings());
        let (lost, _) = host.request(UNSAFE);
        let (id, _) = host.request(UNSAFE);
        host.now = host.now + Span::millis(250);
        if answered {
            host.end_attempt_as(id, 0, 1, Verdict::Ok, Some(Role::Primary));
        }
        let actions = host.handle(Event::Outcome(Outcome {
            request: lost,
            attempt: AttemptNo(0),
            member: member(1),
            verdict: Verdict::ConnectFailed,
            note: None,
            took: Span::millis(250),
            closed: false,
            report: None,
        }));
        // The write stays at the member if others were answered there, and tries the next one if not.
        assert_eq!(sends(&actions), [member(if answered { 1 } else { 2 })]);
    }
}

#[test]
fn repeated_ejections_of_a_flapping_member_are_remembered() {
    // If one answer cleared all of a member's ejections, a flapping member would be trusted again each time.
    for failures in [1, 4] {
        let mut host = Host::new(Settings { cold_share: 1.0, max_attempts: 1, ..settings() }, 1);
        for _ in 0..failures {
            let (id, actions) = host.request(ANY);
            assert_eq!(sends(&actions).len(), 1);
            host.end_attempt(id, 0, 1, Verdict::ConnectFailed);
            host.now = host.now + Span::millis(8_000);
        }
        host.probe_result(1, true, 0);
        let (id, _) = host.request(FRESH);
        host.answer_after(id, 0, 1, 20);
        assert_eq!(sends(&host.request(FRESH).1).len(), 1);
        // With ejections still remembered, it gets one attempt at a time.
        assert_eq!(sends(&host.request(FRESH).1).len(), usize::from(failures == 1), "{failures} failures");
    }
}

#[test]
fn timeouts_after_a_pause_of_the_process_do_not_count_against_members() {
    for paused in [false, true] {
        let mut host = Host::new(settings(), 3);
        let (id, actions) = host.request(ANY);
        let target = sends(&actions).remove(0);
        let n = (1..=3).find(|n| member(*n) == target).unwrap();
        let ids: Vec<RequestId> = (0..12).map(|_| host.request(ANY).0).collect();
        if paused {
            host.now = host.now + Span::millis(900);
            host.handle(Event::Wake);
        }
        for id in ids.into_iter().chain([id]) {
            for attempt in 0..2 {
                host.end_attempt(id, attempt, n, Verdict::Timeout);
            }
        }
        host.now = host.now + Span::millis(20);
        let next: Vec<MemberId> = (0..30).flat_map(|_| sends(&host.request(ANY).1)).collect();
        assert_eq!(next.contains(&target), paused, "paused: {paused}");
    }
}

#[test]
fn a_router_with_few_answers_uses_long_timeouts() {
    // With a short initial estimate a tenth of a quiet day's attempts timed out.
    let mut host = Host::new(settings(), 3);
    for _ in 0..5 {
        let (_, actions) = host.request(ANY);
        let early = |action: &Action| match action {
            Action::Send { timeout, .. } => *timeout < Span::millis(300),
            _ => false,
        };
        assert!(!actions.iter().any(early));
        host.now = host.now + Span::millis(500);
    }
}

#[test]
fn reads_spill_over_to_a_primary_that_is_less_overloaded_than_its_replicas() {
    // Guards against replicas that answer nothing in time while their primaries are half idle.
    for slow_ms in [20, 200] {
        let mut host = Host::new(settings(), 3);
        let mut to_primary = 0;
        for _ in 0..80 {
            host.probe_result(1, true, 0);
            let (id, actions) = host.request(ANY);
            for target in sends(&actions) {
                let n = (1..=3).find(|n| member(*n) == target).unwrap();
                let took = if n == 1 { 20 } else { slow_ms };
                to_primary += usize::from(n == 1);
                host.answer_after(id, 0, n, took);
            }
        }
        assert_eq!(to_primary > 10, slow_ms > 100, "{to_primary} of 80 at {slow_ms} ms");
    }
}

#[test]
fn reads_try_other_members_and_end_with_a_retry_after() {
    let mut host = Host::new(settings(), 2);
    let (id, actions) = host.request(ANY);
    let first = if sends(&actions) == [member(1)] { 1 } else { 2 };
    assert_eq!(sends(&host.end_attempt(id, 0, first, Verdict::Error)), [member(3 - first)]);
    host.now = host.now + Span::millis(390);
    let wait = refused(&host.end_attempt(id, 1, 3 - first, Verdict::Error), id).flatten();
    assert!(wait.is_some_and(|wait| wait > Span(0) && wait <= Span::millis(2_000)));
}

#[test]
fn a_read_that_is_never_sent_is_refused_while_its_client_has_time_to_retry() {
    // Guards against reads with a late worth that are held until their deadline while the primary is down.
    let mut settings = settings();
    settings.classes[READ.0].late_worth = 0.2;
    let mut host = Host::new(settings, 1);
    host.handle(Event::List(Listing::Changes(vec![Entry { state: ListState::Draining, ..entry(1) }])));
    let (id, actions) = host.request(READ);
    assert!(actions.iter().all(|action| matches!(action, Action::Wake { .. })), "it is held: {actions:?}");
    assert!(refused(&host.advance(300), id).is_none(), "a member may still return");
    let retry_after = refused(&host.advance(195), id).expect("refused before half of its time has passed");
    assert!(retry_after.is_some(), "the client is told when to retry");
}

#[test]
fn a_write_held_for_a_busy_primary_is_refused_in_time_and_unblocks_later_ones() {
    let mut host = with_primary(settings());
    // Far more writes at once than the primary has room for; it answers one per 100 ms.
    let (mut in_flight, mut ids) = (std::collections::VecDeque::new(), Vec::new());
    let sent = |actions: &[Action], in_flight: &mut std::collections::VecDeque<_>| {
        in_flight.extend(actions.iter().filter_map(|action| match action {
            Action::Send { request, .. } => Some(*request),
            _ => None,
        }));
    };
    for _ in 0..60 {
        let (id, actions) = host.request_within(UNSAFE, 3_000);
        sent(&actions, &mut in_flight);
        ids.push(id);
    }
    let mut refusals = Vec::new();
    for step in 1..=13 {
        let mut actions = host.advance(100);
        if let Some(id) = in_flight.pop_front() {
            actions.extend(host.end_attempt_as(id, 0, 1, Verdict::Ok, Some(Role::Primary)));
        }
        sent(&actions, &mut in_flight);
        let refused_now = ids.iter().filter(|id| refused(&actions, **id).flatten().is_some()).count();
        assert!(refused_now == 0 || step >= 12, "{refused_now} refused in step {step}");
        refusals.push(refused_now);
    }
    // Otherwise all of them would be held until they are sent with almost no time remaining: 17 ms of 2.85 s.
    let refusals: usize = refusals.iter().sum();
    assert!(refusals >= 20, "{refusals} were refused with a retry-after");
    assert!(sends(&host.advance(1_600)).is_empty(), "nothing is sent too late");
    // Without a primary the write stays held.
    let mut without_primary = Host::new(settings(), 3);
    let (id, _) = without_primary.request_within(UNSAFE, 3_000);
    for _ in 0..3 {
        (1..=3).for_each(|n| drop(without_primary.probe_result(n, false, 0)));
        let actions = without_primary.advance(500);
        assert_eq!(refused(&actions, id), None, "the write is held");
    }
}

#[test]
fn no_retry_after_where_the_settings_disable_it() {
    let mut host = Host::new(Settings { retry_after: false, max_attempts: 1, ..settings() }, 2);
    let (id, actions) = host.request(ANY);
    let n = if sends(&actions) == [member(1)] { 1 } else { 2 };
    assert_eq!(refused(&host.end_attempt(id, 0, n, Verdict::Error), id), Some(None));
}

#[test]
fn nothing_is_sent_to_a_draining_or_removed_member() {
    for state in [ListState::Draining, ListState::Gone] {
        let mut host = Host::new(settings(), 2);
        host.handle(Event::List(Listing::Changes(vec![Entry { state, ..entry(1) }])));
        for _ in 0..10 {
            assert!(!sends(&host.request(ANY).1).contains(&member(1)));
        }
    }
    let mut host = Host::new(settings(), 2);
    host.handle(Event::List(Listing::Full(vec![entry(2)])));
    assert!(!sends(&host.request(KEYED).1).contains(&member(1)), "a member that a full list lacks is gone");
}

#[test]
fn with_soft_removal_only_a_drain_is_binding() {
    let soft = Settings { soft_removal: true, ..settings() };
    let mut host = Host::new(soft.clone(), 1);
    host.handle(Event::List(Listing::Changes(vec![Entry { state: ListState::Gone, ..entry(1) }])));
    assert_eq!(sends(&host.request(ANY).1), [member(1)]);
    let mut host = Host::new(soft, 1);
    host.handle(Event::List(Listing::Changes(vec![Entry { state: ListState::Draining, ..entry(1) }])));
    host.handle(Event::List(Listing::Full(vec![])));
    assert!(sends(&host.request(ANY).1).is_empty(), "it was draining before it left the list");
}

#[test]
fn a_started_member_gets_no_burst() {
    let mut host = Host::new(settings(), 1);
    let started = Some(host.now);
    host.handle(Event::List(Listing::Changes(vec![Entry { started, ..entry(1) }])));
    let burst: usize = (0..50).map(|_| sends(&host.request(ANY).1).len()).sum();
    assert!(burst <= 2, "{burst} sends to a cold member of unknown size");
}

#[test]
fn rejected_sends_do_not_raise_the_slow_start_budget() {
    // In a surge warm members refuse most requests. If these counted as their usual load, cold members would get
    // too large a budget.
    let mut host = Host::new(settings(), 2);
    for _ in 0..200 {
        let (id, actions) = host.request(ANY);
        for (attempt, target) in sends(&actions).into_iter().enumerate() {
            let n = if target == member(1) { 1 } else { 2 };
            host.end_attempt(id, attempt as u32, n, Verdict::Full);
        }
    }
    let started = Some(host.now);
    host.handle(Event::List(Listing::Changes(vec![Entry { started, ..entry(2) }])));
    host.handle(Event::List(Listing::Changes(vec![Entry { state: ListState::Draining, ..entry(1) }])));
    let burst: usize = (0..50).map(|_| sends(&host.request(ANY).1).len()).sum();
    assert!(burst <= 2, "{burst} sends");
}

#[test]
fn a_full_member_is_not_flooded_with_attempts() {
    // Guards against up to 15 attempts per request, nearly all of them refused as full.
    let mut host = Host::new(settings(), 2);
    let mut all = 0;
    for _ in 0..100 {
        let (id, mut actions) = host.request(ANY);
        let mut attempt = 0;
        while let Some(target) = sends(&actions).first() {
            all += 1;
            host.now = host.now + Span::millis(1);
            let n = if *target == member(1) { 1 } else { 2 };
            actions = host.end_attempt(id, attempt, n, Verdict::Full);
            attempt += 1;
        }
    }
    assert!(all < 300, "{all} attempts for 100 requests");
}

#[test]
fn an_attempt_is_awaited_until_its_clients_deadline() {
    // Reads that are abandoned at their objective still run at the servers, and their clients retry them.
    for waits in [1_000, 700, 450] {
        let mut host = Host::new(settings(), 1);
        let (id, actions) = host.request_within(ANY, waits);
        let timeout = actions.iter().find_map(|action| match action {
            Action::Send { timeout, .. } => Some(*timeout),
            _ => None,
        });
        assert_eq!(timeout, Some(Span::millis(waits)));
        let meanwhile = host.advance(waits - 20);
        assert!(
            refused(&meanwhile, id).is_none() && !failed(&meanwhile, id),
            "given up while its attempt is in flight"
        );
        assert!(!meanwhile.iter().any(|action| matches!(action, Action::Cancel { .. })));
        assert!(refused(&host.answer_after(id, 0, 1, 5), id).is_none(), "a late answer is the final one");
    }
}

#[test]
fn retries_of_clients_give_way_to_first_tries_where_replicas_are_overloaded() {
    // Where marked retries are refused, far more first tries are served in time.
    for (slow_ms, overloaded) in [(20, false), (200, true)] {
        let mut host = Host::new(settings(), 3);
        let mut answered = 0;
        while answered < 20 {
            let (id, actions) = host.request(ANY);
            let target = sends(&actions).remove(0);
            let n = (1..=3).find(|n| member(*n) == target).unwrap();
            // A third of the answers is slow: more than in an idle fleet, but too few for first tries to be shed.
            host.answer_after(id, 0, n, if answered % 3 == 0 { slow_ms } else { 20 });
            answered += 1;
        }
        let (again, actions) = host.request_retry(ANY);
        assert_eq!(sends(&actions).is_empty(), overloaded);
        assert_eq!(
            refused(&actions, again).is_some_and(|after| after.is_some()),
            overloaded,
            "refused with a retry-after"
        );
        assert_eq!(sends(&host.request(ANY).1).len(), 1, "a first try");
        host.probe_result(1, true, 0);
        let (write, actions) = host.request_retry(UNSAFE);
        assert!(
            refused(&actions, write).is_none() && sends(&actions).len() == 1,
            "a retried write is sent: clients repeat writes only if they never ran"
        );
    }
}

#[test]
fn nothing_is_sent_with_less_time_left_than_an_answer_takes() {
    // Guards against held reads that are sent with 40 ms remaining for 145 ms of work.
    let mut host = Host::new(settings(), 2);
    let (id, actions) = host.request(FRESH);
    assert!(sends(&actions).is_empty());
    let waited = host.advance(390);
    assert!(refused(&waited, id).is_some());
    assert!(sends(&host.probe_result(1, true, 0)).is_empty());
}

#[test]
fn a_member_that_fails_fast_is_avoided_although_it_looks_idle() {
    let mut host = Host::new(settings(), 3);
    let mut to_bad = 0;
    for _ in 0..60 {
        let (id, mut actions) = host.request(ANY);
        let mut attempt = 0;
        while let Some(target) = sends(&actions).first().cloned() {
            host.now = host.now + Span::millis(1);
            let n = (1..=3).find(|n| member(*n) == target).unwrap();
            to_bad += usize::from(n == 2);
            let verdict = if n == 2 { Verdict::Error } else { Verdict::Ok };
            actions = host.end_attempt(id, attempt, n, verdict);
            attempt += 1;
        }
    }
    assert!(to_bad <= 12, "{to_bad} of 60 reads went to the failing member");
}

#[test]
fn a_write_survives_a_drain_that_the_list_reports_late() {
    // The primary refuses everything for 1.5 s before the list reports its drain.
    let mut host = with_primary(settings());
    let (id, actions) = host.request_within(UNSAFE, 5_000);
    assert_eq!(sends(&actions), [member(1)]);
    let (mut attempts, mut in_flight) = (1, true);
    for _ in 0..150 {
        if in_flight {
            let actions = host.end_attempt(id, attempts - 1, 1, Verdict::Full);
            assert!(
                refused(&actions, id).is_none() && !failed(&actions, id),
                "given up after {attempts} attempts"
            );
        }
        let sent = sends(&host.advance(10));
        assert!(sent.iter().all(|target| *target == member(1)), "no other member is the primary");
        in_flight = !sent.is_empty();
        attempts += sent.len() as u32;
    }
    assert!((4..8).contains(&attempts), "{attempts} of 8 attempts");
}

#[test]
fn a_forgotten_member_leaves_no_state_and_may_return() {
    let mut host = with_primary(settings());
    let gone = Entry { state: ListState::Gone, ..entry(1) };
    host.handle(Event::List(Listing::Changes(vec![gone])));
    host.handle(Event::List(Listing::Forgotten(vec![member(1), member(9)])));
    // A member in service is not forgotten.
    host.handle(Event::List(Listing::Forgotten(vec![member(2)])));
    let (_, actions) = host.request(ANY);
    assert!(!sends(&actions).contains(&member(1)) && !sends(&actions).is_empty());
    host.handle(Event::List(Listing::Changes(vec![entry(1)])));
    let (id, actions) = host.request(UNSAFE);
    assert!(!sends(&actions).is_empty());
    host.end_attempt_as(id, 0, 1, Verdict::Ok, Some(Role::Primary));
}

#[test]
fn a_silent_primary_is_tried_with_one_fresh_read_at_a_time() {
    // Guards against a group that sends nothing to its primary until the deadline of three unanswered writes.
    let mut host = with_primary(settings());
    let lost: Vec<_> = (0..3).map(|_| host.request_within(UNSAFE, 5_000).0).collect();
    host.advance(1_500);
    let (write, actions) = host.request_within(UNSAFE, 3_000);
    assert!(sends(&actions).is_empty(), "it is not tried with a write");
    let (trial, actions) = host.request(FRESH);
    assert_eq!(sends(&actions), [member(1)]);
    let (held, actions) = host.request(FRESH);
    assert!(sends(&actions).is_empty(), "one read at a time");
    let actions = host.end_attempt_as(trial, 0, 1, Verdict::Ok, Some(Role::Primary));
    assert_eq!(sends(&actions), [member(1), member(1)], "its answer shows that the member is alive");
    host.end_attempt_as(held, 0, 1, Verdict::Ok, Some(Role::Primary));
    host.end_attempt_as(write, 0, 1, Verdict::Ok, Some(Role::Primary));
    assert!(
        lost.iter().all(|id| !host.end_attempt(*id, 0, 1, Verdict::Timeout).is_empty()),
        "the lost writes fail"
    );
}

#[test]
fn a_silent_member_gets_no_new_reads() {
    let mut host = Host::new(settings(), 3);
    let mut silent = 0;
    for round in 0..40 {
        let (id, actions) = host.request(ANY);
        for target in sends(&actions) {
            let n = (1..=3).find(|n| member(*n) == target).unwrap();
            if n == 3 {
                silent += usize::from(round >= 20);
            } else {
                host.now = host.now + Span::millis(10);
                host.end_attempt(id, 0, n, Verdict::Ok);
            }
        }
        host.now = host.now + Span::millis(40);
    }
    assert_eq!(silent, 0);
}

#[test]
fn without_second_copies_only_one_attempt_is_in_flight() {
    let mut host = Host::new(settings(), 3);
    let (_, actions) = host.request(ANY);
    assert_eq!(sends(&actions).len(), 1);
    assert!(sends(&host.advance(395)).is_empty());
}

#[test]
fn a_second_copy_goes_elsewhere_and_the_slower_one_is_cancelled() {
    let mut host = Host::new(Settings { second_copies: true, ..settings() }, 3);
    for _ in 0..40 {
        let (id, actions) = host.request(ANY);
        let target = sends(&actions).remove(0);
        host.answer_after(id, 0, (1..=3).find(|n| member(*n) == target).unwrap(), 20);
    }
    let (id, actions) = host.request(ANY);
    let first = sends(&actions).remove(0);
    let copies = sends(&host.advance(250));
    assert_eq!(copies.len(), 1);
    assert_ne!(copies[0], first);
    let n = (1..=3).find(|n| member(*n) == copies[0]).unwrap();
    let actions = host.end_attempt(id, 1, n, Verdict::Ok);
    assert!(actions.contains(&Action::Cancel { request: id, attempt: AttemptNo(0) }));
}

#[test]
fn random_variation_of_latency_triggers_no_second_attempt() {
    // Second attempts after four deviations would duplicate attempts that are about to be answered, and add load
    // to a busy fleet.
    for second_copies in [true, false] {
        let mut host = Host::new(Settings { second_copies, ..settings() }, 3);
        // Exponentially distributed latencies with a mean of 40 ms, in a fixed order: 77 and the count share no
        // factor.
        let (count, mut early) = (200, Vec::new());
        for n in 0..count {
            let takes = -40.0 * (1.0 - (f64::from(n * 77 % count) + 0.5) / f64::from(count)).ln();
            let (id, actions) = host.request(ANY);
            let (target, timeout) = actions.iter().find_map(sent).unwrap();
            let again =
                !sends(&host.advance(takes as i64)).is_empty() || timeout < Span::millis(takes as i64);
            early.extend(Some(takes).filter(|_| again && n >= 40));
            host.answer_now(
                id,
                0,
                (1..=3).find(|n| member(*n) == target).unwrap(),
                Span::millis(takes as i64),
            );
        }
        assert!(early.is_empty(), "second attempts before answers that took these ms: {early:?}");
    }
}

#[test]
fn a_read_of_little_late_worth_is_refused_at_its_objective_where_replicas_are_overloaded() {
    // Guards against reads with a late worth of 0.2 that are answered late while others are refused.
    for (slow_ms, late_worth, overloaded) in [(200, 0.2, true), (20, 0.2, false), (200, 0.6, false)] {
        let mut settings = settings();
        settings.classes[ANY.0].late_worth = late_worth;
        let mut host = Host::new(settings, 3);
        for answered in 0..20 {
            let (id, actions) = host.request(ANY);
            let target = sends(&actions).remove(0);
            let n = (1..=3).find(|n| member(*n) == target).unwrap();
            // A third of the answers is slow: more than in an idle fleet, but too few for first tries to be shed.
            host.answer_after(id, 0, n, if answered % 3 == 0 { slow_ms } else { 20 });
        }
        let drained = |n| Entry { state: ListState::Draining, ..entry(n) };
        host.handle(Event::List(Listing::Changes((1..=3).map(drained).collect())));
        let (id, actions) = host.request_within(ANY, 2_000);
        assert!(sends(&actions).is_empty());
        let at_aim = refused(&host.advance(400), id).is_some();
        assert_eq!(at_aim, overloaded, "late worth {late_worth}, answers of {slow_ms} ms");
    }
}

#[test]
fn a_failed_subscription_to_the_list_is_repeated() {
    let subscribing = Settings { discovery: Discovery::Ask, ..settings() };
    let mut host = Host::new(subscribing, 0);
    let mut actions = Vec::new();
    let mut router = Router::new(1, Settings { discovery: Discovery::Ask, ..settings() });
    router.handle(host.now, Event::List(Listing::Full(vec![])), &mut actions);
    assert!(actions.contains(&Action::Subscribe));
    host.handle(Event::List(Listing::Failed));
    assert!(host.advance(1_100).contains(&Action::Subscribe));
}

#[test]
fn unexpected_events_are_answered_or_ignored() {
    let mut host = Host::new(settings(), 0);
    let (id, actions) = host.request(ANY);
    assert!(sends(&actions).is_empty());
    assert!(
        refused(&host.advance(400), id).is_some(),
        "a request for a group without members still gets an answer"
    );
    host.end_attempt(RequestId(999), 7, 9, Verdict::Ok);
    host.handle(Event::Gone(RequestId(999)));
    host.handle(Event::Streaming(RequestId(999)));
    for report in [vec![], vec![f64::NAN, f64::INFINITY], vec![1e300, -1e300, 5.0]] {
        host.handle(Event::Probed {
            member: member(1),
            verdict: Verdict::Ok,
            took: Span(-5),
            report: Some(report),
        });
    }
    let (id, actions) = host.request(ClassId(99));
    assert!(failed(&actions, id));
}

#[test]
fn an_answered_probe_does_not_show_that_requests_are_answered() {
    // A member that accepts work and answers none still answers probes, which bypass its queue.
    let mut host = with_primary(settings());
    let (_, actions) = host.request(UNSAFE);
    assert_eq!(sends(&actions), [member(1)]);
    host.now = host.now + Span::millis(700);
    host.probe_result(1, true, 0);
    assert!(sends(&host.request(KEYED).1).is_empty(), "nothing more is sent to the silent primary");
    host.now = host.now + Span::millis(20);
    assert_eq!(
        sends(&host.probe_result(2, true, 0)),
        [member(2)],
        "a primary seen later gets the held write"
    );
}

#[test]
fn held_requests_are_released_by_worth() {
    let mut settings = settings();
    settings.classes[FRESH.0].worth = 1.0;
    settings.classes[KEYED.0].worth = 6.0;
    let mut host = Host::new(settings, 1);
    let (first, _) = host.request(UNSAFE);
    host.end_attempt_as(first, 0, 1, Verdict::Miss, Some(Role::Replica));
    let (low, _) = host.request(FRESH);
    let (high, _) = host.request(KEYED);
    let actions = host.probe_result(1, true, 0);
    let order: Vec<RequestId> = actions
        .iter()
        .filter_map(|action| if let Action::Send { request, .. } = action { Some(*request) } else { None })
        .collect();
    let place = |id| order.iter().position(|other| *other == id);
    assert!(place(high).is_some() && place(low).is_none_or(|low| Some(low) > place(high)), "{order:?}");
}

#[test]
fn a_search_for_the_primary_starts_only_when_none_is_known() {
    // Guards against probes by reads that find every member at its limit, although the primary is known.
    let mut host = with_primary(settings());
    let probed: usize = (0..200).map(|_| probes(&host.request(ANY).1).len()).sum();
    assert_eq!(probed, 0);
}

#[test]
fn second_copies_resume_after_a_surge() {
    // If every timeout of a surge were charged to the retry budget without a lower bound, the debt would outlast
    // the surge.
    let mut host = Host::new(Settings { second_copies: true, ..settings() }, 3);
    let number = |target: &MemberId| (1..=3).find(|n| member(*n) == *target).unwrap();
    for _ in 0..300 {
        let (id, actions) = host.request(ANY);
        host.now = host.now + Span::millis(395);
        for target in sends(&actions) {
            host.end_attempt(id, 0, number(&target), Verdict::Timeout);
        }
    }
    host.now = host.now + Span::millis(10_000);
    for _ in 0..200 {
        let (id, actions) = host.request(ANY);
        host.now = host.now + Span::millis(20);
        for target in sends(&actions) {
            host.end_attempt(id, 0, number(&target), Verdict::Ok);
        }
    }
    let (_, actions) = host.request(ANY);
    assert_eq!(sends(&actions).len(), 1);
    assert_eq!(sends(&host.advance(390)).len(), 1, "a second copy, and no third");
}

#[test]
fn a_client_with_little_time_is_served_without_overload() {
    // Checks against overload must not refuse clients that arrive with little time left.
    let mut host = Host::new(settings(), 3);
    for _ in 0..20 {
        let (id, actions) = host.request_within(ANY, 120);
        let target = sends(&actions);
        assert_eq!(target.len(), 1);
        let n = (1..=3).find(|n| member(*n) == target[0]).unwrap();
        host.answer_after(id, 0, n, 20);
    }
}

#[test]
fn drains_in_waves_eject_no_other_member() {
    let mut host = Host::new(settings(), 6);
    for wave in [[1, 2], [3, 4]] {
        let mut in_flight = Vec::new();
        for _ in 0..6 {
            let (id, actions) = host.request(ANY);
            in_flight.extend(sends(&actions).into_iter().map(|target| (id, target)));
        }
        let state = ListState::Draining;
        host.handle(Event::List(Listing::Changes(wave.map(|n| Entry { state, ..entry(n) }).to_vec())));
        for (id, target) in in_flight {
            let n = (1..=6).find(|n| member(*n) == target).unwrap();
            host.end_attempt(id, 0, n, if wave.contains(&n) { Verdict::Reset } else { Verdict::Ok });
        }
        host.now = host.now + Span::millis(500);
        let target: Vec<MemberId> = (0..8).flat_map(|_| sends(&host.request(ANY).1)).collect();
        assert!(target.len() >= 4 && !wave.iter().any(|n| target.contains(&member(*n))), "{target:?}");
        host.now = host.now + Span::millis(1_500);
        host.handle(Event::Wake);
    }
}
