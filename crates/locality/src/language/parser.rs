//! From pieces to a tree. After a fault it goes on at the next clause or rule, so that all faults of a text are told at once.

use super::ast::{Clause, ClauseSyntax, RuleSyntax, Spanned, Text};
use super::fault::{Faults, nearest};
use super::lexer::{Kind, Token, tokens};
use std::ops::Range;

/// A fault has been told; what follows up to the next clause is not looked at.
pub(super) struct Skip;

pub(super) type Parse<T> = Result<T, Skip>;

/// What was read of a text.
pub(super) struct Parsed {
    pub(super) text: Text,
    /// By rule: nothing of it is missing for a fault.
    pub(super) whole: Vec<bool>,
}

pub(super) struct Parser<'a, 'f> {
    source: &'a str,
    tokens: Vec<Token<'a>>,
    at: usize,
    /// Comments passed and not yet kept with anything.
    passed: Vec<String>,
    pub(super) faults: &'f mut Faults,
}

/// Reads a text; what is wrong with it goes to `faults`.
pub(super) fn parse(source: &str, faults: &mut Faults) -> Parsed {
    let mut parser = Parser { source, tokens: tokens(source), at: 0, passed: Vec::new(), faults };
    let (mut text, mut whole) = (Text::default(), Vec::new());
    while parser.peek().is_some() {
        if !parser.at_word("rule") {
            parser.expected(&["rule"]);
            parser.at += 1;
            while parser.peek().is_some() && !parser.at_rule() {
                parser.at += 1;
            }
        } else if let Ok((rule, is_whole)) = parser.rule() {
            text.rules.push(rule);
            whole.push(is_whole);
        }
    }
    text.end = std::mem::take(&mut parser.passed);
    Parsed { text, whole }
}

impl<'a> Parser<'a, '_> {
    /// The next piece that is no comment.
    pub(super) fn peek(&mut self) -> Option<&Token<'a>> {
        while let Some(Token { kind: Kind::Comment(text), .. }) = self.tokens.get(self.at) {
            self.passed.push((*text).to_owned());
            self.at += 1;
        }
        self.tokens.get(self.at)
    }

    pub(super) fn next_kind(&mut self) -> Option<Kind<'a>> {
        self.peek().map(|token| token.kind.clone())
    }

    pub(super) fn step(&mut self) {
        self.at += 1;
    }

    /// Where the next piece stands, or the end.
    pub(super) fn span(&mut self) -> Range<usize> {
        let end = self.source.len();
        self.peek().map_or(end..end, |token| token.span.clone())
    }

    /// From a place to the end of the last piece taken.
    pub(super) fn since(&self, start: usize) -> Range<usize> {
        let last = self.at.checked_sub(1).and_then(|n| self.tokens.get(n));
        start..last.map_or(start, |token| token.span.end.max(start))
    }

    pub(super) fn at_word(&mut self, word: &str) -> bool {
        matches!(self.peek(), Some(Token { kind: Kind::Word(found), .. }) if *found == word)
    }

    fn at_sign(&mut self, sign: char) -> bool {
        matches!(self.peek(), Some(Token { kind: Kind::Sign(found), .. }) if *found == sign)
    }

    /// Where a rule begins: `rule NAME {`, as far as it goes.
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

    /// Tells what could stand here, and what does.
    pub(super) fn expected(&mut self, what: &[&str]) -> Skip {
        let (at, kind) = (self.span().start, self.next_kind());
        self.faults.add(at, || {
            let (last, rest) = what.split_last().unwrap_or((&"", &[]));
            let rest: Vec<String> = rest.iter().map(|word| format!("`{word}`")).collect();
            let or = if rest.is_empty() { "" } else { " or " };
            let near = match &kind {
                Some(Kind::Word(word)) => nearest(word, what.iter().copied()),
                _ => String::new(),
            };
            format!("expected {}{or}`{last}`, found {}{near}", rest.join(", "), described(kind.as_ref()))
        });
        Skip
    }

    /// The same where what is expected is no fixed word.
    pub(super) fn expected_some(&mut self, what: &str) -> Skip {
        let (at, kind) = (self.span().start, self.next_kind());
        self.faults.add(at, || format!("expected {what}, found {}", described(kind.as_ref())));
        Skip
    }

    fn comment_on_line(&mut self) -> Option<String> {
        let end = self.at.checked_sub(1).and_then(|n| self.tokens.get(n))?.span.end;
        let Token { kind: Kind::Comment(text), span } = self.tokens.get(self.at)? else { return None };
        if self.source[end..span.start].contains('\n') {
            return None;
        }
        self.at += 1;
        Some((*text).to_owned())
    }

    fn rule(&mut self) -> Parse<(RuleSyntax, bool)> {
        let before = std::mem::take(&mut self.passed);
        self.step();
        let span = self.span();
        let Some(Kind::Word(name)) = self.next_kind() else {
            return Err(self.expected_some("the rule's name (a letter, then letters, digits, `-`, `_`)"));
        };
        self.step();
        self.need_sign('{')?;
        let name = Spanned { node: name.to_owned(), span };
        let head = self.comment_on_line();
        let (mut clauses, mut whole) = (Vec::<ClauseSyntax>::new(), true);
        let closed = loop {
            if self.take_sign('}') {
                break true;
            }
            if self.peek().is_none() || self.at_rule() {
                break false;
            }
            let before = std::mem::take(&mut self.passed);
            match self.whole_clause(before) {
                Ok(clause) => {
                    if clauses.iter().any(|other| other.clause.node.kind() == clause.clause.node.kind()) {
                        let word = Clause::KEYWORDS[clause.clause.node.kind()];
                        self.faults.add(clause.clause.span.start, || format!("`{word}` stands twice"));
                        whole = false;
                    } else {
                        clauses.push(clause);
                    }
                }
                Err(Skip) => {
                    whole = false;
                    self.recover();
                }
            }
        };
        if !closed {
            self.expected_some("a clause or `}`");
            whole = false;
        }
        let end = std::mem::take(&mut self.passed);
        let after = if closed { self.comment_on_line() } else { None };
        Ok((RuleSyntax { before, name, head, clauses, end, after }, whole))
    }

    fn whole_clause(&mut self, mut before: Vec<String>) -> Parse<ClauseSyntax> {
        let start = self.span().start;
        let clause = self.clause()?;
        self.need_sign(';')?;
        let clause = Spanned { node: clause, span: self.since(start) };
        before.append(&mut self.passed);
        Ok(ClauseSyntax { before, clause, after: self.comment_on_line() })
    }

    /// Behind the clause's `;`, or at the next clause, rule or brace. Any clause has taken its first piece.
    fn recover(&mut self) {
        while self.peek().is_some() && !self.at_rule() && !self.at_sign('}') {
            if self.take_sign(';') {
                return;
            }
            if ["prefer", "spill", "beyond", "never", "when"].iter().any(|word| self.at_word(word)) {
                return;
            }
            self.step();
        }
    }
}

/// What stands there, in words, cut short and without what a terminal would act on.
fn described(kind: Option<&Kind<'_>>) -> String {
    let short = |text: &str| text.chars().take(40).flat_map(char::escape_debug).collect::<String>();
    match kind {
        None => "the end".into(),
        Some(Kind::Word(word)) => format!("`{}`", short(word)),
        Some(Kind::Name(name)) => format!("\"{}\"", short(name)),
        Some(Kind::Open) => "a quote that does not end on its line".into(),
        Some(Kind::Figure(number, unit)) => format!("`{}{}`", short(number), short(unit)),
        Some(Kind::Sign(sign) | Kind::Bad(sign)) => format!("`{}`", sign.escape_debug()),
        Some(Kind::Comment(_)) => "a comment".into(),
    }
}
