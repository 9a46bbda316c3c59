//! Splits a text into tokens. The lexer never fails: an unexpected character becomes a token that the parser
//! reports.

use std::ops::Range;
use winnow::ascii::multispace0;
use winnow::combinator::{alt, delimited, opt, preceded};
use winnow::prelude::*;
use winnow::stream::LocatingSlice;
use winnow::token::{any, one_of, take_till, take_while};

/// Kind of a token, with its content.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TokenKind<'a> {
    /// Keyword or rule name, such as `own` or `booking`.
    Word(&'a str),
    /// Text between quotes, with its escapes.
    Name(&'a str),
    /// Quoted name that is not closed on its line.
    UnclosedName,
    /// Number, with an optional fraction, and the unit that follows directly: `%` or letters such as `ms`.
    Number(&'a str, &'a str),
    /// One of `{ } ; , >`.
    Sign(char),
    /// From `#` to the end of the line.
    Comment(&'a str),
    /// Character that the language does not use.
    Unexpected(char),
}

/// A token with its byte range in the text.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Token<'a> {
    pub(crate) kind: TokenKind<'a>,
    pub(crate) span: Range<usize>,
}

type Input<'a> = LocatingSlice<&'a str>;

fn word<'a>(input: &mut Input<'a>) -> ModalResult<TokenKind<'a>> {
    let first = one_of(|c: char| c.is_ascii_alphabetic() || c == '_');
    (first, take_while(0.., |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-'))
        .take()
        .map(TokenKind::Word)
        .parse_next(input)
}

fn name<'a>(input: &mut Input<'a>) -> ModalResult<TokenKind<'a>> {
    // A name ends with its line. Otherwise each unclosed quote would scan the rest of the text again.
    let piece =
        alt((('\\', one_of(|c| c != '\n')).void(), one_of(|c| !matches!(c, '"' | '\\' | '\n')).void()));
    let content = winnow::combinator::repeat::<_, _, (), _, _>(0.., piece).take();
    let closed = delimited('"', content, '"').map(TokenKind::Name);
    alt((closed, ('"', take_till(0.., '\n')).map(|_| TokenKind::UnclosedName))).parse_next(input)
}

fn number<'a>(input: &mut Input<'a>) -> ModalResult<TokenKind<'a>> {
    let digits = || take_while(1.., |c: char| c.is_ascii_digit());
    let value = (digits(), opt(preceded('.', digits()))).take();
    let unit = alt(("%", take_while(0.., |c: char| c.is_ascii_alphanumeric() || c == '_')));
    (value, unit).map(|(number, unit)| TokenKind::Number(number, unit)).parse_next(input)
}

fn token<'a>(input: &mut Input<'a>) -> ModalResult<Token<'a>> {
    let comment = preceded('#', take_till(0.., '\n')).map(|text: &str| TokenKind::Comment(text.trim_end()));
    let sign = one_of(['{', '}', ';', ',', '>']).map(TokenKind::Sign);
    let piece = alt((word, name, number, sign, comment, any.map(TokenKind::Unexpected)));
    preceded(multispace0, piece.with_span()).map(|(kind, span)| Token { kind, span }).parse_next(input)
}

/// Returns all tokens of a text, including comments.
pub(crate) fn tokens(text: &str) -> Vec<Token<'_>> {
    let (mut input, mut tokens) = (LocatingSlice::new(text), Vec::new());
    while let Ok(token) = token(&mut input) {
        tokens.push(token);
    }
    tokens
}

/// Removes the escapes of a name: a backslash and a character stand for the character.
pub(crate) fn unquoted(inner: &str) -> String {
    let (mut name, mut chars) = (String::with_capacity(inner.len()), inner.chars());
    while let Some(c) = chars.next() {
        name.extend(if c == '\\' { chars.next() } else { Some(c) });
    }
    name
}

/// Returns a name with quotes and escapes.
pub(crate) fn quoted(name: &str) -> String {
    format!("\"{}\"", name.replace('\\', "\\\\").replace('"', "\\\""))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn distinguishes_all_kinds_of_tokens() {
        let kinds = tokens("own-x 3.5ms 80%>\"a\\\"b\";\n# no \r\n\"open ;\n é").into_iter();
        let kinds: Vec<_> = kinds.map(|token| token.kind).collect();
        let expected = [
            TokenKind::Word("own-x"),
            TokenKind::Number("3.5", "ms"),
            TokenKind::Number("80", "%"),
            TokenKind::Sign('>'),
            TokenKind::Name("a\\\"b"),
            TokenKind::Sign(';'),
            TokenKind::Comment(" no"),
            TokenKind::UnclosedName,
            TokenKind::Unexpected('é'),
        ];
        assert_eq!(kinds, expected);
        assert_eq!(unquoted("a\\\"b"), "a\"b");
        assert_eq!(unquoted(quoted("a\\\"b").trim_matches('"')), "a\\\"b");
    }
}
