//! Unification: the schema and the file are put together field by field, defaults are filled in, and what does not fit
//! is told with the place where the file says it.

use crate::syntax::{Expression, Field, Kind, Operator, Presence};
use std::collections::BTreeMap;
use std::fmt;

/// Definitions that refer to one another go no deeper than this.
const DEEPEST: usize = 64;
/// Alternatives that can be left open at once.
const MOST_OPTIONS: usize = 64;

/// A place in a file; line 0 is the file as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// From 1.
    pub line: usize,
    /// From 1, in characters.
    pub column: usize,
}

impl Location {
    fn or(self, other: Self) -> Self {
        if self == Self::default() { other } else { self }
    }
}

/// Something that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    /// Where.
    pub location: Location,
    /// What.
    pub message: String,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Scalar {
    Int(i64),
    Float(f64),
    Text(String),
    Bool(bool),
    Null,
}

impl Scalar {
    fn number(&self) -> Option<f64> {
        match self {
            Self::Int(number) => Some(*number as f64),
            Self::Float(number) => Some(*number),
            _ => None,
        }
    }

    fn is(&self, kind: &str) -> bool {
        match self {
            Self::Int(_) => matches!(kind, "int" | "number"),
            Self::Float(_) => matches!(kind, "float" | "number"),
            Self::Text(_) => kind == "string",
            Self::Bool(_) => kind == "bool",
            Self::Null => kind == "null",
        }
    }
}

impl fmt::Display for Scalar {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Int(number) => write!(f, "{number}"),
            Self::Float(number) => write!(f, "{number:?}"),
            Self::Text(text) => write!(f, "{:?}", text.chars().take(80).collect::<String>()),
            Self::Bool(flag) => write!(f, "{flag}"),
            Self::Null => write!(f, "null"),
        }
    }
}

/// What a plain value must keep.
#[derive(Clone, Debug, PartialEq)]
enum Check {
    Type(String),
    Bound(Operator, Scalar),
}

impl Check {
    fn holds(&self, value: &Scalar) -> bool {
        match self {
            Self::Type(kind) => value.is(kind),
            Self::Bound(Operator::Not, than) => value != than,
            Self::Bound(Operator::Matches, Scalar::Text(pattern)) => {
                match (value, regex_lite::Regex::new(pattern)) {
                    (Scalar::Text(text), Ok(pattern)) => pattern.is_match(text),
                    _ => false,
                }
            }
            Self::Bound(operator, than) => {
                let order = match (value, than) {
                    (Scalar::Text(text), Scalar::Text(than)) => Some(text.cmp(than)),
                    _ => value.number().zip(than.number()).and_then(|(value, than)| value.partial_cmp(&than)),
                };
                order.is_some_and(|order| match operator {
                    Operator::AtLeast => order.is_ge(),
                    Operator::AtMost => order.is_le(),
                    Operator::Above => order.is_gt(),
                    _ => order.is_lt(),
                })
            }
        }
    }
}

impl fmt::Display for Check {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Type(kind) => write!(f, "{kind}"),
            Self::Bound(operator, than) => {
                let sign = match operator {
                    Operator::AtLeast => ">=",
                    Operator::AtMost => "<=",
                    Operator::Above => ">",
                    Operator::Below => "<",
                    Operator::Not => "!=",
                    Operator::Matches => "=~",
                };
                write!(f, "{sign}{than}")
            }
        }
    }
}

#[derive(Clone, Debug)]
struct Slot {
    presence: Presence,
    value: Value,
    place: Location,
}

#[derive(Clone, Debug)]
enum Shape {
    /// Anything.
    Top,
    /// A plain value of which only this is known.
    Open(Vec<Check>),
    Plain(Scalar),
    Record {
        fields: BTreeMap<String, Slot>,
        closed: bool,
    },
    List(Vec<Value>),
    ListOf(Box<Value>),
    /// One of these, with those that are the default.
    Either(Vec<(bool, Value)>),
}

#[derive(Clone, Debug)]
struct Value {
    shape: Shape,
    place: Location,
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.shape {
            Shape::Top => write!(f, "anything"),
            Shape::Open(checks) => {
                let checks: Vec<String> = checks.iter().map(ToString::to_string).collect();
                write!(f, "{}", checks.join(" & "))
            }
            Shape::Plain(scalar) => write!(f, "{scalar}"),
            Shape::Record { .. } => write!(f, "a record"),
            Shape::List(_) | Shape::ListOf(_) => write!(f, "a list"),
            Shape::Either(options) => {
                let options: Vec<String> = options.iter().map(|(_, option)| option.to_string()).collect();
                write!(f, "{}", options.join(" or "))
            }
        }
    }
}

/// A value that is whole, with the places of all its parts.
#[derive(Clone, Debug)]
pub struct Tree {
    pub(crate) value: serde_json::Value,
    /// By path, such as `registry.servers[0].url`.
    pub(crate) places: BTreeMap<String, Location>,
}

type Faulty<T> = Result<T, Vec<Diagnostic>>;

impl Tree {
    /// The value as a type of one's own. Its own faults name no place: what can be said with one belongs into the schema, or
    /// is told by [`Tree::diagnostic`].
    ///
    /// # Errors
    ///
    /// When the type can't hold it.
    pub fn decode<T: serde::de::DeserializeOwned>(&self) -> Result<T, Diagnostic> {
        let value = self.value.clone();
        serde_json::from_value(value)
            .map_err(|error| Diagnostic { location: Location::default(), message: error.to_string() })
    }

    /// What is wrong at a path, with its place.
    #[must_use]
    pub fn diagnostic(&self, path: &str, what: impl fmt::Display) -> Diagnostic {
        // A default stands nowhere in the file; the record that it is in does.
        let mut at = path;
        let place = loop {
            match self.places.get(at) {
                Some(place) if *place != Location::default() => break *place,
                _ if at.is_empty() => break Location::default(),
                _ => at = at.rfind(['.', '[']).map_or("", |end| &at[..end]),
            }
        };
        Diagnostic { location: place, message: format!("'{path}': {what}") }
    }
}

/// Puts the file together with the schema, both by their fields.
pub(crate) fn evaluate(schema: &[Field], file: &[Field]) -> Faulty<Tree> {
    let mut definitions: BTreeMap<&str, &Field> = BTreeMap::new();
    let mut faults = Vec::new();
    for (field, own) in
        schema.iter().map(|field| (field, false)).chain(file.iter().map(|field| (field, true)))
    {
        if shared(&field.name) && definitions.insert(&field.name, field).is_some() && own {
            faults.push(Diagnostic {
                location: field.place,
                message: format!("'{}' is defined already", field.name),
            });
        }
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    // Only what the file says has places; the schema's would mean nothing to who reads the faults.
    let root = |fields: &[Field], own| {
        let fields: Vec<&Field> = fields.iter().filter(|field| !shared(&field.name)).collect();
        Scope { definitions: &definitions, own }.record(&fields, 0, !own)
    };
    let (wanted, given) = (root(schema, false)?, root(file, true)?);
    let whole = unify(&wanted, &given)?;
    let mut tree = Tree { value: serde_json::Value::Null, places: BTreeMap::new() };
    tree.value =
        whole.export(String::new(), Location::default(), &mut tree.places).map_err(|mut faults| {
            faults.sort();
            faults
        })?;
    Ok(tree)
}

/// Whether a field is there to be referred to, and no part of what the file says.
fn shared(name: &str) -> bool {
    name.starts_with(['#', '_'])
}

struct Scope<'a> {
    definitions: &'a BTreeMap<&'a str, &'a Field>,
    own: bool,
}

impl Scope<'_> {
    fn record(&self, fields: &[&Field], depth: usize, closed: bool) -> Faulty<Value> {
        let mut slots: BTreeMap<String, Slot> = BTreeMap::new();
        let mut faults = Vec::new();
        for field in fields {
            let place = if self.own { field.place } else { Location::default() };
            if shared(&field.name) {
                faults.push(Diagnostic {
                    location: place,
                    message: "definitions and hidden fields stand at the top of the file".into(),
                });
                continue;
            }
            match self.value(&field.value, depth + 1, closed) {
                Ok(value) => {
                    let slot = Slot { presence: field.presence, value, place };
                    // In CUE a field that stands twice means both; whoever writes that here has made a mistake.
                    if slots.insert(field.name.clone(), slot).is_some() {
                        faults.push(Diagnostic {
                            location: place,
                            message: format!("'{}' stands here twice", field.name),
                        });
                    }
                }
                Err(more) => faults.extend(more),
            }
        }
        let place = fields.first().map_or(Location::default(), |field| field.place);
        let place = if self.own { place } else { Location::default() };
        if faults.is_empty() {
            Ok(Value { shape: Shape::Record { fields: slots, closed }, place })
        } else {
            Err(faults)
        }
    }

    fn value(&self, of: &Expression, depth: usize, closed: bool) -> Faulty<Value> {
        let place = if self.own { of.place } else { Location::default() };
        let fault = |what: String| vec![Diagnostic { location: place, message: what }];
        if depth > DEEPEST {
            return Err(fault("it refers to itself, or is nested too deeply".into()));
        }
        let plain = |scalar| Ok(Value { shape: Shape::Plain(scalar), place });
        let inner = |one: &Expression| self.value(one, depth + 1, closed);
        match &of.kind {
            Kind::Int(number) => plain(Scalar::Int(*number)),
            Kind::Float(number) => plain(Scalar::Float(*number)),
            Kind::Text(text) => plain(Scalar::Text(text.clone())),
            Kind::Bool(flag) => plain(Scalar::Bool(*flag)),
            Kind::Null => plain(Scalar::Null),
            Kind::Type(kind) if kind == "_" => Ok(Value { shape: Shape::Top, place }),
            Kind::Type(kind) => Ok(Value { shape: Shape::Open(vec![Check::Type(kind.clone())]), place }),
            Kind::Bound(operator, than) => match inner(than)?.shape {
                Shape::Plain(Scalar::Text(pattern)) if *operator == Operator::Matches => {
                    if let Err(error) = regex_lite::Regex::new(&pattern) {
                        return Err(fault(format!("the pattern {pattern:?}: {error}")));
                    }
                    let check = Check::Bound(*operator, Scalar::Text(pattern));
                    Ok(Value { shape: Shape::Open(vec![check]), place })
                }
                Shape::Plain(than) if *operator != Operator::Matches => {
                    Ok(Value { shape: Shape::Open(vec![Check::Bound(*operator, than)]), place })
                }
                _ => Err(fault("a bound needs a plain value".into())),
            },
            Kind::Record(fields) => {
                let fields: Vec<&Field> = fields.iter().collect();
                let mut record = self.record(&fields, depth, closed)?;
                record.place = place;
                Ok(record)
            }
            Kind::List(items) => {
                let items = items.iter().map(inner).collect::<Faulty<Vec<_>>>()?;
                Ok(Value { shape: Shape::List(items), place })
            }
            Kind::ListOf(of) => Ok(Value { shape: Shape::ListOf(Box::new(inner(of)?)), place }),
            Kind::All(parts) => {
                let mut whole = Value { shape: Shape::Top, place };
                for part in parts {
                    whole = unify(&whole, &inner(part)?)?;
                }
                Ok(whole)
            }
            Kind::Any(options) => {
                let options = options.iter().map(|(star, option)| Ok((*star, inner(option)?)));
                Ok(Value { shape: Shape::Either(options.collect::<Faulty<_>>()?), place })
            }
            Kind::Reference(name) => {
                let Some(field) = self.definitions.get(name.as_str()) else {
                    let known: Vec<&str> = self.definitions.keys().copied().collect();
                    return Err(fault(format!("'{name}' is not defined{}", nearest(name, &known))));
                };
                // What a definition holds is closed, wherever it is used; a hidden field is only a name.
                let mut value = self.value(&field.value, depth + 1, name.starts_with('#'))?;
                value.place = place;
                Ok(value)
            }
        }
    }
}

/// Both at once.
fn unify(one: &Value, other: &Value) -> Faulty<Value> {
    let place = other.place.or(one.place);
    let at = |shape| Ok(Value { shape, place });
    let clash = || {
        // Who wants something comes first, what was given second.
        let (wanted, given) = if one.place == Location::default() { (one, other) } else { (other, one) };
        Err(vec![Diagnostic { location: place, message: format!("{given} does not fit {wanted}") }])
    };
    match (&one.shape, &other.shape) {
        (Shape::Top, shape) | (shape, Shape::Top) => at(shape.clone()),
        (Shape::Either(options), _) => either(options, other, place, clash),
        (_, Shape::Either(options)) => either(options, one, place, clash),
        (Shape::Open(checks), Shape::Open(more)) => {
            let mut checks = checks.clone();
            checks.extend(more.iter().filter(|check| !checks.contains(check)).cloned().collect::<Vec<_>>());
            at(Shape::Open(checks))
        }
        (Shape::Open(checks), Shape::Plain(value)) | (Shape::Plain(value), Shape::Open(checks)) => {
            if checks.iter().all(|check| check.holds(value)) {
                at(Shape::Plain(value.clone()))
            } else {
                clash()
            }
        }
        (Shape::Plain(value), Shape::Plain(same)) if value == same => at(Shape::Plain(value.clone())),
        (Shape::ListOf(of), Shape::ListOf(more)) => at(Shape::ListOf(Box::new(unify(of, more)?))),
        (Shape::ListOf(of), Shape::List(items)) | (Shape::List(items), Shape::ListOf(of)) => {
            at(Shape::List(all(items.iter().map(|item| unify(of, item)))?))
        }
        (Shape::List(items), Shape::List(same)) if items.len() == same.len() => {
            at(Shape::List(all(items.iter().zip(same).map(|(item, same)| unify(item, same)))?))
        }
        (Shape::Record { fields, closed }, Shape::Record { fields: more, closed: too }) => {
            records((fields, *closed), (more, *too), place)
        }
        _ => clash(),
    }
}

fn all(values: impl Iterator<Item = Faulty<Value>>) -> Faulty<Vec<Value>> {
    let (mut whole, mut faults) = (Vec::new(), Vec::new());
    for value in values {
        match value {
            Ok(value) => whole.push(value),
            Err(more) => faults.extend(more),
        }
    }
    if faults.is_empty() { Ok(whole) } else { Err(faults) }
}

fn either(
    options: &[(bool, Value)],
    with: &Value,
    place: Location,
    clash: impl Fn() -> Faulty<Value>,
) -> Faulty<Value> {
    let mut left: Vec<(bool, Value)> = Vec::new();
    let mut why = None;
    for (star, option) in options {
        match unify(option, with) {
            Ok(value) => {
                // Alternatives on both sides multiply; a default must be one on both.
                match value.shape {
                    Shape::Either(inner) => {
                        left.extend(inner.into_iter().map(|(too, value)| (*star || too, value)))
                    }
                    shape => left.push((*star, Value { shape, place })),
                }
            }
            Err(faults) => why = Some(faults),
        }
    }
    if left.len() > MOST_OPTIONS {
        return Err(vec![Diagnostic {
            location: place,
            message: format!("more than {MOST_OPTIONS} alternatives"),
        }]);
    }
    match (left.len(), why) {
        (0, Some(why)) if matches!(with.shape, Shape::Record { .. } | Shape::List(_)) => Err(why),
        (0, _) => clash(),
        (1, _) => Ok(left.remove(0).1),
        _ => Ok(Value { shape: Shape::Either(left), place }),
    }
}

fn records(
    (one, closed): (&BTreeMap<String, Slot>, bool),
    (other, too): (&BTreeMap<String, Slot>, bool),
    place: Location,
) -> Faulty<Value> {
    let mut fields = BTreeMap::new();
    let mut faults = Vec::new();
    let names: std::collections::BTreeSet<&String> = one.keys().chain(other.keys()).collect();
    for name in names {
        match (one.get(name), other.get(name)) {
            (Some(a), Some(b)) => match unify(&a.value, &b.value) {
                Ok(value) => {
                    let presence = match (a.presence, b.presence) {
                        (Presence::Regular, _) | (_, Presence::Regular) => Presence::Regular,
                        (Presence::Required, _) | (_, Presence::Required) => Presence::Required,
                        _ => Presence::Optional,
                    };
                    fields.insert(name.clone(), Slot { presence, value, place: b.place.or(a.place) });
                }
                Err(more) => {
                    let place = b.place.or(a.place);
                    faults.extend(more.into_iter().map(|fault| {
                        let what = if fault.location == Location::default()
                            || fault.location >= place && !fault.message.contains('\'')
                        {
                            format!("'{name}': {}", fault.message)
                        } else {
                            fault.message
                        };
                        Diagnostic { location: fault.location.or(place), message: what }
                    }));
                }
            },
            (Some(slot), None) if !too => drop(fields.insert(name.clone(), slot.clone())),
            (None, Some(slot)) if !closed => drop(fields.insert(name.clone(), slot.clone())),
            // What may be left out has been.
            (Some(slot), None) | (None, Some(slot)) if slot.presence == Presence::Optional => {}
            (Some(slot), None) | (None, Some(slot)) => {
                let known: Vec<&str> = if closed { one } else { other }.keys().map(String::as_str).collect();
                let what = format!("there is no field '{name}' here{}", nearest(name, &known));
                faults.push(Diagnostic { location: slot.place, message: what });
            }
            (None, None) => {}
        }
    }
    if faults.is_empty() {
        Ok(Value { shape: Shape::Record { fields, closed: closed || too }, place })
    } else {
        Err(faults)
    }
}

/// The known name that is nearest, if one is near.
fn nearest(name: &str, known: &[&str]) -> String {
    let near = known.iter().map(|known| (distance(name, known), known)).min();
    near.filter(|(distance, known)| *distance <= 2.max(known.len() / 4))
        .map_or(String::new(), |(_, known)| format!("; is '{known}' meant?"))
}

fn distance(one: &str, other: &str) -> usize {
    let other: Vec<char> = other.chars().collect();
    let mut row: Vec<usize> = (0..=other.len()).collect();
    for (i, a) in one.chars().take(64).enumerate() {
        let mut before = std::mem::replace(&mut row[0], i + 1);
        for (j, b) in other.iter().enumerate() {
            let change = before + usize::from(a != *b);
            before = row[j + 1];
            row[j + 1] = change.min(row[j] + 1).min(before + 1);
        }
    }
    row[other.len()]
}

impl Value {
    /// The value, once all that is open has its default.
    fn export(
        &self,
        path: String,
        parent: Location,
        places: &mut BTreeMap<String, Location>,
    ) -> Faulty<serde_json::Value> {
        use serde_json::Value as Json;
        let place = self.place.or(parent);
        let fault = |what: String| vec![Diagnostic { location: place, message: what }];
        let value = match &self.shape {
            Shape::Plain(Scalar::Int(number)) => Json::from(*number),
            Shape::Plain(Scalar::Float(number)) => Json::from(*number),
            Shape::Plain(Scalar::Text(text)) => Json::from(text.as_str()),
            Shape::Plain(Scalar::Bool(flag)) => Json::from(*flag),
            Shape::Plain(Scalar::Null) => Json::Null,
            Shape::Top | Shape::Open(_) => return Err(fault(format!("'{path}' needs a value: {self}"))),
            Shape::Either(options) => {
                let defaults: Vec<&Value> =
                    options.iter().filter(|(star, _)| *star).map(|(_, v)| v).collect();
                match defaults.as_slice() {
                    [only] => return only.export(path, place, places),
                    _ => return Err(fault(format!("'{path}' needs a value: {self}"))),
                }
            }
            Shape::ListOf(_) => Json::Array(Vec::new()),
            Shape::List(items) => {
                let (mut out, mut faults) = (Vec::new(), Vec::new());
                for (at, item) in items.iter().enumerate() {
                    match item.export(format!("{path}[{at}]"), place, places) {
                        Ok(value) => out.push(value),
                        Err(more) => faults.extend(more),
                    }
                }
                if !faults.is_empty() {
                    return Err(faults);
                }
                Json::Array(out)
            }
            Shape::Record { fields, .. } => {
                let (mut out, mut faults) = (serde_json::Map::new(), Vec::new());
                for (name, slot) in fields {
                    let below = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                    match slot.presence {
                        Presence::Optional => {}
                        Presence::Required => faults.extend(fault(format!("'{below}' is missing"))),
                        Presence::Regular => match slot.value.export(below, slot.place.or(place), places) {
                            Ok(value) => drop(out.insert(name.clone(), value)),
                            Err(more) => faults.extend(more),
                        },
                    }
                }
                if !faults.is_empty() {
                    return Err(faults);
                }
                Json::Object(out)
            }
        };
        places.insert(path, place);
        Ok(value)
    }
}
