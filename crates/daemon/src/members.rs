//! `linnetdeal members`: prints the servers that a pooler with this operator's file would accept as members now.

use crate::{ExitError, registry};
use linnetdeal_core::membership::{Membership, SourceId, SourceUpdate, UpdateOutcome};
use linnetdeal_core::{ListState, Span, Time};
use linnetdeal_operator::OperatorSettings;
use linnetdeal_registry::follow::{Counters, Follower, Sink};
use serde_json::json;
use std::cell::RefCell;
use std::fmt;
use std::io::Write;
use std::path::Path;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Clone)]
struct MemberTable(Rc<RefCell<Membership>>);

impl Sink for MemberTable {
    fn now(&self) -> Time {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Time(i64::try_from(now.as_micros()).unwrap_or(i64::MAX))
    }

    fn apply_update(&self, update: SourceUpdate) -> UpdateOutcome {
        self.0.borrow_mut().apply_update(self.now(), SourceId(0), update)
    }

    fn log(&self, line: &dyn fmt::Display) {
        let _ = writeln!(std::io::stderr(), "{line}");
    }
}

/// Queries the registry of an operator's file and prints its members.
pub fn show(operator: &Path, as_json: bool) -> Result<(), ExitError> {
    let operator = OperatorSettings::load(operator).map_err(ExitError::config)?;
    let settings = operator.registry.ok_or_else(|| ExitError::config("no registry stands in this file"))?;
    let registry = registry::registry(&settings, None).map_err(ExitError::config)?;
    let servers = registry.servers.len();
    let table = MemberTable(Rc::new(RefCell::new(Membership::new(Span::millis(0), usize::MAX))));
    let counters = Rc::new(Counters::default());
    let mut follower =
        Follower::new(registry, 0, table.clone(), counters.clone()).map_err(ExitError::config)?;
    let query_result = futures_lite::future::block_on(async {
        let mut last_error = None;
        for _ in 0..servers {
            match follower.poll().await {
                Ok(_) => return Ok(()),
                Err(error) => last_error = Some(error),
            }
        }
        last_error.map_or(Ok(()), Err)
    });
    query_result.map_err(|error| ExitError::other(format!("no server of the registry answered: {error}")))?;
    let members = table.0.borrow();
    let state = |state| match state {
        ListState::Healthy => "up",
        ListState::Draining => "draining",
        ListState::Gone => "gone",
    };
    let mut out = String::new();
    if as_json {
        let rows: Vec<_> = members
            .iter()
            .map(|(id, member_info)| {
                json!({"member": &*id.0, "address": member_info.address.map(|at| at.to_string()),
                       "group": member_info.group.0, "zone": member_info.zone, "state": state(member_info.state),
                       "primary": member_info.primary,
                       "started_ms": member_info.started.map(|at| at.0 / 1_000)})
            })
            .collect();
        out = json!({"members": rows, "refused": counters.refused.get(), "outside": counters.outside.get(),
                     "unreadable": counters.unreadable.get()})
        .to_string()
            + "\n";
    } else {
        let row = |cells: [&str; 6]| {
            let [member, address, group, zone, state, role] = cells;
            format!("{member:<24} {address:<24} {group:>6} {zone:<12} {state:<9} {role}\n")
        };
        out += &row(["MEMBER", "ADDRESS", "GROUP", "ZONE", "STATE", "ROLE"]);
        for (id, member_info) in members.iter() {
            let address = member_info.address.map_or("-".to_owned(), |at| at.to_string());
            let zone = if member_info.zone.is_empty() { "-" } else { &member_info.zone };
            let role = if member_info.primary { "primary" } else { "-" };
            out += &row([
                &id.0,
                &address,
                &member_info.group.0.to_string(),
                zone,
                state(member_info.state),
                role,
            ]);
        }
        let (refused, outside) = (counters.refused.get(), counters.outside.get());
        if refused > 0 {
            out += &format!("{refused} refused, of which {outside} lie outside of the networks\n");
        }
    }
    std::io::stdout().write_all(out.as_bytes()).map_err(ExitError::other)
}
