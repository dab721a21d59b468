//! Arbitrary event orders, with a fixed seed: what the actions alone must keep.

mod common;
use common::*;
use linnetdeal_core::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Step {
    Ask { class: usize, group: i64, left: i64 },
    End { pick: usize, verdict: usize, role: u8, back: i64 },
    List { at: usize, state: usize, started: bool, primary: bool },
    Whole { keep: usize },
    Probed { at: usize, value: f64, role: f64 },
    Leave { pick: usize },
    Pass { ms: i64 },
}

const VERDICTS: [Verdict; 9] = [
    Verdict::Ok,
    Verdict::Error,
    Verdict::Full,
    Verdict::Timeout,
    Verdict::ConnectFailed,
    Verdict::Reset,
    Verdict::Cancelled,
    Verdict::Moot,
    Verdict::Miss,
];
const STATES: [ListState; 3] = [ListState::Healthy, ListState::Draining, ListState::Gone];
const MEMBERS: usize = 6;

fn group_of(at: usize) -> GroupId {
    GroupId((at % 2) as i64)
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..7_usize, 0..3_i64, -5..1_500_i64).prop_map(|(class, group, left)| Step::Ask { class, group, left }),
        6 => (any::<usize>(), 0..9_usize, 0..3_u8, -500..500_i64)
            .prop_map(|(pick, verdict, role, back)| Step::End { pick, verdict, role, back }),
        1 => (0..MEMBERS, 0..3_usize, any::<bool>(), any::<bool>())
            .prop_map(|(at, state, started, primary)| Step::List { at, state, started, primary }),
        1 => (0..MEMBERS + 1).prop_map(|keep| Step::Whole { keep }),
        1 => (0..MEMBERS, any::<f64>(), any::<f64>()).prop_map(|(at, value, role)| Step::Probed { at, value, role }),
        1 => any::<usize>().prop_map(|pick| Step::Leave { pick }),
        4 => (1..80_i64).prop_map(|ms| Step::Pass { ms }),
    ];
    proptest::collection::vec(step, 1..160)
}

struct Owed {
    class: usize,
    group: GroupId,
    deadline: Time,
    done: bool,
    attempts: Vec<(MemberId, Option<Verdict>)>,
}

/// Plays the steps and checks each action as it comes.
fn play(steps: &[Step], copies: bool, checks: Checks) {
    let settings = Settings { second_copies: copies, checks, max_attempts: 5, ..settings() };
    let classes = settings.classes.clone();
    let mut router = Router::new(11, settings);
    let mut now = Time(50_000_000);
    let mut owed: BTreeMap<RequestId, Owed> = BTreeMap::new();
    let mut barred = [false; MEMBERS];
    let mut next = 0_u64;
    let line = |at: usize| Entry { group: group_of(at), ..entry(at) };
    let number = |id: &MemberId| (0..MEMBERS).find(|at| member(*at) == *id).expect("a listed member");
    let mut events = vec![Event::List(Listing::Full((0..MEMBERS).map(line).collect()))];
    let idle = vec![Step::Pass { ms: 5 }; 400];
    for step in steps.iter().chain(&idle) {
        match step {
            Step::Ask { class, group, left } => {
                next += 1;
                let id = RequestId(next);
                let left = Span::millis(*left);
                let group = GroupId(*group);
                let known =
                    Owed { class: *class, group, deadline: now + left, done: false, attempts: vec![] };
                owed.insert(id, known);
                events.push(Event::Request(Request {
                    id,
                    class: ClassId(*class),
                    tenant: None,
                    session: Some(SessionKey(next % 3)),
                    left,
                    group,
                    last_write: None,
                    cost: None,
                    retry: false,
                }));
            }
            Step::End { pick, verdict, role, back } => {
                let out: Vec<(RequestId, usize)> = owed
                    .iter()
                    .flat_map(|(id, o)| o.attempts.iter().enumerate().map(|(at, a)| (*id, at, a.1)))
                    .filter(|(_, _, end)| end.is_none())
                    .map(|(id, at, _)| (id, at))
                    .collect();
                if let Some((id, at)) = out.get(pick % out.len().max(1)) {
                    let request = owed.get_mut(id).unwrap();
                    let verdict = VERDICTS[*verdict];
                    request.attempts[*at].1 = Some(verdict);
                    let closed = request.done || verdict == Verdict::Ok;
                    request.done = closed;
                    let role = [None, Some(Role::Primary), Some(Role::Replica)][usize::from(*role)];
                    events.push(Event::Outcome(Outcome {
                        request: *id,
                        attempt: AttemptNo(*at as u32),
                        member: request.attempts[*at].0.clone(),
                        verdict,
                        note: Some(Note { role, position: Some(now + Span::millis(*back)) }),
                        took: Span::millis(*back),
                        closed,
                        report: None,
                    }));
                }
            }
            Step::List { at, state, started, primary } => {
                let started = started.then_some(now);
                let state = STATES[*state];
                barred[*at] = state != ListState::Healthy;
                events.push(Event::List(Listing::Changes(vec![Entry {
                    state,
                    started,
                    primary: *primary,
                    ..line(*at)
                }])));
            }
            Step::Whole { keep } => {
                for (at, barred) in barred.iter_mut().enumerate() {
                    *barred = at >= *keep;
                }
                events.push(Event::List(Listing::Full((0..*keep).map(line).collect())));
            }
            Step::Probed { at, value, role } => events.push(Event::Probed {
                member: member(*at),
                verdict: Verdict::Ok,
                took: Span(0),
                report: Some(vec![*value, *role]),
            }),
            Step::Leave { pick } => {
                let open: Vec<RequestId> = owed.iter().filter(|(_, o)| !o.done).map(|(id, _)| *id).collect();
                if let Some(id) = open.get(pick % open.len().max(1)) {
                    owed.get_mut(id).unwrap().done = true;
                    events.push(Event::Gone(*id));
                }
            }
            Step::Pass { ms } => {
                now = now + Span::millis(*ms);
                events.push(Event::Wake);
            }
        }
        for event in events.drain(..) {
            let mut actions = Vec::new();
            router.handle(now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Send { request, member, .. } => {
                        let at = number(&member);
                        assert!(!barred[at], "a send to a draining or removed member");
                        let open = owed.get_mut(&request).expect("a known request");
                        assert!(!open.done, "a send after the final answer");
                        assert_eq!(group_of(at), open.group, "a send outside the group");
                        let out = open.attempts.iter().filter(|a| a.1.is_none()).count();
                        let safe = classes[open.class].effect == Effect::Safe;
                        assert!(out == 0 || (out == 1 && copies && safe), "a forbidden second copy");
                        let ran = open.attempts.iter().any(|a| a.1.is_none_or(|v| !v.never_ran()));
                        assert!(safe || !ran, "a resend of what may have run");
                        open.attempts.push((member, None));
                        assert!(open.attempts.len() <= 5, "too many attempts");
                    }
                    Action::Refuse { request, .. } => {
                        let open = owed.get_mut(&request).expect("a known request");
                        assert!(!open.done, "a second final answer");
                        let ran = open.attempts.iter().any(|a| a.1.is_none_or(|v| !v.never_ran()));
                        let safe = classes.get(open.class).is_some_and(|c| c.effect == Effect::Safe);
                        assert!(safe || !ran, "a refusal of what may have run");
                        open.done = true;
                    }
                    Action::Fail { request } => {
                        let open = owed.get_mut(&request).expect("a known request");
                        assert!(!open.done, "a second final answer");
                        open.done = true;
                    }
                    _ => {}
                }
            }
        }
        if matches!(step, Step::Pass { .. }) {
            let late = owed.values().filter(|o| !o.done && now - o.deadline > Span::millis(100)).count();
            assert_eq!(late, 0, "requests without an answer after their deadline");
        }
    }
    assert!(owed.values().all(|o| o.done), "every request ends");
}

fn fixed(test: impl Fn(Vec<Step>) -> Result<(), TestCaseError>) {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng).run(&steps(), test).unwrap();
}

#[test]
fn any_order_of_events_keeps_the_rules_one_attempt_at_a_time() {
    fixed(|steps| {
        play(&steps, false, Checks::Refuse);
        Ok(())
    });
}

#[test]
fn any_order_of_events_keeps_the_rules_with_second_copies() {
    fixed(|steps| {
        play(&steps, true, Checks::None);
        Ok(())
    });
}
