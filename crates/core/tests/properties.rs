//! Random sequences of events, with a fixed seed: rules that must hold for the actions alone.

mod common;
use common::*;
use linnetdeal_core::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Step {
    Request { class: usize, group: i64, left: i64 },
    EndAttempt { pick: usize, verdict: usize, role: u8, offset_ms: i64 },
    List { index: usize, state: usize, started: bool, primary: bool },
    FullList { keep: usize },
    Probed { index: usize, value: f64, role: f64 },
    Disconnect { pick: usize },
    Advance { ms: i64 },
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

fn group_of(index: usize) -> GroupId {
    GroupId((index % 2) as i64)
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..7_usize, 0..3_i64, -5..1_500_i64).prop_map(|(class, group, left)| Step::Request { class, group, left }),
        6 => (any::<usize>(), 0..9_usize, 0..3_u8, -500..500_i64)
            .prop_map(|(pick, verdict, role, offset_ms)| Step::EndAttempt { pick, verdict, role, offset_ms }),
        1 => (0..MEMBERS, 0..3_usize, any::<bool>(), any::<bool>())
            .prop_map(|(index, state, started, primary)| Step::List { index, state, started, primary }),
        1 => (0..MEMBERS + 1).prop_map(|keep| Step::FullList { keep }),
        1 => (0..MEMBERS, any::<f64>(), any::<f64>()).prop_map(|(index, value, role)| Step::Probed { index, value, role }),
        1 => any::<usize>().prop_map(|pick| Step::Disconnect { pick }),
        4 => (1..80_i64).prop_map(|ms| Step::Advance { ms }),
    ];
    proptest::collection::vec(step, 1..160)
}

struct Tracked {
    class: usize,
    group: GroupId,
    deadline: Time,
    done: bool,
    attempts: Vec<(MemberId, Option<Verdict>)>,
}

/// Replays the steps and checks each action.
fn replay(steps: &[Step], copies: bool, checks: Checks) {
    let settings = Settings { second_copies: copies, checks, max_attempts: 5, ..settings() };
    let classes = settings.classes.clone();
    let mut router = Router::new(11, settings);
    let mut now = Time(50_000_000);
    let mut requests: BTreeMap<RequestId, Tracked> = BTreeMap::new();
    let mut unavailable = [false; MEMBERS];
    let mut next = 0_u64;
    let listed = |index: usize| Entry { group: group_of(index), ..entry(index) };
    let index_of = |id: &MemberId| (0..MEMBERS).find(|index| member(*index) == *id).expect("a listed member");
    let mut events = vec![Event::List(Listing::Full((0..MEMBERS).map(listed).collect()))];
    let idle = vec![Step::Advance { ms: 5 }; 400];
    for step in steps.iter().chain(&idle) {
        match step {
            Step::Request { class, group, left } => {
                next += 1;
                let id = RequestId(next);
                let left = Span::millis(*left);
                let group = GroupId(*group);
                let known =
                    Tracked { class: *class, group, deadline: now + left, done: false, attempts: vec![] };
                requests.insert(id, known);
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
            Step::EndAttempt { pick, verdict, role, offset_ms } => {
                let in_flight: Vec<(RequestId, usize)> = requests
                    .iter()
                    .flat_map(|(id, request)| {
                        request.attempts.iter().enumerate().map(|(index, attempt)| (*id, index, attempt.1))
                    })
                    .filter(|(_, _, end)| end.is_none())
                    .map(|(id, index, _)| (id, index))
                    .collect();
                if let Some((id, index)) = in_flight.get(pick % in_flight.len().max(1)) {
                    let request = requests.get_mut(id).unwrap();
                    let verdict = VERDICTS[*verdict];
                    request.attempts[*index].1 = Some(verdict);
                    let closed = request.done || verdict == Verdict::Ok;
                    request.done = closed;
                    let role = [None, Some(Role::Primary), Some(Role::Replica)][usize::from(*role)];
                    events.push(Event::Outcome(Outcome {
                        request: *id,
                        attempt: AttemptNo(*index as u32),
                        member: request.attempts[*index].0.clone(),
                        verdict,
                        note: Some(Note { role, position: Some(now + Span::millis(*offset_ms)) }),
                        took: Span::millis(*offset_ms),
                        closed,
                        report: None,
                    }));
                }
            }
            Step::List { index, state, started, primary } => {
                let started = started.then_some(now);
                let state = STATES[*state];
                unavailable[*index] = state != ListState::Healthy;
                events.push(Event::List(Listing::Changes(vec![Entry {
                    state,
                    started,
                    primary: *primary,
                    ..listed(*index)
                }])));
            }
            Step::FullList { keep } => {
                for (index, unavailable) in unavailable.iter_mut().enumerate() {
                    *unavailable = index >= *keep;
                }
                events.push(Event::List(Listing::Full((0..*keep).map(listed).collect())));
            }
            Step::Probed { index, value, role } => events.push(Event::Probed {
                member: member(*index),
                verdict: Verdict::Ok,
                took: Span(0),
                report: Some(vec![*value, *role]),
            }),
            Step::Disconnect { pick } => {
                let open: Vec<RequestId> =
                    requests.iter().filter(|(_, request)| !request.done).map(|(id, _)| *id).collect();
                if let Some(id) = open.get(pick % open.len().max(1)) {
                    requests.get_mut(id).unwrap().done = true;
                    events.push(Event::Gone(*id));
                }
            }
            Step::Advance { ms } => {
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
                        let index = index_of(&member);
                        assert!(!unavailable[index], "a send to a draining or removed member");
                        let open = requests.get_mut(&request).expect("a known request");
                        assert!(!open.done, "a send after the final answer");
                        assert_eq!(group_of(index), open.group, "a send outside the group");
                        let in_flight = open.attempts.iter().filter(|attempt| attempt.1.is_none()).count();
                        let safe = classes[open.class].effect == Effect::Safe;
                        assert!(
                            in_flight == 0 || (in_flight == 1 && copies && safe),
                            "a forbidden second copy"
                        );
                        let ran = open
                            .attempts
                            .iter()
                            .any(|attempt| attempt.1.is_none_or(|verdict| !verdict.never_ran()));
                        assert!(safe || !ran, "a resend of what may have run");
                        open.attempts.push((member, None));
                        assert!(open.attempts.len() <= 5, "too many attempts");
                    }
                    Action::Refuse { request, .. } => {
                        let open = requests.get_mut(&request).expect("a known request");
                        assert!(!open.done, "a second final answer");
                        let ran = open
                            .attempts
                            .iter()
                            .any(|attempt| attempt.1.is_none_or(|verdict| !verdict.never_ran()));
                        let safe = classes.get(open.class).is_some_and(|class| class.effect == Effect::Safe);
                        assert!(safe || !ran, "a refusal of what may have run");
                        open.done = true;
                    }
                    Action::Fail { request } => {
                        let open = requests.get_mut(&request).expect("a known request");
                        assert!(!open.done, "a second final answer");
                        open.done = true;
                    }
                    _ => {}
                }
            }
        }
        if matches!(step, Step::Advance { .. }) {
            let late = requests
                .values()
                .filter(|request| !request.done && now - request.deadline > Span::millis(100))
                .count();
            assert_eq!(late, 0, "requests without an answer after their deadline");
        }
    }
    assert!(requests.values().all(|request| request.done), "every request ends");
}

fn run_with_fixed_seed(test: impl Fn(Vec<Step>) -> Result<(), TestCaseError>) {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng).run(&steps(), test).unwrap();
}

#[test]
fn any_order_of_events_keeps_the_rules_one_attempt_at_a_time() {
    run_with_fixed_seed(|steps| {
        replay(&steps, false, Checks::Refuse);
        Ok(())
    });
}

#[test]
fn any_order_of_events_keeps_the_rules_with_second_copies() {
    run_with_fixed_seed(|steps| {
        replay(&steps, true, Checks::None);
        Ok(())
    });
}
