//! Clauses and the figures in them.

use super::ast::{
    Clause, NamedLocality, Percent, Spanned, SpillThresholds, StepSyntax, Subject, TargetSyntax,
};
use super::lexer::{Kind, unquoted};
use super::parser::{Parse, Parser};
use std::time::Duration;

/// The longest time of `for`.
pub const MAX_SPILL_DWELL: Duration = Duration::from_secs(3600);
/// The longest time of `within`.
pub const MAX_WITHIN: Duration = Duration::from_secs(60);

/// Units of time and how many microseconds they have, the longest first.
pub(super) const UNITS: [(&str, u64); 4] = [("m", 60_000_000), ("s", 1_000_000), ("ms", 1_000), ("us", 1)];

impl Parser<'_, '_> {
    /// A clause without its `;`. It takes one piece at least.
    pub(super) fn clause(&mut self) -> Parse<Clause> {
        if self.take_word("for") {
            self.list(Self::subject).map(Clause::For)
        } else if self.take_word("prefer") {
            self.steps().map(Clause::Prefer)
        } else if self.take_word("spill") {
            if self.take_word("over") {
                self.over().map(Clause::SpillOver)
            } else if self.take_word("below") {
                let least = self.percent()?;
                self.need_word("usable")?;
                Ok(Clause::SpillBelow(least))
            } else {
                Err(self.expected(&["over", "below"]))
            }
        } else if self.take_word("beyond") {
            self.need_word("region")?;
            self.need_word("at")?;
            self.need_word("most")?;
            self.percent().map(Clause::Beyond)
        } else if self.take_word("never") {
            self.list(Self::named).map(Clause::Never)
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
            let skip = self.expected(&["for", "prefer", "spill", "beyond", "never", "when", "}"]);
            self.step();
            Err(skip)
        }
    }

    fn list<T>(&mut self, item: impl Fn(&mut Self) -> Parse<T>) -> Parse<Vec<Spanned<T>>> {
        let mut items = Vec::new();
        loop {
            let start = self.span().start;
            let node = item(self)?;
            items.push(Spanned { node, span: self.since(start) });
            if !self.take_sign(',') {
                return Ok(items);
            }
        }
    }

    fn name(&mut self, whose: &str) -> Parse<String> {
        let Some(Kind::Name(inner)) = self.next_kind() else {
            return Err(self.expected_some(&format!("the {whose}'s name in quotes")));
        };
        self.step();
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

    fn named(&mut self) -> Parse<NamedLocality> {
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
            let start = self.span().start;
            let target = self.target()?;
            let within = if self.take_word("within") { Some(self.duration(MAX_WITHIN)?) } else { None };
            if let (TargetSyntax::OwnZone, Some(within)) = (&target, &within) {
                self.faults.add(within.span.start, || "the own zone is always within".into());
            }
            let nothing_said = within.is_none();
            steps.push(Spanned { node: StepSyntax { target, within }, span: self.since(start) });
            if self.take_sign('>') {
                continue;
            }
            let ends = matches!(self.next_kind(), Some(Kind::Sign(';')));
            return match (ends, nothing_said) {
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
        } else if self.at_word("zone") || self.at_word("region") {
            self.named().map(TargetSyntax::Named)
        } else {
            Err(self.expected(&["own", "zone", "region", "anywhere"]))
        }
    }

    fn over(&mut self) -> Parse<SpillThresholds> {
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
        let span = self.span();
        let Some(Kind::Figure(number, "%")) = self.next_kind() else {
            return Err(self.expected_some("a percentage such as `80%`"));
        };
        self.step();
        match scaled(number, 10_000) {
            Some(millionths) if millionths <= u64::from(Percent::HUNDRED.0) => {
                Ok(Spanned { node: Percent(millionths as u32), span })
            }
            Some(_) => Err(self.wrong(span.start, "a percentage lies from 0% to 100%")),
            None => {
                Err(self.wrong(span.start, "a percentage lies from 0% to 100%, with four places at most"))
            }
        }
    }

    fn duration(&mut self, most: Duration) -> Parse<Spanned<Duration>> {
        let span = self.span();
        let unit = |unit: &str| UNITS.iter().find(|(name, _)| *name == unit).map(|(_, micros)| *micros);
        let (number, micros) = match self.next_kind() {
            Some(Kind::Figure(number, name)) if unit(name).is_some() => (number, unit(name).unwrap_or(1)),
            _ => return Err(self.expected_some("a time such as `5s` (units: us, ms, s, m)")),
        };
        self.step();
        match scaled(number, micros) {
            Some(micros) if (1..=most.as_micros() as u64).contains(&micros) => {
                Ok(Spanned { node: Duration::from_micros(micros), span })
            }
            _ => {
                let what =
                    format!("this time lies from 1us to {}, in whole microseconds", super::print::time(most));
                Err(self.wrong(span.start, &what))
            }
        }
    }

    fn wrong(&mut self, at: usize, what: &str) -> super::parser::Skip {
        self.faults.add(at, || what.into());
        super::parser::Skip
    }
}

/// Digits with perhaps a point, times `unit`; `None` if that is no whole number or too large.
fn scaled(number: &str, unit: u64) -> Option<u64> {
    let (whole, part) = number.split_once('.').unwrap_or((number, ""));
    let part = part.trim_end_matches('0');
    let whole = whole.parse::<u64>().ok()?.checked_mul(unit)?;
    if part.is_empty() {
        return Some(whole);
    }
    let tens = 10u64.checked_pow(u32::try_from(part.len()).ok()?)?;
    let scaled = part.parse::<u64>().ok()?.checked_mul(unit)?;
    (scaled % tens == 0).then(|| whole.checked_add(scaled / tens)).flatten()
}

#[cfg(test)]
mod tests {
    use super::scaled;

    #[test]
    fn figures_are_exact_or_none() {
        assert_eq!(scaled("1.5", 1000), Some(1500));
        assert_eq!(scaled("0.10", 10), Some(1));
        assert_eq!(scaled("0.0001", 1000), None);
        assert_eq!(scaled("99999999999999999999", 1), None);
        assert_eq!(scaled("18446744073709551615", 2), None);
        assert_eq!(scaled(&format!("1.{}", "1".repeat(5000)), 1000), None);
    }
}
