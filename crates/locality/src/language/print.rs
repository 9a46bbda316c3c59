//! Prints a syntax tree in the standard layout: clauses in a fixed order, indented by two spaces, and an
//! empty line between rules.

use super::ast::{Clause, NamedLocality, Percent, RuleSyntax, StepSyntax, Subject, TargetSyntax, Text};
use super::clauses::UNITS;
use super::lexer::quoted;
use std::fmt::{self, Write};
use std::time::Duration;

impl fmt::Display for Text {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, rule) in self.rules.iter().enumerate() {
            if n > 0 {
                f.write_char('\n')?;
            }
            rule.fmt(f)?;
        }
        if !self.rules.is_empty() && !self.comments_at_end.is_empty() {
            f.write_char('\n')?;
        }
        write_comments(f, "", &self.comments_at_end)
    }
}

fn write_comments(f: &mut fmt::Formatter<'_>, indent: &str, comments: &[String]) -> fmt::Result {
    comments.iter().try_for_each(|comment| writeln!(f, "{indent}#{comment}"))
}

fn end_line(f: &mut fmt::Formatter<'_>, comment: Option<&String>) -> fmt::Result {
    match comment {
        Some(comment) => writeln!(f, " #{comment}"),
        None => f.write_char('\n'),
    }
}

impl fmt::Display for RuleSyntax {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_comments(f, "", &self.comments_before)?;
        write!(f, "rule {} {{", self.name.node)?;
        end_line(f, self.opening_comment.as_ref())?;
        let mut clauses: Vec<_> = self.clauses.iter().collect();
        clauses.sort_by_key(|clause| clause.clause.node.kind());
        for clause in clauses {
            write_comments(f, "  ", &clause.comments_before)?;
            write!(f, "  {};", clause.clause.node)?;
            end_line(f, clause.comment_after.as_ref())?;
        }
        write_comments(f, "  ", &self.comments_at_end)?;
        f.write_char('}')?;
        end_line(f, self.comment_after.as_ref())
    }
}

fn joined<T: fmt::Display>(items: impl IntoIterator<Item = T>, separator: &str) -> String {
    items.into_iter().map(|item| item.to_string()).collect::<Vec<_>>().join(separator)
}

impl fmt::Display for Clause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::For(subjects) => write!(f, "for {}", joined(subjects.iter().map(|at| &at.node), ", ")),
            Self::Prefer(steps) => write!(f, "prefer {}", joined(steps.iter().map(|at| &at.node), " > ")),
            Self::SpillOver(thresholds) => {
                write!(f, "spill over {} for {}", thresholds.over.node, time(thresholds.over_for.node))?;
                write!(f, ", back under {} for {}", thresholds.back.node, time(thresholds.back_for.node))
            }
            Self::SpillBelow(min_usable) => write!(f, "spill below {} usable", min_usable.node),
            Self::BeyondRegion(max_share) => write!(f, "beyond region at most {}", max_share.node),
            Self::Never(localities) => {
                write!(f, "never {}", joined(localities.iter().map(|at| &at.node), ", "))
            }
            Self::WhenLost(anywhere) => {
                write!(f, "when lost {}", if *anywhere { "anywhere" } else { "refuse" })
            }
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Class(name) => write!(f, "class {}", quoted(name)),
            Self::Tenant(name) => write!(f, "tenant {}", quoted(name)),
        }
    }
}

impl fmt::Display for NamedLocality {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Zone(name) => write!(f, "zone {}", quoted(name)),
            Self::Region(name) => write!(f, "region {}", quoted(name)),
        }
    }
}

impl fmt::Display for StepSyntax {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.target {
            TargetSyntax::OwnZone => f.write_str("own zone"),
            TargetSyntax::OwnRegion => f.write_str("own region"),
            TargetSyntax::Named(named) => named.fmt(f),
            TargetSyntax::Anywhere => f.write_str("anywhere"),
        }?;
        self.within.as_ref().map_or(Ok(()), |within| write!(f, " within {}", time(within.node)))
    }
}

impl fmt::Display for Percent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (integer, fraction) = (self.0 / 10_000, self.0 % 10_000);
        if fraction == 0 {
            return write!(f, "{integer}%");
        }
        write!(f, "{integer}.{}%", format!("{fraction:04}").trim_end_matches('0'))
    }
}

/// Formats a time in the longest unit that represents it as a whole number.
pub(crate) fn time(time: Duration) -> String {
    let micros = time.as_micros() as u64;
    let unit = UNITS.iter().find(|(_, unit_micros)| micros.is_multiple_of(*unit_micros)).unwrap_or(&UNITS[3]);
    format!("{}{}", micros / unit.1, unit.0)
}
