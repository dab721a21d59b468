//! The decoder of the settings, shared by both hosts. The simulator sends them as path=value pairs; the daemon's
//! configuration holds the same object as nested JSON, which is first flattened to such pairs.

pub mod schema;

use crate::interface::*;
use schema::{Key, Usage};
use serde_json::Value;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

/// A decoded value, or a message that says why it could not be decoded.
pub type Parsed<T> = Result<T, String>;

/// Converts a duration in milliseconds, rounded to microseconds.
#[must_use]
pub fn span_from_ms(ms: f64) -> Span {
    Span((ms * 1_000.0).round() as i64)
}

/// The settings as path=value pairs.
#[derive(Clone, Debug, Default)]
pub struct Pairs {
    values: BTreeMap<String, String>,
    /// The keys that were looked up, whether present or not.
    requested: RefCell<BTreeSet<String>>,
}

/// A setting that is present but has no effect.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Unused {
    /// Its path; `*` stands for the index of a list item.
    pub path: String,
    /// Why it has no effect.
    pub why: &'static str,
}

impl Pairs {
    /// Reads the parts of a line; parts that are not pairs are ignored.
    pub fn from_parts<'a>(parts: impl Iterator<Item = &'a str>) -> Self {
        let pairs = parts.filter_map(|pair| pair.split_once('='));
        let values = pairs.map(|(path, value)| (path.to_owned(), value.to_owned())).collect();
        Self { values, ..Self::default() }
    }

    /// Flattens nested JSON: lists of plain values are joined by commas, lists of objects become a count and indexed
    /// paths.
    #[must_use]
    pub fn from_json(value: &Value) -> Self {
        let mut pairs = Self::default();
        pairs.insert_flattened("", value);
        pairs
    }

    fn insert_flattened(&mut self, path: &str, value: &Value) {
        let child = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
        match value {
            Value::Null => {}
            Value::Object(fields) => {
                for (name, value) in fields {
                    self.insert_flattened(&child(name), value);
                }
            }
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.values.insert(child("count"), items.len().to_string());
                for (index, item) in items.iter().enumerate() {
                    self.insert_flattened(&child(&index.to_string()), item);
                }
            }
            Value::Array(items) => {
                let items: Vec<String> = items.iter().map(list_item).collect();
                self.values.insert(path.to_owned(), items.join(","));
            }
            // Commas and spaces are replaced in list items only: clients use the name of a class exactly as it is
            // here.
            _ => {
                let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
                self.values.insert(path.to_owned(), text);
            }
        }
    }

    /// Decodes the router's settings.
    ///
    /// # Errors
    ///
    /// If a value is missing or unreadable.
    pub fn settings(&self) -> Parsed<Settings> {
        settings(self)
    }

    /// The text at `key`.
    ///
    /// # Errors
    ///
    /// If there is none.
    pub fn text(&self, key: &str) -> Parsed<&str> {
        self.get(key).ok_or_else(|| format!("setting {key} is missing"))
    }

    /// The number at `key`.
    ///
    /// # Errors
    ///
    /// If there is none, or it is not a finite number.
    pub fn number(&self, key: &str) -> Parsed<f64> {
        let text = self.text(key)?;
        let value = text.parse().map_err(|_| format!("setting {key}: '{text}' is no number"))?;
        if f64::is_finite(value) { Ok(value) } else { Err(format!("setting {key} is not finite")) }
    }

    /// The number at `key`, or `fallback` if there is none.
    ///
    /// # Errors
    ///
    /// If it is present but not a finite number.
    pub fn number_or(&self, key: &str, fallback: f64) -> Parsed<f64> {
        if self.get(key).is_some() { self.number(key) } else { Ok(fallback) }
    }

    fn get(&self, key: &str) -> Option<&str> {
        let mut requested = self.requested.borrow_mut();
        if !requested.contains(key) {
            requested.insert(key.to_owned());
        }
        self.values.get(key).map(String::as_str)
    }

    /// The keys that have been looked up so far, whether present or not.
    #[must_use]
    pub fn requested(&self) -> BTreeSet<String> {
        self.requested.borrow().clone()
    }

    /// The keys that are present.
    pub fn keys(&self) -> impl Iterator<Item = &str> {
        self.values.keys().map(String::as_str)
    }

    /// The present keys that are not in the schema.
    #[must_use]
    pub fn unknown(&self) -> Vec<&str> {
        self.keys().filter(|path| Key::find(path).is_none()).collect()
    }

    /// The settings that are present and in the schema but have no effect. A setting of list items is reported once
    /// for all of them, and each field of a load report separately.
    #[must_use]
    pub fn unused(&self) -> Vec<Unused> {
        let known = self.keys().filter_map(Key::find);
        let keys = known.filter_map(|key| match key.usage {
            Usage::Read => None,
            Usage::Decoded(why) | Usage::Unread(why) => Some(Unused { path: key.path.to_owned(), why }),
        });
        let fields = self.values.get("Report.Fields").map_or("", String::as_str).split(',');
        let fields = fields.filter(|name| !name.is_empty() && Field::named(name) == Field::Other);
        let fields = fields.map(|name| Unused {
            path: format!("Report.Fields {name}"),
            why: "no decision goes by this field of a report",
        });
        keys.chain(fields).collect::<BTreeSet<_>>().into_iter().collect()
    }

    fn flag(&self, key: &str) -> Parsed<bool> {
        match self.text(key)? {
            "true" | "1" => Ok(true),
            "false" | "0" => Ok(false),
            other => Err(format!("setting {key}: '{other}' is neither true nor false")),
        }
    }
}

/// A plain value as a list item.
fn list_item(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), |text| text.replace([' ', ','], "_"))
}

fn settings(keys: &Pairs) -> Parsed<Settings> {
    let needs: Vec<&str> = keys.text("FamilyInfo.NeedsByClass")?.split(',').collect();
    let bounds: Vec<&str> = keys.text("FamilyInfo.OldestData")?.split(',').collect();
    let mut classes = Vec::new();
    for index in 0..keys.number("Lanes.count")? as usize {
        let lane_key = |name: &str| format!("Lanes.{index}.{name}");
        let need = match *needs.get(index).ok_or("FamilyInfo.NeedsByClass is too short")? {
            "mutate" => Need::Write,
            "eventual" => Need::Any,
            "causal" => Need::Session,
            "strong" => Need::Fresh,
            "lag_bound" => {
                let bound = bounds.get(index).and_then(|text| text.parse().ok());
                Need::Bounded(span_from_ms(bound.ok_or("FamilyInfo.OldestData is unreadable")?))
            }
            other => return Err(format!("unknown need '{other}' in FamilyInfo.NeedsByClass")),
        };
        let key = lane_key("Effect");
        let effect = match keys.text(&key)? {
            "retryable" => Effect::Safe,
            "dedup" => Effect::Keyed,
            "fragile" => Effect::Unsafe,
            other => return Err(format!("unknown {key} '{other}'")),
        };
        classes.push(Class {
            name: keys.text(&lane_key("Name"))?.to_owned(),
            effect,
            need,
            aim: span_from_ms(keys.number(&lane_key("Objective"))?),
            aim_stretch: keys.number_or(&lane_key("AimStretch"), 0.0)?,
            worth: keys.number(&lane_key("Worth"))?,
            late_worth: keys.number(&lane_key("LateValue"))?,
        });
    }
    let mut tenants = Vec::new();
    for index in 0..keys.number_or("Tenants.count", 0.0)? as usize {
        tenants.push(Tenant {
            name: keys.text(&format!("Tenants.{index}.Name"))?.to_owned(),
            quota: keys.number(&format!("Tenants.{index}.QuotaRps"))?,
        });
    }
    let fields = keys.text("Report.Fields").unwrap_or("").split(',').map(Field::named);
    Ok(Settings {
        classes,
        tenants,
        fleet: keys.number("FleetSize")?.max(1.0) as u32,
        zone: keys.text("Zone")?.to_owned(),
        discovery: match keys.text("Discovery")? {
            "push" => Discovery::Push,
            "ask" => Discovery::Ask,
            other => return Err(format!("unknown Discovery '{other}'")),
        },
        checks: match keys.text("FamilyInfo.WhenBehind")? {
            "none" => Checks::None,
            "bounce" | "await" => Checks::Refuse,
            other => return Err(format!("unknown FamilyInfo.WhenBehind '{other}'")),
        },
        tokens: match keys.text("FamilyInfo.SessionMarks")? {
            "brought" => Tokens::Carried,
            "kept" => Tokens::Remembered,
            other => return Err(format!("unknown FamilyInfo.SessionMarks '{other}'")),
        },
        zero: Time(span_from_ms(keys.number("FamilyInfo.Zero")?).0),
        report: fields.collect(),
        max_attempts: keys.number("Limits.SendCap")? as u32,
        second_copies: keys.flag("Limits.MayDuplicate")?,
        probes: keys.flag("Limits.Probing")?,
        cancels: keys.flag("Limits.Cancel")?,
        retry_after: keys.flag("Limits.RetryAfter")?,
        max_retry_after: span_from_ms(keys.number_or("Limits.MaxRetryAfter", 0.0)?),
        drain_grace: span_from_ms(keys.number("Rules.DrainGrace")?),
        soft_removal: keys.flag("Rules.SoftRemoval").unwrap_or(false),
        cold_share: keys.number("Rules.ColdFrom")?,
        cold_span: span_from_ms(keys.number("Rules.Cold")?),
        fall_multiple: keys.number("Rules.FallMultiple")?,
        fall_span: span_from_ms(keys.number("Rules.Fall")?),
        over_share_worth: keys.number_or("OverShareWorth", 1.0)?,
        goal: Goal {
            whole: keys.number_or("ObjectiveMix.Whole", 0.0)?,
            worst_class: keys.number_or("ObjectiveMix.WorstClass", 0.0)?,
        },
        changes: [None; 2],
        peers: keys.flag("Limits.Peers").unwrap_or(false),
        rank: keys.number_or("Rank", f64::from(Settings::NO_RANK))?.max(0.0) as u32,
        peer_price: keys.number_or("Costs.Peer", 0.0)?,
    })
}
