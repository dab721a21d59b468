//! From text to the parts of a file, each with its place.

use crate::eval::{Diagnostic, Location};
use pest::Parser;
use pest::iterators::Pair;

#[derive(pest_derive::Parser)]
#[grammar = "cue.pest"]
struct Grammar;

/// Records, lists and brackets in one another no deeper than this.
const DEEPEST: usize = 32;

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Expression {
    pub(crate) kind: Kind,
    pub(crate) place: Location,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Kind {
    /// One of these; those with the flag are the default.
    Any(Vec<(bool, Expression)>),
    /// All of these at once.
    All(Vec<Expression>),
    Record(Vec<Field>),
    List(Vec<Expression>),
    ListOf(Box<Expression>),
    Bound(Operator, Box<Expression>),
    Int(i64),
    Float(f64),
    Text(String),
    Bool(bool),
    Null,
    /// `string`, `int`, `float`, `number`, `bool` or `_`.
    Type(String),
    Reference(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Operator {
    AtLeast,
    AtMost,
    Above,
    Below,
    Not,
    Matches,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Presence {
    Regular,
    Optional,
    Required,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Field {
    pub(crate) name: String,
    pub(crate) presence: Presence,
    pub(crate) value: Expression,
    pub(crate) place: Location,
}

/// The fields of a file, definitions with their `#`.
pub(crate) fn parse(text: &str) -> Result<Vec<Field>, Diagnostic> {
    if let Some(place) = too_deep(text) {
        return Err(Diagnostic { location: place, message: format!("nested more than {DEEPEST} deep") });
    }
    let mut parsed = Grammar::parse(Rule::file, text).map_err(|error| {
        let (line, column) = match error.line_col {
            pest::error::LineColLocation::Pos(at) | pest::error::LineColLocation::Span(at, _) => at,
        };
        let what = match &error.variant {
            pest::error::ErrorVariant::ParsingError { positives, .. } => {
                let mut names: Vec<&str> = positives.iter().map(spoken).collect();
                names.sort_unstable();
                names.dedup();
                format!("expected {}", names.join(" or "))
            }
            pest::error::ErrorVariant::CustomError { message } => message.clone(),
        };
        Diagnostic { location: Location { line, column }, message: what }
    })?;
    let file = parsed.next().map(Pair::into_inner);
    file.into_iter().flatten().filter(|pair| pair.as_rule() == Rule::field).map(field).collect()
}

/// The parser goes down with each bracket, so that these are counted first.
fn too_deep(text: &str) -> Option<Location> {
    let (mut depth, mut quoted, mut escaped, mut comment) = (0_usize, false, false, false);
    let (mut line, mut column) = (1, 0);
    for letter in text.chars() {
        column += 1;
        match letter {
            '\n' => {
                (quoted, comment, escaped) = (false, false, false);
                line += 1;
                column = 0;
            }
            _ if comment => {}
            _ if escaped => escaped = false,
            '\\' if quoted => escaped = true,
            '"' => quoted = !quoted,
            _ if quoted => {}
            '/' => {
                comment = text.lines().nth(line - 1).is_some_and(|text| text.chars().nth(column) == Some('/'))
            }
            '{' | '[' | '(' => depth += 1,
            '}' | ']' | ')' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > DEEPEST {
            return Some(Location { line, column });
        }
    }
    None
}

fn spoken(rule: &Rule) -> &'static str {
    match rule {
        Rule::field | Rule::label => "a field",
        Rule::expression | Rule::alternative | Rule::conjunct | Rule::elements => "a value",
        Rule::record => "a record",
        Rule::list => "a list",
        Rule::number => "a number",
        Rule::string | Rule::inner => "text in quotes",
        Rule::identifier | Rule::definition | Rule::reference => "a name",
        Rule::mark => "':', '?:' or '!:'",
        Rule::EOI => "the end of the file",
        Rule::operator | Rule::bound => "a bound",
        Rule::escape => "an escape that is known",
        _ => "something else",
    }
}

fn place(pair: &Pair<'_, Rule>) -> Location {
    let (line, column) = pair.line_col();
    Location { line, column }
}

fn field(pair: Pair<'_, Rule>) -> Result<Field, Diagnostic> {
    let place = place(&pair);
    let (mut name, mut presence, mut value) = (String::new(), Presence::Regular, None);
    for part in pair.into_inner() {
        match part.as_rule() {
            Rule::label => {
                let inner = part.clone().into_inner().next();
                name = match inner {
                    Some(inner) if inner.as_rule() == Rule::string => text(&inner),
                    _ => part.as_str().trim().to_owned(),
                };
            }
            Rule::mark if part.as_str() == "?" => presence = Presence::Optional,
            Rule::mark => presence = Presence::Required,
            _ => value = Some(expression(part)?),
        }
    }
    let value = value.ok_or(Diagnostic { location: place, message: "a field without a value".into() })?;
    Ok(Field { name, presence, value, place })
}

fn text(pair: &Pair<'_, Rule>) -> String {
    let inner = pair.clone().into_inner().next().map_or("", |inner| inner.as_str());
    let (mut out, mut letters) = (String::with_capacity(inner.len()), inner.chars());
    while let Some(letter) = letters.next() {
        out.push(match letter {
            '\\' => match letters.next() {
                Some('n') => '\n',
                Some('t') => '\t',
                Some('r') => '\r',
                other => other.unwrap_or('\\'),
            },
            other => other,
        });
    }
    out
}

fn expression(pair: Pair<'_, Rule>) -> Result<Expression, Diagnostic> {
    let place = place(&pair);
    let rule = pair.as_rule();
    let written = pair.as_str();
    let kind = match rule {
        Rule::expression => {
            let mut options = Vec::new();
            for one in pair.into_inner() {
                let star = one.clone().into_inner().next().is_some_and(|part| part.as_rule() == Rule::star);
                options.push((star, expression(one)?));
            }
            match <[_; 1]>::try_from(options) {
                Ok([(_, only)]) => return Ok(only),
                Err(options) => Kind::Any(options),
            }
        }
        Rule::alternative => {
            let parts = pair.into_inner().filter(|part| part.as_rule() != Rule::star);
            let parts = parts.map(expression).collect::<Result<Vec<_>, _>>()?;
            match <[_; 1]>::try_from(parts) {
                Ok([only]) => return Ok(only),
                Err(parts) => Kind::All(parts),
            }
        }
        Rule::conjunct => {
            let what = Diagnostic { location: place, message: "a value that is empty".into() };
            return expression(pair.into_inner().next().ok_or(what)?);
        }
        Rule::record => Kind::Record(pair.into_inner().map(field).collect::<Result<_, _>>()?),
        Rule::list => match pair.into_inner().next() {
            None => Kind::List(Vec::new()),
            Some(inner) if inner.as_rule() == Rule::open => {
                let of = inner
                    .into_inner()
                    .next()
                    .ok_or(Diagnostic { location: place, message: "a list of nothing".into() })?;
                Kind::ListOf(Box::new(expression(of)?))
            }
            Some(inner) => Kind::List(inner.into_inner().map(expression).collect::<Result<_, _>>()?),
        },
        Rule::bound => {
            let mut parts = pair.into_inner();
            let operator = match parts.next().map(|part| part.as_str()) {
                Some(">=") => Operator::AtLeast,
                Some("<=") => Operator::AtMost,
                Some(">") => Operator::Above,
                Some("<") => Operator::Below,
                Some("!=") => Operator::Not,
                _ => Operator::Matches,
            };
            let of = parts
                .next()
                .ok_or(Diagnostic { location: place, message: "a bound without a value".into() })?;
            Kind::Bound(operator, Box::new(expression(of)?))
        }
        Rule::number => {
            let digits = written.replace('_', "");
            let odd =
                |_| Diagnostic { location: place, message: format!("'{written}' is no number that fits") };
            if digits.contains('.') {
                Kind::Float(digits.parse().map_err(|_| odd(()))?)
            } else {
                Kind::Int(digits.parse().map_err(|_| odd(()))?)
            }
        }
        Rule::string => Kind::Text(text(&pair)),
        Rule::word => match written {
            "true" => Kind::Bool(true),
            "false" => Kind::Bool(false),
            "null" => Kind::Null,
            other => Kind::Type(other.to_owned()),
        },
        _ => Kind::Reference(written.trim().to_owned()),
    };
    Ok(Expression { kind, place })
}
