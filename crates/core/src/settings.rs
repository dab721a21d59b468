//! The settings, decoded once for both hosts: the simulator sends them as path=value pairs, the daemon's
//! configuration holds the same object as nested JSON, which is laid out as such pairs first.

use crate::interface::*;
use serde_json::Value;
use std::collections::BTreeMap;

/// What was read, or in words why it could not be.
pub type Parsed<T> = Result<T, String>;

/// A length of time given in milliseconds.
#[must_use]
pub fn span(ms: f64) -> Span {
    Span((ms * 1_000.0).round() as i64)
}

/// The settings as path=value pairs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pairs(BTreeMap<String, String>);

impl Pairs {
    /// From the parts of a line; what is no pair is passed over.
    pub fn from_parts<'a>(parts: impl Iterator<Item = &'a str>) -> Self {
        let pairs = parts.filter_map(|pair| pair.split_once('='));
        Self(pairs.map(|(path, value)| (path.to_owned(), value.to_owned())).collect())
    }

    /// From nested JSON: lists of plain values are joined by commas, those of objects are counted and numbered.
    #[must_use]
    pub fn from_json(value: &Value) -> Self {
        let mut pairs = Self::default();
        pairs.lay_out("", value);
        pairs
    }

    fn lay_out(&mut self, path: &str, value: &Value) {
        let below = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
        match value {
            Value::Null => {}
            Value::Object(fields) => {
                for (name, value) in fields {
                    self.lay_out(&below(name), value);
                }
            }
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0.insert(below("count"), items.len().to_string());
                for (at, item) in items.iter().enumerate() {
                    self.lay_out(&below(&at.to_string()), item);
                }
            }
            Value::Array(items) => {
                let items: Vec<String> = items.iter().map(plain).collect();
                self.0.insert(path.to_owned(), items.join(","));
            }
            // Only in lists must commas and spaces not stand: a class is named by its clients as it is here.
            _ => {
                let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
                self.0.insert(path.to_owned(), text);
            }
        }
    }

    /// The module's settings.
    ///
    /// # Errors
    ///
    /// When a value is missing or unreadable.
    pub fn settings(&self) -> Parsed<Settings> {
        settings(self)
    }

    /// The text at `key`.
    ///
    /// # Errors
    ///
    /// When there is none.
    pub fn text(&self, key: &str) -> Parsed<&str> {
        self.0.get(key).map(String::as_str).ok_or_else(|| format!("setting {key} is missing"))
    }

    /// The number at `key`.
    ///
    /// # Errors
    ///
    /// When there is none, or it is not finite.
    pub fn number(&self, key: &str) -> Parsed<f64> {
        let text = self.text(key)?;
        let value = text.parse().map_err(|_| format!("setting {key}: '{text}' is no number"))?;
        if f64::is_finite(value) { Ok(value) } else { Err(format!("setting {key} is not finite")) }
    }

    /// The number at `key`, or `absent` where there is none.
    ///
    /// # Errors
    ///
    /// When it is no finite number.
    pub fn number_or(&self, key: &str, absent: f64) -> Parsed<f64> {
        if self.0.contains_key(key) { self.number(key) } else { Ok(absent) }
    }

    fn flag(&self, key: &str) -> Parsed<bool> {
        match self.text(key)? {
            "true" | "1" => Ok(true),
            "false" | "0" => Ok(false),
            other => Err(format!("setting {key}: '{other}' is neither true nor false")),
        }
    }
}

/// A plain value as lists have it.
fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), |text| text.replace([' ', ','], "_"))
}

fn settings(keys: &Pairs) -> Parsed<Settings> {
    let needs: Vec<&str> = keys.text("FamilyInfo.NeedsByClass")?.split(',').collect();
    let bounds: Vec<&str> = keys.text("FamilyInfo.OldestData")?.split(',').collect();
    let mut classes = Vec::new();
    for at in 0..keys.number("Lanes.count")? as usize {
        let lane = |name: &str| format!("Lanes.{at}.{name}");
        let need = match *needs.get(at).ok_or("FamilyInfo.NeedsByClass is too short")? {
            "mutate" => Need::Write,
            "eventual" => Need::Any,
            "causal" => Need::Session,
            "strong" => Need::Fresh,
            "lag_bound" => {
                let bound = bounds.get(at).and_then(|text| text.parse().ok());
                Need::Bounded(span(bound.ok_or("FamilyInfo.OldestData is unreadable")?))
            }
            other => return Err(format!("unknown need '{other}' in FamilyInfo.NeedsByClass")),
        };
        let key = lane("Effect");
        let effect = match keys.text(&key)? {
            "retryable" => Effect::Safe,
            "dedup" => Effect::Keyed,
            "fragile" => Effect::Unsafe,
            other => return Err(format!("unknown {key} '{other}'")),
        };
        classes.push(Class {
            name: keys.text(&lane("Name"))?.to_owned(),
            effect,
            need,
            aim: span(keys.number(&lane("Objective"))?),
            aim_stretch: keys.number_or(&lane("AimStretch"), 0.0)?,
            worth: keys.number(&lane("Worth"))?,
            late_worth: keys.number(&lane("LateValue"))?,
        });
    }
    let mut tenants = Vec::new();
    for at in 0..keys.number_or("Tenants.count", 0.0)? as usize {
        tenants.push(Tenant {
            name: keys.text(&format!("Tenants.{at}.Name"))?.to_owned(),
            quota: keys.number(&format!("Tenants.{at}.QuotaRps"))?,
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
        zero: Time(span(keys.number("FamilyInfo.Zero")?).0),
        report: fields.collect(),
        max_attempts: keys.number("Limits.SendCap")? as u32,
        second_copies: keys.flag("Limits.MayDuplicate")?,
        probes: keys.flag("Limits.Probing")?,
        cancels: keys.flag("Limits.Cancel")?,
        retry_after: keys.flag("Limits.RetryAfter")?,
        max_retry_after: span(keys.number_or("Limits.MaxRetryAfter", 0.0)?),
        drain_grace: span(keys.number("Rules.DrainGrace")?),
        soft_removal: keys.flag("Rules.SoftRemoval").unwrap_or(false),
        cold_share: keys.number("Rules.ColdFrom")?,
        cold_span: span(keys.number("Rules.Cold")?),
        fall_multiple: keys.number("Rules.FallMultiple")?,
        fall_span: span(keys.number("Rules.Fall")?),
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
