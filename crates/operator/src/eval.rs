//! Unification of the schema with a file, field by field. Defaults are filled in, and each conflict is reported with
//! its location in the file.

use crate::syntax::{BoundOperator, Expression, ExpressionKind, Field, Presence};
use std::collections::BTreeMap;
use std::fmt;

/// Maximum depth of nested values, including those inserted by references. It also ends reference cycles.
const MAX_DEPTH: usize = 64;
/// Maximum number of alternatives that a value may have after unification.
const MAX_ALTERNATIVES: usize = 64;

/// A location in a file. The default, with line 0, stands for the file as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Location {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
}

impl Location {
    /// This location, or `other` if this one is the file as a whole.
    fn or(self, other: Self) -> Self {
        if self == Self::default() { other } else { self }
    }
}

/// An error in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    /// The location of the error.
    pub location: Location,
    /// What is wrong.
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

    fn has_type(&self, name: &str) -> bool {
        match self {
            Self::Int(_) => matches!(name, "int" | "number"),
            Self::Float(_) => matches!(name, "float" | "number"),
            Self::Text(_) => name == "string",
            Self::Bool(_) => name == "bool",
            Self::Null => name == "null",
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

/// A constraint on a scalar.
#[derive(Clone, Debug, PartialEq)]
enum Constraint {
    Type(String),
    Bound(BoundOperator, Scalar),
}

impl Constraint {
    fn accepts(&self, value: &Scalar) -> bool {
        match self {
            Self::Type(name) => value.has_type(name),
            Self::Bound(BoundOperator::Not, limit) => value != limit,
            Self::Bound(BoundOperator::Matches, Scalar::Text(pattern)) => {
                match (value, regex_lite::Regex::new(pattern)) {
                    (Scalar::Text(text), Ok(pattern)) => pattern.is_match(text),
                    _ => false,
                }
            }
            Self::Bound(operator, limit) => {
                let ordering = match (value, limit) {
                    (Scalar::Text(text), Scalar::Text(limit)) => Some(text.cmp(limit)),
                    _ => value
                        .number()
                        .zip(limit.number())
                        .and_then(|(value, limit)| value.partial_cmp(&limit)),
                };
                ordering.is_some_and(|ordering| match operator {
                    BoundOperator::AtLeast => ordering.is_ge(),
                    BoundOperator::AtMost => ordering.is_le(),
                    BoundOperator::Above => ordering.is_gt(),
                    _ => ordering.is_lt(),
                })
            }
        }
    }
}

impl fmt::Display for Constraint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Type(name) => write!(f, "{name}"),
            Self::Bound(operator, limit) => {
                let symbol = match operator {
                    BoundOperator::AtLeast => ">=",
                    BoundOperator::AtMost => "<=",
                    BoundOperator::Above => ">",
                    BoundOperator::Below => "<",
                    BoundOperator::Not => "!=",
                    BoundOperator::Matches => "=~",
                };
                write!(f, "{symbol}{limit}")
            }
        }
    }
}

/// A field of a record, with its value so far.
#[derive(Clone, Debug)]
struct RecordField {
    presence: Presence,
    value: Value,
    location: Location,
}

/// What is known of a value.
#[derive(Clone, Debug)]
enum Shape {
    /// Any value, written `_`.
    Top,
    /// A scalar that is not known yet, with its constraints.
    Constrained(Vec<Constraint>),
    Scalar(Scalar),
    Record {
        fields: BTreeMap<String, RecordField>,
        closed: bool,
    },
    List(Vec<Value>),
    /// A list of any length whose elements all match this value.
    OpenList(Box<Value>),
    /// One of these alternatives; those with the flag set are defaults.
    Disjunction(Vec<(bool, Value)>),
}

/// A value during unification.
#[derive(Clone, Debug)]
struct Value {
    shape: Shape,
    location: Location,
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.shape {
            Shape::Top => write!(f, "anything"),
            Shape::Constrained(constraints) => {
                let constraints: Vec<String> = constraints.iter().map(ToString::to_string).collect();
                write!(f, "{}", constraints.join(" & "))
            }
            Shape::Scalar(scalar) => write!(f, "{scalar}"),
            Shape::Record { .. } => write!(f, "a record"),
            Shape::List(_) | Shape::OpenList(_) => write!(f, "a list"),
            Shape::Disjunction(alternatives) => {
                let alternatives: Vec<String> =
                    alternatives.iter().map(|(_, alternative)| alternative.to_string()).collect();
                write!(f, "{}", alternatives.join(" or "))
            }
        }
    }
}

/// A complete value, with the locations of all its parts.
#[derive(Clone, Debug)]
pub struct Tree {
    pub(crate) value: serde_json::Value,
    /// The locations by path, such as `registry.servers[0].url`.
    pub(crate) locations: BTreeMap<String, Location>,
}

/// A result with all errors found.
type EvalResult<T> = Result<T, Vec<Diagnostic>>;

impl Tree {
    /// Deserializes the value as `T`. Errors of this step have no location, so constraints belong in the schema, or are
    /// checked afterwards and reported with [`Tree::diagnostic`].
    ///
    /// # Errors
    ///
    /// When the value can't be deserialized as `T`.
    pub fn decode<T: serde::de::DeserializeOwned>(&self) -> Result<T, Diagnostic> {
        let value = self.value.clone();
        serde_json::from_value(value)
            .map_err(|error| Diagnostic { location: Location::default(), message: error.to_string() })
    }

    /// An error at a path, with its location.
    #[must_use]
    pub fn diagnostic(&self, path: &str, message: impl fmt::Display) -> Diagnostic {
        // A default has no location in the file, but the record that contains it may have one.
        let mut ancestor = path;
        let location = loop {
            match self.locations.get(ancestor) {
                Some(location) if *location != Location::default() => break *location,
                _ if ancestor.is_empty() => break Location::default(),
                _ => ancestor = ancestor.rfind(['.', '[']).map_or("", |end| &ancestor[..end]),
            }
        };
        Diagnostic { location, message: format!("'{path}': {message}") }
    }
}

/// Unifies the fields of a file with those of the schema.
pub(crate) fn evaluate(schema: &[Field], file: &[Field]) -> EvalResult<Tree> {
    let mut definitions: BTreeMap<&str, &Field> = BTreeMap::new();
    let mut diagnostics = Vec::new();
    for (field, from_file) in
        schema.iter().map(|field| (field, false)).chain(file.iter().map(|field| (field, true)))
    {
        if is_definition_or_hidden(&field.name)
            && definitions.insert(&field.name, field).is_some()
            && from_file
        {
            diagnostics.push(Diagnostic {
                location: field.location,
                message: format!("'{}' is defined already", field.name),
            });
        }
    }
    if !diagnostics.is_empty() {
        return Err(diagnostics);
    }
    // Only values from the file have locations: a location in the schema would mean nothing to the reader of an error.
    let root = |fields: &[Field], from_file| {
        let fields: Vec<&Field> =
            fields.iter().filter(|field| !is_definition_or_hidden(&field.name)).collect();
        Evaluator { definitions: &definitions, from_file }.evaluate_record(&fields, 0, !from_file)
    };
    let (expected, given) = (root(schema, false)?, root(file, true)?);
    let unified = unify(&expected, &given)?;
    let mut tree = Tree { value: serde_json::Value::Null, locations: BTreeMap::new() };
    tree.value = unified.export(String::new(), Location::default(), &mut tree.locations).map_err(
        |mut diagnostics| {
            diagnostics.sort();
            diagnostics
        },
    )?;
    Ok(tree)
}

/// Whether a field can only be referred to, and is no part of the file's value.
fn is_definition_or_hidden(name: &str) -> bool {
    name.starts_with(['#', '_'])
}

/// Turns expressions into values.
struct Evaluator<'a> {
    definitions: &'a BTreeMap<&'a str, &'a Field>,
    /// Whether the expressions come from the file. Values from the schema get no location.
    from_file: bool,
}

impl Evaluator<'_> {
    fn evaluate_record(&self, fields: &[&Field], depth: usize, closed: bool) -> EvalResult<Value> {
        let mut record_fields: BTreeMap<String, RecordField> = BTreeMap::new();
        let mut diagnostics = Vec::new();
        for field in fields {
            let location = if self.from_file { field.location } else { Location::default() };
            if is_definition_or_hidden(&field.name) {
                diagnostics.push(Diagnostic {
                    location,
                    message: "definitions and hidden fields are only allowed at the top level of the file"
                        .into(),
                });
                continue;
            }
            match self.evaluate(&field.value, depth + 1, closed) {
                Ok(value) => {
                    let record_field = RecordField { presence: field.presence, value, location };
                    // CUE unifies a repeated field with the first one. Here it is an error, as it is most likely a
                    // mistake.
                    if record_fields.insert(field.name.clone(), record_field).is_some() {
                        diagnostics.push(Diagnostic {
                            location,
                            message: format!("'{}' stands here twice", field.name),
                        });
                    }
                }
                Err(more) => diagnostics.extend(more),
            }
        }
        let location = fields.first().map_or(Location::default(), |field| field.location);
        let location = if self.from_file { location } else { Location::default() };
        if diagnostics.is_empty() {
            Ok(Value { shape: Shape::Record { fields: record_fields, closed }, location })
        } else {
            Err(diagnostics)
        }
    }

    fn evaluate(&self, expression: &Expression, depth: usize, closed: bool) -> EvalResult<Value> {
        let location = if self.from_file { expression.location } else { Location::default() };
        let error = |message: String| vec![Diagnostic { location, message }];
        if depth > MAX_DEPTH {
            return Err(error("it refers to itself, or is nested too deeply".into()));
        }
        let scalar_value = |scalar| Ok(Value { shape: Shape::Scalar(scalar), location });
        let evaluate_part = |part: &Expression| self.evaluate(part, depth + 1, closed);
        match &expression.kind {
            ExpressionKind::Int(number) => scalar_value(Scalar::Int(*number)),
            ExpressionKind::Float(number) => scalar_value(Scalar::Float(*number)),
            ExpressionKind::Text(text) => scalar_value(Scalar::Text(text.clone())),
            ExpressionKind::Bool(flag) => scalar_value(Scalar::Bool(*flag)),
            ExpressionKind::Null => scalar_value(Scalar::Null),
            ExpressionKind::Type(name) if name == "_" => Ok(Value { shape: Shape::Top, location }),
            ExpressionKind::Type(name) => {
                Ok(Value { shape: Shape::Constrained(vec![Constraint::Type(name.clone())]), location })
            }
            ExpressionKind::Bound(operator, limit) => match evaluate_part(limit)?.shape {
                Shape::Scalar(Scalar::Text(pattern)) if *operator == BoundOperator::Matches => {
                    if let Err(reason) = regex_lite::Regex::new(&pattern) {
                        return Err(error(format!("invalid pattern {pattern:?}: {reason}")));
                    }
                    let constraint = Constraint::Bound(*operator, Scalar::Text(pattern));
                    Ok(Value { shape: Shape::Constrained(vec![constraint]), location })
                }
                Shape::Scalar(limit) if *operator != BoundOperator::Matches => Ok(Value {
                    shape: Shape::Constrained(vec![Constraint::Bound(*operator, limit)]),
                    location,
                }),
                _ => Err(error("a bound needs a scalar value".into())),
            },
            ExpressionKind::Record(fields) => {
                let fields: Vec<&Field> = fields.iter().collect();
                let mut record = self.evaluate_record(&fields, depth, closed)?;
                record.location = location;
                Ok(record)
            }
            ExpressionKind::List(elements) => {
                let elements = elements.iter().map(evaluate_part).collect::<EvalResult<Vec<_>>>()?;
                Ok(Value { shape: Shape::List(elements), location })
            }
            ExpressionKind::OpenList(element) => {
                Ok(Value { shape: Shape::OpenList(Box::new(evaluate_part(element)?)), location })
            }
            ExpressionKind::Conjunction(parts) => {
                let mut unified = Value { shape: Shape::Top, location };
                for part in parts {
                    unified = unify(&unified, &evaluate_part(part)?)?;
                }
                Ok(unified)
            }
            ExpressionKind::Disjunction(alternatives) => {
                let alternatives = alternatives
                    .iter()
                    .map(|(is_default, alternative)| Ok((*is_default, evaluate_part(alternative)?)));
                Ok(Value { shape: Shape::Disjunction(alternatives.collect::<EvalResult<_>>()?), location })
            }
            ExpressionKind::Reference(name) => {
                let Some(field) = self.definitions.get(name.as_str()) else {
                    let known: Vec<&str> = self.definitions.keys().copied().collect();
                    return Err(error(format!("'{name}' is not defined{}", suggest_name(name, &known))));
                };
                // The value of a definition is closed wherever it is used. A hidden field does not close its value.
                let mut value = self.evaluate(&field.value, depth + 1, name.starts_with('#'))?;
                value.location = location;
                Ok(value)
            }
        }
    }
}

/// Combines two values into the one that satisfies both.
fn unify(one: &Value, other: &Value) -> EvalResult<Value> {
    let location = other.location.or(one.location);
    let unified = |shape| Ok(Value { shape, location });
    let conflict = || {
        // The value of the schema, which has no location, is named as the expected one.
        let (expected, given) = if one.location == Location::default() { (one, other) } else { (other, one) };
        Err(vec![Diagnostic { location, message: format!("{given} does not fit {expected}") }])
    };
    match (&one.shape, &other.shape) {
        (Shape::Top, shape) | (shape, Shape::Top) => unified(shape.clone()),
        (Shape::Disjunction(alternatives), _) => unify_disjunction(alternatives, other, location, conflict),
        (_, Shape::Disjunction(alternatives)) => unify_disjunction(alternatives, one, location, conflict),
        (Shape::Constrained(constraints), Shape::Constrained(more)) => {
            let mut constraints = constraints.clone();
            constraints.extend(
                more.iter()
                    .filter(|constraint| !constraints.contains(constraint))
                    .cloned()
                    .collect::<Vec<_>>(),
            );
            unified(Shape::Constrained(constraints))
        }
        (Shape::Constrained(constraints), Shape::Scalar(value))
        | (Shape::Scalar(value), Shape::Constrained(constraints)) => {
            if constraints.iter().all(|constraint| constraint.accepts(value)) {
                unified(Shape::Scalar(value.clone()))
            } else {
                conflict()
            }
        }
        (Shape::Scalar(value), Shape::Scalar(same)) if value == same => unified(Shape::Scalar(value.clone())),
        (Shape::OpenList(element), Shape::OpenList(more)) => {
            unified(Shape::OpenList(Box::new(unify(element, more)?)))
        }
        (Shape::OpenList(element), Shape::List(items)) | (Shape::List(items), Shape::OpenList(element)) => {
            unified(Shape::List(collect_values(items.iter().map(|item| unify(element, item)))?))
        }
        (Shape::List(items), Shape::List(same)) if items.len() == same.len() => unified(Shape::List(
            collect_values(items.iter().zip(same).map(|(item, same)| unify(item, same)))?,
        )),
        (Shape::Record { fields, closed }, Shape::Record { fields: more, closed: other_closed }) => {
            unify_records((fields, *closed), (more, *other_closed), location)
        }
        _ => conflict(),
    }
}

/// Collects the values, or the errors of all that have some.
fn collect_values(values: impl Iterator<Item = EvalResult<Value>>) -> EvalResult<Vec<Value>> {
    let (mut collected, mut diagnostics) = (Vec::new(), Vec::new());
    for value in values {
        match value {
            Ok(value) => collected.push(value),
            Err(more) => diagnostics.extend(more),
        }
    }
    if diagnostics.is_empty() { Ok(collected) } else { Err(diagnostics) }
}

/// Unifies each alternative with a value, and keeps those that fit.
fn unify_disjunction(
    alternatives: &[(bool, Value)],
    value: &Value,
    location: Location,
    conflict: impl Fn() -> EvalResult<Value>,
) -> EvalResult<Value> {
    let mut remaining: Vec<(bool, Value)> = Vec::new();
    let mut last_error = None;
    for (is_default, alternative) in alternatives {
        match unify(alternative, value) {
            Ok(unified) => {
                // Alternatives on both sides multiply. A result is a default if it is one on either side.
                match unified.shape {
                    Shape::Disjunction(nested) => {
                        remaining.extend(nested.into_iter().map(|(nested_default, nested_value)| {
                            (*is_default || nested_default, nested_value)
                        }))
                    }
                    shape => remaining.push((*is_default, Value { shape, location })),
                }
            }
            Err(diagnostics) => last_error = Some(diagnostics),
        }
    }
    if remaining.len() > MAX_ALTERNATIVES {
        return Err(vec![Diagnostic {
            location,
            message: format!("more than {MAX_ALTERNATIVES} alternatives"),
        }]);
    }
    match (remaining.len(), last_error) {
        (0, Some(last_error)) if matches!(value.shape, Shape::Record { .. } | Shape::List(_)) => {
            Err(last_error)
        }
        (0, _) => conflict(),
        (1, _) => Ok(remaining.remove(0).1),
        _ => Ok(Value { shape: Shape::Disjunction(remaining), location }),
    }
}

/// Unifies two records field by field. A closed record accepts no other fields than its own.
fn unify_records(
    (one, closed): (&BTreeMap<String, RecordField>, bool),
    (other, other_closed): (&BTreeMap<String, RecordField>, bool),
    location: Location,
) -> EvalResult<Value> {
    let mut fields = BTreeMap::new();
    let mut diagnostics = Vec::new();
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
                    fields.insert(
                        name.clone(),
                        RecordField { presence, value, location: b.location.or(a.location) },
                    );
                }
                Err(more) => {
                    let location = b.location.or(a.location);
                    diagnostics.extend(more.into_iter().map(|diagnostic| {
                        let message = if diagnostic.location == Location::default()
                            || diagnostic.location >= location && !diagnostic.message.contains('\'')
                        {
                            format!("'{name}': {}", diagnostic.message)
                        } else {
                            diagnostic.message
                        };
                        Diagnostic { location: diagnostic.location.or(location), message }
                    }));
                }
            },
            (Some(field), None) if !other_closed => drop(fields.insert(name.clone(), field.clone())),
            (None, Some(field)) if !closed => drop(fields.insert(name.clone(), field.clone())),
            // An optional field that the other, closed record does not have is left out.
            (Some(field), None) | (None, Some(field)) if field.presence == Presence::Optional => {}
            (Some(field), None) | (None, Some(field)) => {
                let known: Vec<&str> = if closed { one } else { other }.keys().map(String::as_str).collect();
                let message = format!("there is no field '{name}' here{}", suggest_name(name, &known));
                diagnostics.push(Diagnostic { location: field.location, message });
            }
            (None, None) => {}
        }
    }
    if diagnostics.is_empty() {
        Ok(Value { shape: Shape::Record { fields, closed: closed || other_closed }, location })
    } else {
        Err(diagnostics)
    }
}

/// A suggestion for the known name that is most similar, or nothing if none is similar enough.
fn suggest_name(name: &str, known: &[&str]) -> String {
    let candidate = known.iter().map(|known| (edit_distance(name, known), known)).min();
    candidate
        .filter(|(distance, known)| *distance <= 2.max(known.len() / 4))
        .map_or(String::new(), |(_, known)| format!("; is '{known}' meant?"))
}

/// Levenshtein distance, over the first 64 characters of `one`.
fn edit_distance(one: &str, other: &str) -> usize {
    let other: Vec<char> = other.chars().collect();
    let mut row: Vec<usize> = (0..=other.len()).collect();
    for (i, a) in one.chars().take(64).enumerate() {
        let mut diagonal = std::mem::replace(&mut row[0], i + 1);
        for (j, b) in other.iter().enumerate() {
            let substitution = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            row[j + 1] = substitution.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[other.len()]
}

impl Value {
    /// Converts the value to JSON with its defaults filled in, and records the location of each part.
    fn export(
        &self,
        path: String,
        parent: Location,
        locations: &mut BTreeMap<String, Location>,
    ) -> EvalResult<serde_json::Value> {
        use serde_json::Value as Json;
        let location = self.location.or(parent);
        let error = |message: String| vec![Diagnostic { location, message }];
        let value = match &self.shape {
            Shape::Scalar(Scalar::Int(number)) => Json::from(*number),
            Shape::Scalar(Scalar::Float(number)) => Json::from(*number),
            Shape::Scalar(Scalar::Text(text)) => Json::from(text.as_str()),
            Shape::Scalar(Scalar::Bool(flag)) => Json::from(*flag),
            Shape::Scalar(Scalar::Null) => Json::Null,
            Shape::Top | Shape::Constrained(_) => {
                return Err(error(format!("'{path}' needs a value: {self}")));
            }
            Shape::Disjunction(alternatives) => {
                let defaults: Vec<&Value> = alternatives
                    .iter()
                    .filter(|(is_default, _)| *is_default)
                    .map(|(_, value)| value)
                    .collect();
                match defaults.as_slice() {
                    [default] => return default.export(path, location, locations),
                    _ => return Err(error(format!("'{path}' needs a value: {self}"))),
                }
            }
            Shape::OpenList(_) => Json::Array(Vec::new()),
            Shape::List(items) => {
                let (mut exported, mut diagnostics) = (Vec::new(), Vec::new());
                for (index, item) in items.iter().enumerate() {
                    match item.export(format!("{path}[{index}]"), location, locations) {
                        Ok(value) => exported.push(value),
                        Err(more) => diagnostics.extend(more),
                    }
                }
                if !diagnostics.is_empty() {
                    return Err(diagnostics);
                }
                Json::Array(exported)
            }
            Shape::Record { fields, .. } => {
                let (mut exported, mut diagnostics) = (serde_json::Map::new(), Vec::new());
                for (name, field) in fields {
                    let field_path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                    match field.presence {
                        Presence::Optional => {}
                        Presence::Required => diagnostics.extend(error(format!("'{field_path}' is missing"))),
                        Presence::Regular => {
                            match field.value.export(field_path, field.location.or(location), locations) {
                                Ok(value) => drop(exported.insert(name.clone(), value)),
                                Err(more) => diagnostics.extend(more),
                            }
                        }
                    }
                }
                if !diagnostics.is_empty() {
                    return Err(diagnostics);
                }
                Json::Object(exported)
            }
        };
        locations.insert(path, location);
        Ok(value)
    }
}
