//! Encoding of the messages of a maintenance plan, which follow the common header of datagrams. Numbers are
//! big-endian.

use super::record::{
    Command, CommandResult, GroupLoad, Heartbeat, MACHINES_PER_CHUNK, MAX_MACHINES, MachineKind, MachineSet,
    MachineState, Message, Mode, PlanId, Record,
};
use crate::lease::Reader;

/// Kind number of the first of these messages; the lower ones belong to the lease protocol.
const FIRST_KIND: u8 = 16;
/// Maximum number of voters that a write names.
pub const MAX_VOTERS: usize = 14;

/// Appends an encoded message.
pub(crate) fn encode(out: &mut Vec<u8>, message: &Message) {
    match message {
        Message::Read { round, promise, memory_id } => {
            out.push(FIRST_KIND);
            out.extend(round.to_be_bytes());
            out.extend(promise.0.to_be_bytes());
            out.extend(memory_id.to_be_bytes());
        }
        Message::ReadReply { round, memory_id, blank, promised, record } => {
            out.push(FIRST_KIND + 1);
            out.extend(round.to_be_bytes());
            out.extend(memory_id.to_be_bytes());
            out.push(u8::from(*blank));
            out.extend(promised.0.to_be_bytes());
            write_record(out, record);
        }
        Message::Write { memory_ids, record } => {
            out.push(FIRST_KIND + 2);
            let memory_ids = &memory_ids[..memory_ids.len().min(MAX_VOTERS)];
            out.push(memory_ids.len() as u8);
            memory_ids.iter().for_each(|id| out.extend(id.to_be_bytes()));
            write_record(out, record);
        }
        Message::WriteReply { token, version, memory_id, refused, promised } => {
            out.push(FIRST_KIND + 3);
            out.extend(token.0.to_be_bytes());
            out.extend(version.to_be_bytes());
            out.extend(memory_id.to_be_bytes());
            out.push(u8::from(*refused));
            out.extend(promised.0.to_be_bytes());
        }
        Message::Publish { record } => {
            out.push(FIRST_KIND + 4);
            write_record(out, record);
        }
        Message::Heartbeat(heartbeat) => {
            out.push(FIRST_KIND + 5);
            write_heartbeat(out, heartbeat);
        }
        Message::FetchPlan { plan, index } => {
            out.push(FIRST_KIND + 6);
            out.extend(plan.0.to_be_bytes());
            out.extend(index.to_be_bytes());
        }
        Message::PlanChunk { plan, kind, nonce, count, index, machines } => {
            out.push(FIRST_KIND + 7);
            out.extend(plan.0.to_be_bytes());
            out.push(u8::from(*kind == MachineKind::Poolers));
            out.extend(nonce.to_be_bytes());
            out.extend(count.to_be_bytes());
            out.extend(index.to_be_bytes());
            machines.iter().take(MACHINES_PER_CHUNK).for_each(|machine| out.extend(machine.to_be_bytes()));
        }
        Message::Command { id, command, plan, index } => {
            out.push(FIRST_KIND + 8);
            out.extend(id.to_be_bytes());
            out.push(position_in(&Command::ALL, command));
            out.extend(plan.0.to_be_bytes());
            out.extend(index.to_be_bytes());
        }
        Message::CommandReply { id, result } => {
            out.push(FIRST_KIND + 9);
            out.extend(id.to_be_bytes());
            out.push(position_in(&CommandResult::ALL, result));
        }
    }
}

/// The position of `value` among all values of its type; each list is complete.
fn position_in<T: PartialEq>(all: &[T], value: &T) -> u8 {
    all.iter().position(|entry| entry == value).unwrap_or(0) as u8
}

fn write_record(out: &mut Vec<u8>, record: &Record) {
    out.extend(record.token.0.to_be_bytes());
    out.extend(record.version.to_be_bytes());
    out.extend(record.plan.0.to_be_bytes());
    out.push(position_in(&Mode::ALL, &record.mode));
    let states = &record.states[..record.states.len().min(MAX_MACHINES)];
    out.extend((states.len() as u16).to_be_bytes());
    for pair in states.chunks(2) {
        let high = position_in(&MachineState::ALL, &pair[0]);
        out.push(high << 4 | pair.get(1).map_or(0, |low| position_in(&MachineState::ALL, low)));
    }
}

fn write_heartbeat(out: &mut Vec<u8>, heartbeat: &Heartbeat) {
    out.extend(heartbeat.plan.0.to_be_bytes());
    out.extend(heartbeat.token.0.to_be_bytes());
    out.extend(heartbeat.version.to_be_bytes());
    out.push(u8::from(heartbeat.blank));
    out.extend(heartbeat.zone.to_be_bytes());
    let clear = heartbeat.clear.bytes();
    out.push(clear.len() as u8);
    out.extend(clear);
    let failing = &heartbeat.failing[..heartbeat.failing.len().min(Heartbeat::MAX_FAILING)];
    out.push(failing.len() as u8);
    failing.iter().for_each(|server| out.extend(server.to_be_bytes()));
    for load in heartbeat.loads.iter().take(Heartbeat::MAX_LOADS) {
        [load.group, load.current, load.peak].iter().for_each(|number| out.extend(number.to_be_bytes()));
    }
}

/// Decodes a message up to the end of the input.
pub(crate) fn decode(kind: u8, reader: &mut Reader<'_>) -> Option<Message> {
    reader.message(kind.checked_sub(FIRST_KIND)?)
}

impl Reader<'_> {
    fn read_u8(&mut self) -> Option<u8> {
        Some(self.read_bytes::<1>()?[0])
    }

    fn read_enum<T: Copy>(&mut self, all: &[T]) -> Option<T> {
        all.get(usize::from(self.read_u8()?)).copied()
    }

    fn plan(&mut self) -> Option<PlanId> {
        Some(PlanId(self.read_u64()?))
    }

    fn record(&mut self) -> Option<Record> {
        let (token, version, plan) = (self.token()?, self.read_u32()?, self.plan()?);
        let (mode, count) = (self.read_enum(&Mode::ALL)?, usize::from(self.read_u16()?));
        if count > MAX_MACHINES {
            return None;
        }
        let mut states = Vec::with_capacity(count);
        while states.len() < count {
            let pair = self.read_u8()?;
            states.push(*MachineState::ALL.get(usize::from(pair >> 4))?);
            if states.len() < count {
                states.push(*MachineState::ALL.get(usize::from(pair & 15))?);
            } else if pair & 15 != 0 {
                return None;
            }
        }
        Some(Record { token, version, plan, mode, states })
    }

    fn heartbeat(&mut self) -> Option<Heartbeat> {
        let (plan, token, version) = (self.plan()?, self.token()?, self.read_u32()?);
        let (blank, zone, size) = (self.read_bool()?, self.read_u16()?, usize::from(self.read_u8()?));
        if size > MAX_MACHINES / 8 || size > self.0.len() {
            return None;
        }
        let (clear, rest) = self.0.split_at(size);
        self.0 = rest;
        let count = usize::from(self.read_u8()?);
        if count > Heartbeat::MAX_FAILING {
            return None;
        }
        let failing: Option<Vec<u64>> = (0..count).map(|_| self.read_u64()).collect();
        let mut loads = Vec::new();
        while !self.0.is_empty() && loads.len() < Heartbeat::MAX_LOADS {
            loads.push(GroupLoad {
                group: self.read_u16()?,
                current: self.read_u16()?,
                peak: self.read_u16()?,
            });
        }
        let clear = MachineSet::from_bytes(clear);
        Some(Heartbeat { plan, token, version, clear, blank, zone, failing: failing?, loads })
    }

    fn message(&mut self, kind: u8) -> Option<Message> {
        Some(match kind {
            0 => {
                Message::Read { round: self.read_u32()?, promise: self.token()?, memory_id: self.read_u32()? }
            }
            1 => Message::ReadReply {
                round: self.read_u32()?,
                memory_id: self.read_u32()?,
                blank: self.read_bool()?,
                promised: self.token()?,
                record: self.record()?,
            },
            2 => {
                let count = usize::from(self.read_u8()?);
                if count > MAX_VOTERS {
                    return None;
                }
                let memory_ids: Option<Vec<u32>> = (0..count).map(|_| self.read_u32()).collect();
                Message::Write { memory_ids: memory_ids?, record: self.record()? }
            }
            3 => Message::WriteReply {
                token: self.token()?,
                version: self.read_u32()?,
                memory_id: self.read_u32()?,
                refused: self.read_bool()?,
                promised: self.token()?,
            },
            4 => Message::Publish { record: self.record()? },
            5 => Message::Heartbeat(self.heartbeat()?),
            6 => Message::FetchPlan { plan: self.plan()?, index: self.read_u16()? },
            7 => {
                let (plan, kind, nonce) = (self.plan()?, self.read_bool()?, self.read_u64()?);
                let (count, index) = (self.read_u16()?, self.read_u16()?);
                let kind = if kind { MachineKind::Poolers } else { MachineKind::Servers };
                let mut machines = Vec::new();
                while !self.0.is_empty() && machines.len() < MACHINES_PER_CHUNK {
                    machines.push(self.read_u64()?);
                }
                Message::PlanChunk { plan, kind, nonce, count, index, machines }
            }
            8 => Message::Command {
                id: self.read_u32()?,
                command: self.read_enum(&Command::ALL)?,
                plan: self.plan()?,
                index: self.read_u16()?,
            },
            9 => Message::CommandReply { id: self.read_u32()?, result: self.read_enum(&CommandResult::ALL)? },
            _ => return None,
        })
    }
}
