//! Parses tokens to a syntax tree. After an error, the parser goes on at the next clause or rule, so that all
//! errors of a text are reported at once.

use super::ast::{Clause, ClauseSyntax, RuleSyntax, Spanned, Text};
use super::fault::{Faults, suggestion};
use super::lexer::{Token, TokenKind, tokens};
use std::ops::Range;

/// Marker for an error that was already reported. The parser then skips to the next clause.
pub(super) struct ErrorReported;

pub(super) type Parse<T> = Result<T, ErrorReported>;

/// Result of parsing a text.
pub(super) struct Parsed {
    pub(super) text: Text,
    /// For each rule: true if no part of the rule was dropped because of an error.
    pub(super) complete_rules: Vec<bool>,
}

pub(super) struct Parser<'a, 'f> {
    source: &'a str,
    tokens: Vec<Token<'a>>,
    /// Index of the next token.
    position: usize,
    /// Comments that are not yet attached to a syntax node.
    pending_comments: Vec<String>,
    pub(super) faults: &'f mut Faults,
}

/// Parses a text and adds its syntax errors to `faults`.
pub(super) fn parse(source: &str, faults: &mut Faults) -> Parsed {
    let mut parser =
        Parser { source, tokens: tokens(source), position: 0, pending_comments: Vec::new(), faults };
    let (mut text, mut complete_rules) = (Text::default(), Vec::new());
    while parser.peek().is_some() {
        if !parser.next_is_word("rule") {
            parser.expected(&["rule"]);
            parser.position += 1;
            while parser.peek().is_some() && !parser.next_is_rule() {
                parser.position += 1;
            }
        } else if let Ok((rule, is_complete)) = parser.rule() {
            text.rules.push(rule);
            complete_rules.push(is_complete);
        }
    }
    text.comments_at_end = std::mem::take(&mut parser.pending_comments);
    Parsed { text, complete_rules }
}

impl<'a> Parser<'a, '_> {
    /// Returns the next token that is not a comment.
    pub(super) fn peek(&mut self) -> Option<&Token<'a>> {
        while let Some(Token { kind: TokenKind::Comment(text), .. }) = self.tokens.get(self.position) {
            self.pending_comments.push((*text).to_owned());
            self.position += 1;
        }
        self.tokens.get(self.position)
    }

    pub(super) fn next_kind(&mut self) -> Option<TokenKind<'a>> {
        self.peek().map(|token| token.kind.clone())
    }

    pub(super) fn advance(&mut self) {
        self.position += 1;
    }

    /// Returns the byte range of the next token, or of the end of the text.
    pub(super) fn next_span(&mut self) -> Range<usize> {
        let end = self.source.len();
        self.peek().map_or(end..end, |token| token.span.clone())
    }

    /// Returns the byte range from `start` to the end of the last consumed token.
    pub(super) fn span_from(&self, start: usize) -> Range<usize> {
        let last = self.position.checked_sub(1).and_then(|n| self.tokens.get(n));
        start..last.map_or(start, |token| token.span.end.max(start))
    }

    pub(super) fn next_is_word(&mut self, word: &str) -> bool {
        matches!(self.peek(), Some(Token { kind: TokenKind::Word(found), .. }) if *found == word)
    }

    fn next_is_sign(&mut self, sign: char) -> bool {
        matches!(self.peek(), Some(Token { kind: TokenKind::Sign(found), .. }) if *found == sign)
    }

    /// Returns true if the next tokens are `rule NAME {`.
    fn next_is_rule(&mut self) -> bool {
        self.next_is_word("rule") && {
            let kind = |n: usize| self.tokens.get(self.position + n).map(|token| &token.kind);
            matches!((kind(1), kind(2)), (Some(TokenKind::Word(_)), Some(TokenKind::Sign('{'))))
        }
    }

    pub(super) fn take_word(&mut self, word: &str) -> bool {
        let found = self.next_is_word(word);
        self.position += usize::from(found);
        found
    }

    pub(super) fn take_sign(&mut self, sign: char) -> bool {
        let found = self.next_is_sign(sign);
        self.position += usize::from(found);
        found
    }

    pub(super) fn need_word(&mut self, word: &str) -> Parse<()> {
        if self.take_word(word) { Ok(()) } else { Err(self.expected(&[word])) }
    }

    pub(super) fn need_sign(&mut self, sign: char) -> Parse<()> {
        if self.take_sign(sign) { Ok(()) } else { Err(self.expected(&[sign.encode_utf8(&mut [0; 4])])) }
    }

    /// Reports an error that names the expected keywords or signs, and the token found.
    pub(super) fn expected(&mut self, alternatives: &[&str]) -> ErrorReported {
        let (at, kind) = (self.next_span().start, self.next_kind());
        self.faults.add(at, || {
            let (last, rest) = alternatives.split_last().unwrap_or((&"", &[]));
            let rest: Vec<String> = rest.iter().map(|word| format!("`{word}`")).collect();
            let or = if rest.is_empty() { "" } else { " or " };
            let hint = match &kind {
                Some(TokenKind::Word(word)) => suggestion(word, alternatives.iter().copied()),
                _ => String::new(),
            };
            format!("expected {}{or}`{last}`, found {}{hint}", rest.join(", "), describe(kind.as_ref()))
        });
        ErrorReported
    }

    /// Reports an error whose expected token is described in words.
    pub(super) fn expected_description(&mut self, description: &str) -> ErrorReported {
        let (at, kind) = (self.next_span().start, self.next_kind());
        self.faults.add(at, || format!("expected {description}, found {}", describe(kind.as_ref())));
        ErrorReported
    }

    fn comment_on_same_line(&mut self) -> Option<String> {
        let end = self.position.checked_sub(1).and_then(|n| self.tokens.get(n))?.span.end;
        let Token { kind: TokenKind::Comment(text), span } = self.tokens.get(self.position)? else {
            return None;
        };
        if self.source[end..span.start].contains('\n') {
            return None;
        }
        self.position += 1;
        Some((*text).to_owned())
    }

    fn rule(&mut self) -> Parse<(RuleSyntax, bool)> {
        let comments_before = std::mem::take(&mut self.pending_comments);
        self.advance();
        let span = self.next_span();
        let Some(TokenKind::Word(name)) = self.next_kind() else {
            return Err(
                self.expected_description("the rule's name (a letter, then letters, digits, `-`, `_`)")
            );
        };
        self.advance();
        self.need_sign('{')?;
        let name = Spanned { node: name.to_owned(), span };
        let opening_comment = self.comment_on_same_line();
        let (mut clauses, mut is_complete) = (Vec::<ClauseSyntax>::new(), true);
        let closed = loop {
            if self.take_sign('}') {
                break true;
            }
            if self.peek().is_none() || self.next_is_rule() {
                break false;
            }
            let comments_before = std::mem::take(&mut self.pending_comments);
            match self.clause_with_comments(comments_before) {
                Ok(clause) => {
                    if clauses.iter().any(|other| other.clause.node.kind() == clause.clause.node.kind()) {
                        let keyword = Clause::KEYWORDS[clause.clause.node.kind()];
                        self.faults.add(clause.clause.span.start, || format!("duplicate `{keyword}` clause"));
                        is_complete = false;
                    } else {
                        clauses.push(clause);
                    }
                }
                Err(ErrorReported) => {
                    is_complete = false;
                    self.recover();
                }
            }
        };
        if !closed {
            self.expected_description("a clause or `}`");
            is_complete = false;
        }
        let comments_at_end = std::mem::take(&mut self.pending_comments);
        let comment_after = if closed { self.comment_on_same_line() } else { None };
        Ok((
            RuleSyntax { comments_before, name, opening_comment, clauses, comments_at_end, comment_after },
            is_complete,
        ))
    }

    fn clause_with_comments(&mut self, mut comments_before: Vec<String>) -> Parse<ClauseSyntax> {
        let start = self.next_span().start;
        let clause = self.clause()?;
        self.need_sign(';')?;
        let clause = Spanned { node: clause, span: self.span_from(start) };
        comments_before.append(&mut self.pending_comments);
        Ok(ClauseSyntax { comments_before, clause, comment_after: self.comment_on_same_line() })
    }

    /// Skips to the end of the clause: after its `;`, or before the next clause, rule or brace. The failed
    /// clause has consumed its first token, so that parsing always advances.
    fn recover(&mut self) {
        while self.peek().is_some() && !self.next_is_rule() && !self.next_is_sign('}') {
            if self.take_sign(';') {
                return;
            }
            if ["prefer", "spill", "beyond", "never", "when"].iter().any(|word| self.next_is_word(word)) {
                return;
            }
            self.advance();
        }
    }
}

/// Describes a token for an error message. Long tokens are cut, and control characters are escaped so that
/// they do not act on a terminal.
fn describe(kind: Option<&TokenKind<'_>>) -> String {
    let shown_text = |text: &str| text.chars().take(40).flat_map(char::escape_debug).collect::<String>();
    match kind {
        None => "the end of the text".into(),
        Some(TokenKind::Word(word)) => format!("`{}`", shown_text(word)),
        Some(TokenKind::Name(name)) => format!("\"{}\"", shown_text(name)),
        Some(TokenKind::UnclosedName) => "a quote that is not closed on its line".into(),
        Some(TokenKind::Number(number, unit)) => format!("`{}{}`", shown_text(number), shown_text(unit)),
        Some(TokenKind::Sign(sign) | TokenKind::Unexpected(sign)) => format!("`{}`", sign.escape_debug()),
        Some(TokenKind::Comment(_)) => "a comment".into(),
    }
}
