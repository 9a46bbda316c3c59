//! Parser for clauses, percentages and durations.

use super::ast::{
    Clause, NamedLocality, Percent, Spanned, SpillThresholds, StepSyntax, Subject, TargetSyntax,
};
use super::lexer::{TokenKind, unquoted};
use super::parser::{Parse, Parser};
use std::time::Duration;

/// Longest time that `for` accepts in a `spill over` clause.
pub const MAX_SPILL_DWELL: Duration = Duration::from_secs(3600);
/// Longest time that `within` accepts.
pub const MAX_WITHIN: Duration = Duration::from_secs(60);

/// Units of time with their length in microseconds, the longest first.
pub(super) const UNITS: [(&str, u64); 4] = [("m", 60_000_000), ("s", 1_000_000), ("ms", 1_000), ("us", 1)];

impl Parser<'_, '_> {
    /// Parses a clause without its `;`. Consumes at least one token, even on an error.
    pub(super) fn clause(&mut self) -> Parse<Clause> {
        if self.take_word("for") {
            self.list(Self::subject).map(Clause::For)
        } else if self.take_word("prefer") {
            self.steps().map(Clause::Prefer)
        } else if self.take_word("spill") {
            if self.take_word("over") {
                self.spill_thresholds().map(Clause::SpillOver)
            } else if self.take_word("below") {
                let min_usable = self.percent()?;
                self.need_word("usable")?;
                Ok(Clause::SpillBelow(min_usable))
            } else {
                Err(self.expected(&["over", "below"]))
            }
        } else if self.take_word("beyond") {
            self.need_word("region")?;
            self.need_word("at")?;
            self.need_word("most")?;
            self.percent().map(Clause::BeyondRegion)
        } else if self.take_word("never") {
            self.list(Self::named_locality).map(Clause::Never)
        } else if self.take_word("when") {
            self.need_word("lost")?;
            if self.take_word("refuse") {
                Ok(Clause::WhenLost(false))
            } else if self.take_word("anywhere") {
                Ok(Clause::WhenLost(true))
            } else {
                Err(self.expected(&["refuse", "anywhere"]))
            }
        } else {
            let reported = self.expected(&["for", "prefer", "spill", "beyond", "never", "when", "}"]);
            self.advance();
            Err(reported)
        }
    }

    fn list<T>(&mut self, item: impl Fn(&mut Self) -> Parse<T>) -> Parse<Vec<Spanned<T>>> {
        let mut items = Vec::new();
        loop {
            let start = self.next_span().start;
            let node = item(self)?;
            items.push(Spanned { node, span: self.span_from(start) });
            if !self.take_sign(',') {
                return Ok(items);
            }
        }
    }

    fn name(&mut self, owner: &str) -> Parse<String> {
        let Some(TokenKind::Name(inner)) = self.next_kind() else {
            return Err(self.expected_description(&format!("the {owner}'s name in quotes")));
        };
        self.advance();
        Ok(unquoted(inner))
    }

    fn subject(&mut self) -> Parse<Subject> {
        if self.take_word("class") {
            self.name("class").map(Subject::Class)
        } else if self.take_word("tenant") {
            self.name("tenant").map(Subject::Tenant)
        } else {
            Err(self.expected(&["class", "tenant"]))
        }
    }

    fn named_locality(&mut self) -> Parse<NamedLocality> {
        if self.take_word("zone") {
            self.name("zone").map(NamedLocality::Zone)
        } else if self.take_word("region") {
            self.name("region").map(NamedLocality::Region)
        } else {
            Err(self.expected(&["zone", "region"]))
        }
    }

    fn steps(&mut self) -> Parse<Vec<Spanned<StepSyntax>>> {
        let mut steps = Vec::new();
        loop {
            let start = self.next_span().start;
            let target = self.target()?;
            let within = if self.take_word("within") { Some(self.duration(MAX_WITHIN)?) } else { None };
            if let (TargetSyntax::OwnZone, Some(within)) = (&target, &within) {
                self.faults.add(within.span.start, || "`within` has no effect on `own zone`".into());
            }
            let has_no_within = within.is_none();
            steps.push(Spanned { node: StepSyntax { target, within }, span: self.span_from(start) });
            if self.take_sign('>') {
                continue;
            }
            let is_end = matches!(self.next_kind(), Some(TokenKind::Sign(';')));
            return match (is_end, has_no_within) {
                (true, _) => Ok(steps),
                (false, true) => Err(self.expected(&["within", ">", ";"])),
                (false, false) => Err(self.expected(&[">", ";"])),
            };
        }
    }

    fn target(&mut self) -> Parse<TargetSyntax> {
        if self.take_word("own") {
            if self.take_word("zone") {
                Ok(TargetSyntax::OwnZone)
            } else if self.take_word("region") {
                Ok(TargetSyntax::OwnRegion)
            } else {
                Err(self.expected(&["zone", "region"]))
            }
        } else if self.take_word("anywhere") {
            Ok(TargetSyntax::Anywhere)
        } else if self.next_is_word("zone") || self.next_is_word("region") {
            self.named_locality().map(TargetSyntax::Named)
        } else {
            Err(self.expected(&["own", "zone", "region", "anywhere"]))
        }
    }

    fn spill_thresholds(&mut self) -> Parse<SpillThresholds> {
        let over = self.percent()?;
        self.need_word("for")?;
        let over_for = self.duration(MAX_SPILL_DWELL)?;
        self.need_sign(',')?;
        self.need_word("back")?;
        self.need_word("under")?;
        let back = self.percent()?;
        self.need_word("for")?;
        let back_for = self.duration(MAX_SPILL_DWELL)?;
        Ok(SpillThresholds { over, over_for, back, back_for })
    }

    fn percent(&mut self) -> Parse<Spanned<Percent>> {
        let span = self.next_span();
        let Some(TokenKind::Number(number, "%")) = self.next_kind() else {
            return Err(self.expected_description("a percentage such as `80%`"));
        };
        self.advance();
        match scaled(number, 10_000) {
            Some(millionths) if millionths <= u64::from(Percent::HUNDRED.0) => {
                Ok(Spanned { node: Percent(millionths as u32), span })
            }
            Some(_) => Err(self.error(span.start, "a percentage has to be from 0% to 100%")),
            None => Err(self.error(
                span.start,
                "a percentage has to be from 0% to 100%, with at most four decimal places",
            )),
        }
    }

    fn duration(&mut self, limit: Duration) -> Parse<Spanned<Duration>> {
        let span = self.next_span();
        let unit = |unit: &str| UNITS.iter().find(|(name, _)| *name == unit).map(|(_, micros)| *micros);
        let (number, micros) = match self.next_kind() {
            Some(TokenKind::Number(number, name)) if unit(name).is_some() => {
                (number, unit(name).unwrap_or(1))
            }
            _ => return Err(self.expected_description("a time such as `5s` (units: us, ms, s, m)")),
        };
        self.advance();
        match scaled(number, micros) {
            Some(micros) if (1..=limit.as_micros() as u64).contains(&micros) => {
                Ok(Spanned { node: Duration::from_micros(micros), span })
            }
            _ => {
                let message = format!(
                    "the time has to be from 1us to {}, in whole microseconds",
                    super::print::time(limit)
                );
                Err(self.error(span.start, &message))
            }
        }
    }

    fn error(&mut self, at: usize, message: &str) -> super::parser::ErrorReported {
        self.faults.add(at, || message.into());
        super::parser::ErrorReported
    }
}

/// Multiplies a decimal number by `unit`. Returns `None` if the product is not an integer or overflows.
fn scaled(number: &str, unit: u64) -> Option<u64> {
    let (integer, fraction) = number.split_once('.').unwrap_or((number, ""));
    let fraction = fraction.trim_end_matches('0');
    let integer = integer.parse::<u64>().ok()?.checked_mul(unit)?;
    if fraction.is_empty() {
        return Some(integer);
    }
    let divisor = 10u64.checked_pow(u32::try_from(fraction.len()).ok()?)?;
    let scaled = fraction.parse::<u64>().ok()?.checked_mul(unit)?;
    (scaled % divisor == 0).then(|| integer.checked_add(scaled / divisor)).flatten()
}

#[cfg(test)]
mod tests {
    use super::scaled;

    #[test]
    fn scales_exactly_or_returns_none() {
        assert_eq!(scaled("1.5", 1000), Some(1500));
        assert_eq!(scaled("0.10", 10), Some(1));
        assert_eq!(scaled("0.0001", 1000), None);
        assert_eq!(scaled("99999999999999999999", 1), None);
        assert_eq!(scaled("18446744073709551615", 2), None);
        assert_eq!(scaled(&format!("1.{}", "1".repeat(5000)), 1000), None);
    }
}
