//! Parses tokens to a syntax tree. After an error, the parser goes on at the next clause or rule, so that all
//! errors of a text are reported at once.

use super::ast::{Clause, ClauseSyntax, RuleSyntax, Spanned, Text};
use super::fault::{Faults, suggestion};
use super::lexer::{Kind, Token, tokens};
use std::ops::Range;

/// Marker for an error that was already reported. The parser then skips to the next clause.
pub(super) struct Skip;

pub(super) type Parse<T> = Result<T, Skip>;

/// Result of parsing a text.
pub(super) struct Parsed {
    pub(super) text: Text,
    /// For each rule: true if no part of the rule was dropped because of an error.
    pub(super) complete_rules: Vec<bool>,
}

pub(super) struct Parser<'a, 'f> {
    source: &'a str,
    tokens: Vec<Token<'a>>,
    at: usize,
    /// Comments that are not yet attached to a syntax node.
    pending_comments: Vec<String>,
    pub(super) faults: &'f mut Faults,
}

/// Parses a text and adds its syntax errors to `faults`.
pub(super) fn parse(source: &str, faults: &mut Faults) -> Parsed {
    let mut parser = Parser { source, tokens: tokens(source), at: 0, pending_comments: Vec::new(), faults };
    let (mut text, mut complete_rules) = (Text::default(), Vec::new());
    while parser.peek().is_some() {
        if !parser.at_word("rule") {
            parser.expected(&["rule"]);
            parser.at += 1;
            while parser.peek().is_some() && !parser.at_rule() {
                parser.at += 1;
            }
        } else if let Ok((rule, is_complete)) = parser.rule() {
            text.rules.push(rule);
            complete_rules.push(is_complete);
        }
    }
    text.end = std::mem::take(&mut parser.pending_comments);
    Parsed { text, complete_rules }
}

impl<'a> Parser<'a, '_> {
    /// Returns the next token that is not a comment.
    pub(super) fn peek(&mut self) -> Option<&Token<'a>> {
        while let Some(Token { kind: Kind::Comment(text), .. }) = self.tokens.get(self.at) {
            self.pending_comments.push((*text).to_owned());
            self.at += 1;
        }
        self.tokens.get(self.at)
    }

    pub(super) fn next_kind(&mut self) -> Option<Kind<'a>> {
        self.peek().map(|token| token.kind.clone())
    }

    pub(super) fn advance(&mut self) {
        self.at += 1;
    }

    /// Returns the byte range of the next token, or of the end of the text.
    pub(super) fn next_span(&mut self) -> Range<usize> {
        let end = self.source.len();
        self.peek().map_or(end..end, |token| token.span.clone())
    }

    /// Returns the byte range from `start` to the end of the last consumed token.
    pub(super) fn span_from(&self, start: usize) -> Range<usize> {
        let last = self.at.checked_sub(1).and_then(|n| self.tokens.get(n));
        start..last.map_or(start, |token| token.span.end.max(start))
    }

    pub(super) fn at_word(&mut self, word: &str) -> bool {
        matches!(self.peek(), Some(Token { kind: Kind::Word(found), .. }) if *found == word)
    }

    fn at_sign(&mut self, sign: char) -> bool {
        matches!(self.peek(), Some(Token { kind: Kind::Sign(found), .. }) if *found == sign)
    }

    /// Returns true if the next tokens are `rule NAME {`.
    fn at_rule(&mut self) -> bool {
        self.at_word("rule") && {
            let kind = |n: usize| self.tokens.get(self.at + n).map(|token| &token.kind);
            matches!((kind(1), kind(2)), (Some(Kind::Word(_)), Some(Kind::Sign('{'))))
        }
    }

    pub(super) fn take_word(&mut self, word: &str) -> bool {
        let found = self.at_word(word);
        self.at += usize::from(found);
        found
    }

    pub(super) fn take_sign(&mut self, sign: char) -> bool {
        let found = self.at_sign(sign);
        self.at += usize::from(found);
        found
    }

    pub(super) fn need_word(&mut self, word: &str) -> Parse<()> {
        if self.take_word(word) { Ok(()) } else { Err(self.expected(&[word])) }
    }

    pub(super) fn need_sign(&mut self, sign: char) -> Parse<()> {
        if self.take_sign(sign) { Ok(()) } else { Err(self.expected(&[sign.encode_utf8(&mut [0; 4])])) }
    }

    /// Reports an error that names the expected keywords or signs, and the token found.
    pub(super) fn expected(&mut self, alternatives: &[&str]) -> Skip {
        let (at, kind) = (self.next_span().start, self.next_kind());
        self.faults.add(at, || {
            let (last, rest) = alternatives.split_last().unwrap_or((&"", &[]));
            let rest: Vec<String> = rest.iter().map(|word| format!("`{word}`")).collect();
            let or = if rest.is_empty() { "" } else { " or " };
            let hint = match &kind {
                Some(Kind::Word(word)) => suggestion(word, alternatives.iter().copied()),
                _ => String::new(),
            };
            format!("expected {}{or}`{last}`, found {}{hint}", rest.join(", "), describe(kind.as_ref()))
        });
        Skip
    }

    /// Reports an error whose expected token is described in words.
    pub(super) fn expected_description(&mut self, description: &str) -> Skip {
        let (at, kind) = (self.next_span().start, self.next_kind());
        self.faults.add(at, || format!("expected {description}, found {}", describe(kind.as_ref())));
        Skip
    }

    fn comment_on_same_line(&mut self) -> Option<String> {
        let end = self.at.checked_sub(1).and_then(|n| self.tokens.get(n))?.span.end;
        let Token { kind: Kind::Comment(text), span } = self.tokens.get(self.at)? else { return None };
        if self.source[end..span.start].contains('\n') {
            return None;
        }
        self.at += 1;
        Some((*text).to_owned())
    }

    fn rule(&mut self) -> Parse<(RuleSyntax, bool)> {
        let before = std::mem::take(&mut self.pending_comments);
        self.advance();
        let span = self.next_span();
        let Some(Kind::Word(name)) = self.next_kind() else {
            return Err(
                self.expected_description("the rule's name (a letter, then letters, digits, `-`, `_`)")
            );
        };
        self.advance();
        self.need_sign('{')?;
        let name = Spanned { node: name.to_owned(), span };
        let head = self.comment_on_same_line();
        let (mut clauses, mut is_complete) = (Vec::<ClauseSyntax>::new(), true);
        let closed = loop {
            if self.take_sign('}') {
                break true;
            }
            if self.peek().is_none() || self.at_rule() {
                break false;
            }
            let before = std::mem::take(&mut self.pending_comments);
            match self.clause_with_comments(before) {
                Ok(clause) => {
                    if clauses.iter().any(|other| other.clause.node.kind() == clause.clause.node.kind()) {
                        let keyword = Clause::KEYWORDS[clause.clause.node.kind()];
                        self.faults.add(clause.clause.span.start, || format!("duplicate `{keyword}` clause"));
                        is_complete = false;
                    } else {
                        clauses.push(clause);
                    }
                }
                Err(Skip) => {
                    is_complete = false;
                    self.recover();
                }
            }
        };
        if !closed {
            self.expected_description("a clause or `}`");
            is_complete = false;
        }
        let end = std::mem::take(&mut self.pending_comments);
        let after = if closed { self.comment_on_same_line() } else { None };
        Ok((RuleSyntax { before, name, head, clauses, end, after }, is_complete))
    }

    fn clause_with_comments(&mut self, mut before: Vec<String>) -> Parse<ClauseSyntax> {
        let start = self.next_span().start;
        let clause = self.clause()?;
        self.need_sign(';')?;
        let clause = Spanned { node: clause, span: self.span_from(start) };
        before.append(&mut self.pending_comments);
        Ok(ClauseSyntax { before, clause, after: self.comment_on_same_line() })
    }

    /// Skips to the end of the clause: after its `;`, or before the next clause, rule or brace. The failed
    /// clause has consumed its first token, so that parsing always advances.
    fn recover(&mut self) {
        while self.peek().is_some() && !self.at_rule() && !self.at_sign('}') {
            if self.take_sign(';') {
                return;
            }
            if ["prefer", "spill", "beyond", "never", "when"].iter().any(|word| self.at_word(word)) {
                return;
            }
            self.advance();
        }
    }
}

/// What stands there, in words, cut shown_text and without description a terminal would act on.
fn describe(kind: Option<&Kind<'_>>) -> String {
    let shown_text = |text: &str| text.chars().take(40).flat_map(char::escape_debug).collect::<String>();
    match kind {
        None => "the end of the text".into(),
        Some(Kind::Word(word)) => format!("`{}`", shown_text(word)),
        Some(Kind::Name(name)) => format!("\"{}\"", shown_text(name)),
        Some(Kind::UnclosedName) => "a quote that is not closed on its line".into(),
        Some(Kind::Number(number, unit)) => format!("`{}{}`", shown_text(number), shown_text(unit)),
        Some(Kind::Sign(sign) | Kind::Unexpected(sign)) => format!("`{}`", sign.escape_debug()),
        Some(Kind::Comment(_)) => "a comment".into(),
    }
}
