//! A text into words, names, figures and signs. It never fails: what it does not know is a token too, for the parser to name.

use std::ops::Range;
use winnow::ascii::multispace0;
use winnow::combinator::{alt, delimited, opt, preceded};
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::{any, one_of, take_till, take_while};

/// A piece of text.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Kind<'a> {
    /// `own`, `booking`.
    Word(&'a str),
    /// What stands between quotes, as written there.
    Name(&'a str),
    /// A quote without its end on the same line.
    Open,
    /// Digits, perhaps a point and digits, and what stands against them: `%`, `ms`.
    Figure(&'a str, &'a str),
    /// One of `{ } ; , >`.
    Sign(char),
    /// From `#` to the end of the line.
    Comment(&'a str),
    /// What has no place in a text.
    Bad(char),
}

/// A piece and where it stands, in bytes.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Token<'a> {
    pub(crate) kind: Kind<'a>,
    pub(crate) span: Range<usize>,
}

type Input<'a> = LocatingSlice<&'a str>;

fn word<'a>(input: &mut Input<'a>) -> ModalResult<Kind<'a>> {
    let first = one_of(|c: char| c.is_ascii_alphabetic() || c == '_');
    (first, take_while(0.., |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-'))
        .take()
        .map(Kind::Word)
        .parse_next(input)
}

fn name<'a>(input: &mut Input<'a>) -> ModalResult<Kind<'a>> {
    // Never past the line: each line would be looked through again by the next.
    let piece =
        alt((('\\', one_of(|c| c != '\n')).void(), one_of(|c| !matches!(c, '"' | '\\' | '\n')).void()));
    let pieces = winnow::combinator::repeat::<_, _, (), _, _>(0.., piece).take();
    let closed = delimited('"', pieces, '"').map(Kind::Name);
    alt((closed, ('"', take_till(0.., '\n')).map(|_| Kind::Open))).parse_next(input)
}

fn figure<'a>(input: &mut Input<'a>) -> ModalResult<Kind<'a>> {
    let digits = || take_while(1.., |c: char| c.is_ascii_digit());
    let number = (digits(), opt(preceded('.', digits()))).take();
    let unit = alt(("%", take_while(0.., |c: char| c.is_ascii_alphanumeric() || c == '_')));
    (number, unit).map(|(number, unit)| Kind::Figure(number, unit)).parse_next(input)
}

fn token<'a>(input: &mut Input<'a>) -> ModalResult<Token<'a>> {
    let comment = preceded('#', take_till(0.., '\n')).map(|text: &str| Kind::Comment(text.trim_end()));
    let sign = one_of(['{', '}', ';', ',', '>']).map(Kind::Sign);
    let piece = alt((word, name, figure, sign, comment, any.map(Kind::Bad)));
    preceded(multispace0, piece.with_span()).map(|(kind, span)| Token { kind, span }).parse_next(input)
}

/// All pieces of a text.
pub(crate) fn tokens(text: &str) -> Vec<Token<'_>> {
    let (mut input, mut tokens) = (LocatingSlice::new(text), Vec::new());
    while let Ok(token) = token(&mut input) {
        tokens.push(token);
    }
    tokens
}

/// A name as meant: a backslash before a character stands for that character.
pub(crate) fn unquoted(inner: &str) -> String {
    let (mut name, mut chars) = (String::with_capacity(inner.len()), inner.chars());
    while let Some(c) = chars.next() {
        name.extend(if c == '\\' { chars.next() } else { Some(c) });
    }
    name
}

/// A name as written.
pub(crate) fn quoted(name: &str) -> String {
    format!("\"{}\"", name.replace('\\', "\\\\").replace('"', "\\\""))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pieces_are_told_apart() {
        let kinds = tokens("own-x 3.5ms 80%>\"a\\\"b\";\n# no \r\n\"open ;\n é").into_iter();
        let kinds: Vec<_> = kinds.map(|token| token.kind).collect();
        let want = [
            Kind::Word("own-x"),
            Kind::Figure("3.5", "ms"),
            Kind::Figure("80", "%"),
            Kind::Sign('>'),
            Kind::Name("a\\\"b"),
            Kind::Sign(';'),
            Kind::Comment(" no"),
            Kind::Open,
            Kind::Bad('é'),
        ];
        assert_eq!(kinds, want);
        assert_eq!(unquoted("a\\\"b"), "a\"b");
        assert_eq!(unquoted(quoted("a\\\"b").trim_matches('"')), "a\\\"b");
    }
}
