//! The bytes of what is said of machines out for work, behind the head that all letters have. Numbers are big-endian.

use super::record::{
    Command, CommandResult, GroupLoad, Heartbeat, MAX_MACHINES, MachineKind, MachineSet, MachineState,
    Message, Mode, PART, PlanId, Record,
};
use crate::lease::Reader;

/// The form of the first of them; those before belong to leases.
const FIRST: u8 = 16;
/// Voters that a write names.
pub const MAX_VOTERS: usize = 14;

/// Writes one.
pub(crate) fn encode(out: &mut Vec<u8>, note: &Message) {
    match note {
        Message::Read { round, promise, own } => {
            out.push(FIRST);
            out.extend(round.to_be_bytes());
            out.extend(promise.0.to_be_bytes());
            out.extend(own.to_be_bytes());
        }
        Message::Seen { round, own, blank, promised, record } => {
            out.push(FIRST + 1);
            out.extend(round.to_be_bytes());
            out.extend(own.to_be_bytes());
            out.push(u8::from(*blank));
            out.extend(promised.0.to_be_bytes());
            put_record(out, record);
        }
        Message::Write { numbers, record } => {
            out.push(FIRST + 2);
            let numbers = &numbers[..numbers.len().min(MAX_VOTERS)];
            out.push(numbers.len() as u8);
            numbers.iter().for_each(|number| out.extend(number.to_be_bytes()));
            put_record(out, record);
        }
        Message::Stored { token, version, own, refused, promised } => {
            out.push(FIRST + 3);
            out.extend(token.0.to_be_bytes());
            out.extend(version.to_be_bytes());
            out.extend(own.to_be_bytes());
            out.push(u8::from(*refused));
            out.extend(promised.0.to_be_bytes());
        }
        Message::Tell { record } => {
            out.push(FIRST + 4);
            put_record(out, record);
        }
        Message::Heartbeat(word) => {
            out.push(FIRST + 5);
            put_word(out, word);
        }
        Message::Wants { plan, at } => {
            out.push(FIRST + 6);
            out.extend(plan.0.to_be_bytes());
            out.extend(at.to_be_bytes());
        }
        Message::Part { plan, kind, nonce, count, at, machines } => {
            out.push(FIRST + 7);
            out.extend(plan.0.to_be_bytes());
            out.push(u8::from(*kind == MachineKind::Poolers));
            out.extend(nonce.to_be_bytes());
            out.extend(count.to_be_bytes());
            out.extend(at.to_be_bytes());
            machines.iter().take(PART).for_each(|machine| out.extend(machine.to_be_bytes()));
        }
        Message::Call { call, verb, plan, at } => {
            out.push(FIRST + 8);
            out.extend(call.to_be_bytes());
            out.push(place(&Command::ALL, verb));
            out.extend(plan.0.to_be_bytes());
            out.extend(at.to_be_bytes());
        }
        Message::Reply { call, said } => {
            out.push(FIRST + 9);
            out.extend(call.to_be_bytes());
            out.push(place(&CommandResult::ALL, said));
        }
    }
}

/// Where something stands among all of its kind; each list names all.
fn place<T: PartialEq>(all: &[T], one: &T) -> u8 {
    all.iter().position(|of| of == one).unwrap_or(0) as u8
}

fn put_record(out: &mut Vec<u8>, record: &Record) {
    out.extend(record.token.0.to_be_bytes());
    out.extend(record.version.to_be_bytes());
    out.extend(record.plan.0.to_be_bytes());
    out.push(place(&Mode::ALL, &record.mode));
    let states = &record.states[..record.states.len().min(MAX_MACHINES)];
    out.extend((states.len() as u16).to_be_bytes());
    for two in states.chunks(2) {
        let high = place(&MachineState::ALL, &two[0]);
        out.push(high << 4 | two.get(1).map_or(0, |low| place(&MachineState::ALL, low)));
    }
}

fn put_word(out: &mut Vec<u8>, word: &Heartbeat) {
    out.extend(word.plan.0.to_be_bytes());
    out.extend(word.token.0.to_be_bytes());
    out.extend(word.version.to_be_bytes());
    out.push(u8::from(word.blank));
    out.extend(word.zone.to_be_bytes());
    let clear = word.clear.bytes();
    out.push(clear.len() as u8);
    out.extend(clear);
    let failing = &word.failing[..word.failing.len().min(Heartbeat::MOST_FAILING)];
    out.push(failing.len() as u8);
    failing.iter().for_each(|of| out.extend(of.to_be_bytes()));
    for load in word.loads.iter().take(Heartbeat::MOST_LOADS) {
        [load.group, load.current, load.peak].iter().for_each(|part| out.extend(part.to_be_bytes()));
    }
}

/// Reads one, to the end of what is there.
pub(crate) fn decode(form: u8, read: &mut Reader<'_>) -> Option<Message> {
    read.note(form.checked_sub(FIRST)?)
}

impl Reader<'_> {
    fn byte(&mut self) -> Option<u8> {
        Some(self.read_bytes::<1>()?[0])
    }

    fn one<T: Copy>(&mut self, all: &[T]) -> Option<T> {
        all.get(usize::from(self.byte()?)).copied()
    }

    fn plan(&mut self) -> Option<PlanId> {
        Some(PlanId(self.read_u64()?))
    }

    fn record(&mut self) -> Option<Record> {
        let (token, version, plan) = (self.token()?, self.read_u32()?, self.plan()?);
        let (mode, count) = (self.one(&Mode::ALL)?, usize::from(self.read_u16()?));
        if count > MAX_MACHINES {
            return None;
        }
        let mut states = Vec::with_capacity(count);
        while states.len() < count {
            let two = self.byte()?;
            states.push(*MachineState::ALL.get(usize::from(two >> 4))?);
            if states.len() < count {
                states.push(*MachineState::ALL.get(usize::from(two & 15))?);
            } else if two & 15 != 0 {
                return None;
            }
        }
        Some(Record { token, version, plan, mode, states })
    }

    fn said_word(&mut self) -> Option<Heartbeat> {
        let (plan, token, version) = (self.plan()?, self.token()?, self.read_u32()?);
        let (blank, zone, size) = (self.read_bool()?, self.read_u16()?, usize::from(self.byte()?));
        if size > MAX_MACHINES / 8 || size > self.0.len() {
            return None;
        }
        let (clear, rest) = self.0.split_at(size);
        self.0 = rest;
        let count = usize::from(self.byte()?);
        if count > Heartbeat::MOST_FAILING {
            return None;
        }
        let failing: Option<Vec<u64>> = (0..count).map(|_| self.read_u64()).collect();
        let mut loads = Vec::new();
        while !self.0.is_empty() && loads.len() < Heartbeat::MOST_LOADS {
            loads.push(GroupLoad {
                group: self.read_u16()?,
                current: self.read_u16()?,
                peak: self.read_u16()?,
            });
        }
        let clear = MachineSet::read(clear);
        Some(Heartbeat { plan, token, version, clear, blank, zone, failing: failing?, loads })
    }

    fn note(&mut self, form: u8) -> Option<Message> {
        Some(match form {
            0 => Message::Read { round: self.read_u32()?, promise: self.token()?, own: self.read_u32()? },
            1 => Message::Seen {
                round: self.read_u32()?,
                own: self.read_u32()?,
                blank: self.read_bool()?,
                promised: self.token()?,
                record: self.record()?,
            },
            2 => {
                let count = usize::from(self.byte()?);
                if count > MAX_VOTERS {
                    return None;
                }
                let numbers: Option<Vec<u32>> = (0..count).map(|_| self.read_u32()).collect();
                Message::Write { numbers: numbers?, record: self.record()? }
            }
            3 => Message::Stored {
                token: self.token()?,
                version: self.read_u32()?,
                own: self.read_u32()?,
                refused: self.read_bool()?,
                promised: self.token()?,
            },
            4 => Message::Tell { record: self.record()? },
            5 => Message::Heartbeat(self.said_word()?),
            6 => Message::Wants { plan: self.plan()?, at: self.read_u16()? },
            7 => {
                let (plan, kind, nonce) = (self.plan()?, self.read_bool()?, self.read_u64()?);
                let (count, at) = (self.read_u16()?, self.read_u16()?);
                let kind = if kind { MachineKind::Poolers } else { MachineKind::Servers };
                let mut machines = Vec::new();
                while !self.0.is_empty() && machines.len() < PART {
                    machines.push(self.read_u64()?);
                }
                Message::Part { plan, kind, nonce, count, at, machines }
            }
            8 => Message::Call {
                call: self.read_u32()?,
                verb: self.one(&Command::ALL)?,
                plan: self.plan()?,
                at: self.read_u16()?,
            },
            9 => Message::Reply { call: self.read_u32()?, said: self.one(&CommandResult::ALL)? },
            _ => return None,
        })
    }
}
