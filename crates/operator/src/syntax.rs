//! The parser: turns a text into fields and expressions, each with its location.

use crate::eval::{Diagnostic, Location};
use pest::Parser;
use pest::iterators::Pair;

#[derive(pest_derive::Parser)]
#[grammar = "cue.pest"]
struct Grammar;

/// Maximum nesting depth of records, lists and parentheses.
const MAX_NESTING: usize = 32;

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Expression {
    pub(crate) kind: ExpressionKind,
    pub(crate) location: Location,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ExpressionKind {
    /// One of these alternatives; those with the flag set are defaults.
    Disjunction(Vec<(bool, Expression)>),
    /// All of these at once.
    Conjunction(Vec<Expression>),
    Record(Vec<Field>),
    List(Vec<Expression>),
    /// A list of any length whose elements all match this expression.
    OpenList(Box<Expression>),
    Bound(BoundOperator, Box<Expression>),
    Int(i64),
    Float(f64),
    Text(String),
    Bool(bool),
    Null,
    /// `string`, `int`, `float`, `number`, `bool` or `_`.
    Type(String),
    Reference(String),
}

/// The comparison of a bound, such as `>=` in `>=0`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BoundOperator {
    AtLeast,
    AtMost,
    Above,
    Below,
    Not,
    /// `=~`, a match with a regular expression.
    Matches,
}

/// How a field is declared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Presence {
    /// `name: value`
    Regular,
    /// `name?: value`
    Optional,
    /// `name!: value`
    Required,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Field {
    pub(crate) name: String,
    pub(crate) presence: Presence,
    pub(crate) value: Expression,
    pub(crate) location: Location,
}

/// Parses a text into its top-level fields. The names of definitions keep their `#`.
pub(crate) fn parse(text: &str) -> Result<Vec<Field>, Diagnostic> {
    if let Some(location) = find_excess_nesting(text) {
        return Err(Diagnostic { location, message: format!("nested more than {MAX_NESTING} levels deep") });
    }
    let mut parsed = Grammar::parse(Rule::file, text).map_err(|error| {
        let (line, column) = match error.line_col {
            pest::error::LineColLocation::Pos(start) | pest::error::LineColLocation::Span(start, _) => start,
        };
        let message = match &error.variant {
            pest::error::ErrorVariant::ParsingError { positives, .. } => {
                let mut expected: Vec<&str> = positives.iter().map(describe_rule).collect();
                expected.sort_unstable();
                expected.dedup();
                format!("expected {}", expected.join(" or "))
            }
            pest::error::ErrorVariant::CustomError { message } => message.clone(),
        };
        Diagnostic { location: Location { line, column }, message }
    })?;
    let file = parsed.next().map(Pair::into_inner);
    file.into_iter().flatten().filter(|pair| pair.as_rule() == Rule::field).map(field).collect()
}

/// Finds where brackets are nested too deeply. This is checked before parsing, because the parser recurses with each
/// bracket and would overflow the stack.
fn find_excess_nesting(text: &str) -> Option<Location> {
    let (mut depth, mut in_string, mut escaped, mut in_comment) = (0_usize, false, false, false);
    let (mut line, mut column) = (1, 0);
    for character in text.chars() {
        column += 1;
        match character {
            '\n' => {
                (in_string, in_comment, escaped) = (false, false, false);
                line += 1;
                column = 0;
            }
            _ if in_comment => {}
            _ if escaped => escaped = false,
            '\\' if in_string => escaped = true,
            '"' => in_string = !in_string,
            _ if in_string => {}
            '/' => {
                in_comment =
                    text.lines().nth(line - 1).is_some_and(|text| text.chars().nth(column) == Some('/'))
            }
            '{' | '[' | '(' => depth += 1,
            '}' | ']' | ')' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_NESTING {
            return Some(Location { line, column });
        }
    }
    None
}

fn describe_rule(rule: &Rule) -> &'static str {
    match rule {
        Rule::field | Rule::label => "a field",
        Rule::expression | Rule::alternative | Rule::conjunct | Rule::elements => "a value",
        Rule::record => "a record",
        Rule::list => "a list",
        Rule::number => "a number",
        Rule::string | Rule::string_content => "a quoted string",
        Rule::identifier | Rule::definition | Rule::reference => "a name",
        Rule::presence_mark => "':', '?:' or '!:'",
        Rule::EOI => "the end of the file",
        Rule::bound_operator | Rule::bound => "a bound",
        Rule::escape => "a known escape sequence",
        _ => "something else",
    }
}

fn location(pair: &Pair<'_, Rule>) -> Location {
    let (line, column) = pair.line_col();
    Location { line, column }
}

fn field(pair: Pair<'_, Rule>) -> Result<Field, Diagnostic> {
    let location = location(&pair);
    let (mut name, mut presence, mut value) = (String::new(), Presence::Regular, None);
    for part in pair.into_inner() {
        match part.as_rule() {
            Rule::label => {
                let inner = part.clone().into_inner().next();
                name = match inner {
                    Some(inner) if inner.as_rule() == Rule::string => unescape(&inner),
                    _ => part.as_str().trim().to_owned(),
                };
            }
            Rule::presence_mark if part.as_str() == "?" => presence = Presence::Optional,
            Rule::presence_mark => presence = Presence::Required,
            _ => value = Some(expression(part)?),
        }
    }
    let value = value.ok_or(Diagnostic { location, message: "field without a value".into() })?;
    Ok(Field { name, presence, value, location })
}

/// The content of a string, with its escape sequences replaced.
fn unescape(pair: &Pair<'_, Rule>) -> String {
    let inner = pair.clone().into_inner().next().map_or("", |inner| inner.as_str());
    let (mut out, mut characters) = (String::with_capacity(inner.len()), inner.chars());
    while let Some(character) = characters.next() {
        out.push(match character {
            '\\' => match characters.next() {
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
    let location = location(&pair);
    let rule = pair.as_rule();
    let source = pair.as_str();
    let kind = match rule {
        Rule::expression => {
            let mut alternatives = Vec::new();
            for alternative in pair.into_inner() {
                let is_default = alternative
                    .clone()
                    .into_inner()
                    .next()
                    .is_some_and(|part| part.as_rule() == Rule::default_mark);
                alternatives.push((is_default, expression(alternative)?));
            }
            match <[_; 1]>::try_from(alternatives) {
                Ok([(_, only)]) => return Ok(only),
                Err(alternatives) => ExpressionKind::Disjunction(alternatives),
            }
        }
        Rule::alternative => {
            let parts = pair.into_inner().filter(|part| part.as_rule() != Rule::default_mark);
            let parts = parts.map(expression).collect::<Result<Vec<_>, _>>()?;
            match <[_; 1]>::try_from(parts) {
                Ok([only]) => return Ok(only),
                Err(parts) => ExpressionKind::Conjunction(parts),
            }
        }
        Rule::conjunct => {
            let error = Diagnostic { location, message: "empty value".into() };
            return expression(pair.into_inner().next().ok_or(error)?);
        }
        Rule::record => ExpressionKind::Record(pair.into_inner().map(field).collect::<Result<_, _>>()?),
        Rule::list => match pair.into_inner().next() {
            None => ExpressionKind::List(Vec::new()),
            Some(inner) if inner.as_rule() == Rule::open_list => {
                let element = inner
                    .into_inner()
                    .next()
                    .ok_or(Diagnostic { location, message: "list without an element type".into() })?;
                ExpressionKind::OpenList(Box::new(expression(element)?))
            }
            Some(inner) => {
                ExpressionKind::List(inner.into_inner().map(expression).collect::<Result<_, _>>()?)
            }
        },
        Rule::bound => {
            let mut parts = pair.into_inner();
            let operator = match parts.next().map(|part| part.as_str()) {
                Some(">=") => BoundOperator::AtLeast,
                Some("<=") => BoundOperator::AtMost,
                Some(">") => BoundOperator::Above,
                Some("<") => BoundOperator::Below,
                Some("!=") => BoundOperator::Not,
                _ => BoundOperator::Matches,
            };
            let limit =
                parts.next().ok_or(Diagnostic { location, message: "bound without a value".into() })?;
            ExpressionKind::Bound(operator, Box::new(expression(limit)?))
        }
        Rule::number => {
            let digits = source.replace('_', "");
            let out_of_range =
                |_| Diagnostic { location, message: format!("number '{source}' is out of range") };
            if digits.contains('.') {
                ExpressionKind::Float(digits.parse().map_err(|_| out_of_range(()))?)
            } else {
                ExpressionKind::Int(digits.parse().map_err(|_| out_of_range(()))?)
            }
        }
        Rule::string => ExpressionKind::Text(unescape(&pair)),
        Rule::keyword => match source {
            "true" => ExpressionKind::Bool(true),
            "false" => ExpressionKind::Bool(false),
            "null" => ExpressionKind::Null,
            other => ExpressionKind::Type(other.to_owned()),
        },
        _ => ExpressionKind::Reference(source.trim().to_owned()),
    };
    Ok(Expression { kind, location })
}
