//! What a majority has stored is seen by every later holder, although messages are lost, duplicated or late and
//! voters restart; and without one of the register's rules it is not.

use linnetdeal_coordination::lease::{Token, VoterSet};
use linnetdeal_coordination::work::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use std::collections::BTreeSet;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct NoBlank;
impl RegisterRules for NoBlank {
    const BLANK_AFTER_START: bool = false;
}
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct NoPromises;
impl RegisterRules for NoPromises {
    const PROMISES: bool = false;
}
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct NoMemoryIds;
impl RegisterRules for NoMemoryIds {
    const MEMORY_IDS: bool = false;
}
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct NoReadFirst;
impl RegisterRules for NoReadFirst {
    const READ_FIRST: bool = false;
}

struct Holder<K> {
    writer: Writer<K>,
    base: Option<(Token, u32)>,
    committed: (Token, u32),
}

/// Runs voters and holders that do not learn when others stop; messages arrive in any order, twice or never. At
/// most a minority of voters is blank at a time. Returns whether a holder went on from something older than
/// what a holder with a lower token has stored, before or afterwards, and how many records were stored.
fn run_random<K: RegisterRules>(seed: u64, count: u16) -> (bool, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut random_below = move |bound: usize| rng.next_u64() as usize % bound;
    let voters: BTreeSet<u16> = (0..count).collect();
    let voter_set = VoterSet::new(voters.clone(), vec![]);
    let mut stores: Vec<VoterStore<K>> =
        (0..count).map(|me| VoterStore::new(me, 1_000 + u32::from(me))).collect();
    let mut next_memory_id = 2_000;
    let mut round = 0;
    // The fleet starts together: every voter has heard that all others are blank.
    for me in 0..count {
        if let Some(Message::Read { round, .. }) = stores[usize::from(me)].recovery_read(1) {
            for other in (0..count).filter(|other| *other != me) {
                stores[usize::from(me)].on_read_reply(
                    &voter_set,
                    other,
                    round,
                    true,
                    Token(0),
                    &Record::default(),
                );
            }
        }
    }
    let mut holders: Vec<Holder<K>> = Vec::new();
    // Messages between holders or voters on one side and voters on the other: from a holder, index of the
    // sender, voter, message.
    let mut in_flight: Vec<(bool, usize, u16, Message)> = Vec::new();
    let (mut violated, mut stored) = (false, 0);
    for _ in 0..1_200 {
        match random_below(12) {
            0 if holders.len() < 8 && random_below(3) == 0 => {
                round += 1;
                let token = Token(10 + holders.len() as u64);
                let writer = Writer::new(token, 0x8000_0000 | round, voters.clone());
                holders.push(Holder { writer, base: None, committed: (Token(0), 0) });
            }
            1 | 2 if !holders.is_empty() => {
                // Any holder, including one that was paused.
                let index = random_below(holders.len());
                let holder = &mut holders[index];
                if let Some(base) = holder.writer.recovered().map(Record::revision) {
                    holder.base = Some(base);
                }
                if let Some(before) = holder.writer.recovered().or(holder.writer.committed()).cloned() {
                    holder.writer.write(before);
                }
                in_flight.extend(
                    holder
                        .writer
                        .pending_messages()
                        .into_iter()
                        .map(|(to, message)| (true, index, to, message)),
                );
            }
            3 if random_below(4) == 0 => {
                let blank = stores.iter().filter(|store| store.is_blank()).count();
                if blank < usize::from(count / 2) {
                    next_memory_id += 1;
                    let index = random_below(count.into());
                    stores[index] = VoterStore::new(index as u16, next_memory_id);
                }
            }
            4 => {
                let index = random_below(count.into());
                round += 1;
                if let Some(message) = stores[index].recovery_read(round) {
                    let others = (0..count).filter(|other| usize::from(*other) != index);
                    in_flight.extend(others.map(|to| (false, index, to, message.clone())));
                }
            }
            _ if !in_flight.is_empty() => {
                let index = random_below(in_flight.len());
                let envelope = if random_below(10) == 0 {
                    in_flight[index].clone()
                } else {
                    in_flight.swap_remove(index)
                };
                if random_below(8) == 0 {
                    continue;
                }
                let (from_holder, sender, voter, message) = envelope;
                let store = &mut stores[usize::from(voter)];
                match message {
                    Message::Read { round, promise, memory_id } => {
                        let from = if from_holder { 900 + sender as u16 } else { sender as u16 };
                        let answer = store.read(from, round, promise, memory_id);
                        in_flight.push((from_holder, sender, voter, answer));
                    }
                    Message::Write { memory_ids, record } => {
                        let answer = store.write(&voters, &memory_ids, &record);
                        in_flight.push((true, sender, voter, answer));
                    }
                    Message::ReadReply { round, memory_id, blank, promised, record } if from_holder => {
                        let holder = &mut holders[sender].writer;
                        holder.on_read_reply(&voter_set, voter, (round, memory_id), blank, promised, record);
                    }
                    Message::ReadReply { round, blank, promised, record, .. } => {
                        stores[sender].on_read_reply(&voter_set, voter, round, blank, promised, &record);
                    }
                    Message::WriteReply { token, version, memory_id, refused, promised } => {
                        let holder = &mut holders[sender];
                        holder.writer.on_write_reply(
                            &voter_set,
                            voter,
                            (token, version),
                            memory_id,
                            refused,
                            promised,
                        );
                        if let Some(revision) = holder.writer.committed().map(Record::revision) {
                            stored += usize::from(revision > holder.committed);
                            holder.committed = holder.committed.max(revision);
                        }
                    }
                    _ => {}
                }
            }
            _ => {}
        }
        in_flight.truncate(400);
    }
    for (later, holder) in holders.iter().enumerate() {
        // A holder that has stored something must have gone on from all that is stored with lower tokens, whether
        // that was stored before its read or after it.
        let Some(base) = holder.base.filter(|_| holder.committed > (Token(0), 0)) else { continue };
        violated |= holders[..later].iter().any(|earlier| earlier.committed > base);
    }
    (violated, stored)
}

#[test]
fn a_write_that_does_not_name_all_voters_is_refused() {
    let voters: BTreeSet<u16> = (0..3).collect();
    let voter_set = VoterSet::new(voters.clone(), vec![]);
    let mut store: VoterStore<FullRegisterRules> = VoterStore::new(2, 1_002);
    store.recovery_read(1);
    for other in [0, 1] {
        store.on_read_reply(&voter_set, other, 1, true, Token(0), &Record::default());
    }
    let record = Record { token: Token(5), version: 1, ..Record::default() };
    for (memory_ids, expected) in [(&[7, 8][..], true), (&[7, 8, 1_002, 9], true), (&[7, 8, 1_002], false)] {
        let answer = store.write(&voters, memory_ids, &record);
        assert!(
            matches!(answer, Message::WriteReply { refused, .. } if refused == expected),
            "{memory_ids:?}"
        );
    }
}

fn find_violation<K: RegisterRules>(seeds: u64) -> Option<u64> {
    (0..seeds).find(|seed| run_random::<K>(*seed, if seed % 2 == 0 { 3 } else { 5 }).0)
}

#[test]
fn what_a_majority_has_stored_is_seen_by_every_later_holder() {
    let mut stored = 0;
    for seed in 0..6_000 {
        let (violated, more) = run_random::<FullRegisterRules>(seed, if seed % 2 == 0 { 3 } else { 5 });
        assert!(!violated, "seed {seed}");
        stored += more;
    }
    assert!(!misses_record_after_late_ack::<FullRegisterRules>());
    assert!(stored > 6_000, "{stored} records were stored");
}

/// A voter stores a record and restarts; what it then reads does not include the record. Its answer from before
/// the restart arrives late and completes a majority for the holder. Returns whether a later holder misses what
/// was stored.
fn misses_record_after_late_ack<K: RegisterRules>() -> bool {
    let voters: BTreeSet<u16> = (0..3).collect();
    let voter_set = VoterSet::new(voters.clone(), vec![]);
    let mut stores: Vec<VoterStore<K>> =
        (0..3).map(|me| VoterStore::new(me, 1_000 + u32::from(me))).collect();
    for me in 0..3 {
        stores[usize::from(me)].recovery_read(1);
        for other in (0..3).filter(|other| *other != me) {
            stores[usize::from(me)].on_read_reply(&voter_set, other, 1, true, Token(0), &Record::default());
        }
    }
    let read = |stores: &mut Vec<VoterStore<K>>, writer: &mut Writer<K>, from: &[u16]| {
        for (voter, message) in writer.pending_messages() {
            let (true, Message::Read { round, promise, memory_id }) = (from.contains(&voter), message) else {
                continue;
            };
            let answer = stores[usize::from(voter)].read(9, round, promise, memory_id);
            let Message::ReadReply { round, memory_id, blank, promised, record } = answer else {
                unreachable!()
            };
            writer.on_read_reply(&voter_set, voter, (round, memory_id), blank, promised, record);
        }
    };
    let write = |stores: &mut Vec<VoterStore<K>>, writer: &Writer<K>, to: u16| {
        let (_, message) = writer.pending_messages().into_iter().find(|(voter, _)| *voter == to).unwrap();
        let Message::Write { memory_ids, record } = message else { unreachable!() };
        stores[usize::from(to)].write(&voters, &memory_ids, &record)
    };
    let take = |writer: &mut Writer<K>, from: u16, answer: Message| {
        let Message::WriteReply { token, version, memory_id, refused, promised } = answer else {
            unreachable!()
        };
        writer.on_write_reply(&voter_set, from, (token, version), memory_id, refused, promised);
    };
    let mut first: Writer<K> = Writer::new(Token(10), 0x8000_0001, voters.clone());
    read(&mut stores, &mut first, &[0, 1, 2]);
    first.write(Record { plan: PlanId(7), ..Record::default() });
    let late = write(&mut stores, &first, 0);
    // It restarts, and reads from both others.
    stores[0] = VoterStore::new(0, 2_000);
    let Some(Message::Read { round, promise, memory_id }) = stores[0].recovery_read(2) else {
        unreachable!()
    };
    for other in [1, 2] {
        let Message::ReadReply { blank, promised, record, .. } =
            stores[other].read(0, round, promise, memory_id)
        else {
            unreachable!()
        };
        stores[0].on_read_reply(&voter_set, other as u16, round, blank, promised, &record);
    }
    assert!(!stores[0].is_blank());
    take(&mut first, 0, late);
    let answer = write(&mut stores, &first, 1);
    take(&mut first, 1, answer);
    let Some(committed) = first.committed().map(Record::revision) else { return false };
    let mut second: Writer<K> = Writer::new(Token(11), 0x8000_0002, voters.clone());
    read(&mut stores, &mut second, &[0, 2]);
    second.recovered().is_some_and(|record| record.revision() < committed)
}

#[test]
fn without_one_of_its_rules_a_stored_record_is_lost() {
    let cases = [
        ("a blank voter counts", find_violation::<NoBlank>(20_000)),
        ("a voter promises nothing", find_violation::<NoPromises>(20_000)),
        (
            "what was stored before a restart counts after it",
            misses_record_after_late_ack::<NoMemoryIds>().then_some(0),
        ),
        ("a holder does not read", find_violation::<NoReadFirst>(20_000)),
    ];
    for (rule, seed) in cases {
        assert!(seed.is_some(), "{rule}: no violation found");
        println!("{rule}: found with seed {seed:?}");
    }
}
