//! Who has been seen, as operators are told, beside what the gossip needs.

use crate::identity::{Identity, Mismatch, Program, Wire};
use crate::name::Name;
use std::collections::BTreeMap;
use std::time::Duration;

/// For how long somebody who takes no part in the gossip counts as alive without a sign of life.
const SILENT: Duration = Duration::from_secs(10);
/// How often that is looked at.
const PASS: Duration = Duration::from_secs(1);
/// The most who take no part.
const BYSTANDERS_MOST: usize = 64;

/// What is believed of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It answers.
    Alive,
    /// It has not answered, and may still deny to be dead.
    Suspect,
    /// It has not denied it in time.
    Dead,
    /// It said itself that it goes.
    Left,
}

impl State {
    /// Its word.
    pub fn word(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Dead => "dead",
            Self::Left => "left",
        }
    }
}

/// Why somebody who is seen takes no part in the gossip here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Apart {
    /// Its program is too old or too new.
    Speaks(Mismatch),
    /// It stands in no `[[tier.peer]]` here, so that nothing can be sent to it.
    Unlisted,
}

impl Apart {
    /// Its words.
    pub fn words(self) -> &'static str {
        match self {
            Self::Speaks(Mismatch::TooOld) => "its program is too old",
            Self::Speaks(Mismatch::TooNew) => "its program is too new",
            Self::Unlisted => "no [[tier.peer]] names it",
        }
    }
}

/// A member as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// Its name.
    pub name: Name,
    /// Its start.
    pub start: u64,
    /// What is believed of it.
    pub state: State,
    /// Its program.
    pub program: Program,
    /// What its program speaks.
    pub wire: Wire,
    /// For how long that has been believed.
    pub since: Duration,
    /// Why it takes no part in the gossip here.
    pub apart: Option<Apart>,
}

#[derive(Clone, Debug)]
struct Row {
    identity: Identity,
    state: State,
    /// When that began.
    since: Duration,
    /// Why it takes no part, and when it gave its last sign of life.
    apart: Option<(Apart, Duration)>,
}

/// All that have been seen.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    rows: BTreeMap<Name, Row>,
    /// When that was looked at last.
    passed: Duration,
}

impl Roster {
    /// A member of the gossip is in this state now.
    pub fn is(&mut self, now: Duration, identity: &Identity, state: State) {
        let row = Row { identity: identity.clone(), state, since: now, apart: None };
        self.rows.insert(identity.name.clone(), row);
    }

    /// A member of the gossip has started anew, without a change of its state.
    pub fn renamed(&mut self, now: Duration, to: &Identity) {
        if let Some(row) = self.rows.get_mut(&to.name) {
            (row.identity, row.since) = (to.clone(), now);
        }
    }

    /// Somebody who takes no part gave a sign of life. `true`: that is news.
    pub fn beside(&mut self, now: Duration, identity: &Identity, apart: Apart) -> bool {
        let row = match self.rows.get_mut(&identity.name) {
            Some(row) if row.apart.is_none() && row.state != State::Dead && row.state != State::Left => {
                // Its new program is not understood; the gossip will find out about the old one.
                if row.identity.start >= identity.start {
                    return false;
                }
                row
            }
            Some(row) if row.identity.start > identity.start => return false,
            Some(row) => row,
            None => {
                let most = self.rows.values().filter(|row| row.apart.is_some()).count();
                if most >= BYSTANDERS_MOST {
                    return false;
                }
                let row = Row {
                    identity: identity.clone(),
                    state: State::Alive,
                    since: now,
                    apart: Some((apart, now)),
                };
                self.rows.insert(identity.name.clone(), row);
                return true;
            }
        };
        let news = row.apart.map(|(why, _)| why) != Some(apart)
            || row.state != State::Alive
            || row.identity != *identity;
        if news {
            (row.identity, row.state, row.since) = (identity.clone(), State::Alive, now);
        }
        row.apart = Some((apart, now));
        news
    }

    /// Those who speak with somebody that takes no part here say that it is gone.
    pub fn gone(&mut self, now: Duration, identity: &Identity, left: bool) {
        if let Some(row) = self.rows.get_mut(&identity.name)
            && row.apart.is_some()
            && row.state == State::Alive
            && row.identity.start <= identity.start
        {
            (row.state, row.since) = (if left { State::Left } else { State::Dead }, now);
        }
    }

    /// Time passes: those who take no part and are silent count as dead.
    pub fn pass(&mut self, now: Duration) {
        if now < self.passed + PASS {
            return;
        }
        self.passed = now;
        for row in self.rows.values_mut() {
            if let Some((_, heard)) = row.apart
                && row.state == State::Alive
                && now.saturating_sub(heard) > SILENT
            {
                (row.state, row.since) = (State::Dead, now);
            }
        }
    }

    /// The latest start that is known of a name.
    pub fn start(&self, name: &Name) -> Option<u64> {
        self.rows.get(name).map(|row| row.identity.start)
    }

    /// Whether it takes part and is not known to be dead.
    pub fn is_here(&self, name: &Name) -> bool {
        self.rows.get(name).is_some_and(|row| row.state == State::Alive && row.apart.is_none())
    }

    /// Everybody; `suspected` since when, where they are.
    pub fn seen(&self, now: Duration, suspected: impl Fn(&Identity) -> Option<Duration>) -> Vec<Seen> {
        let seen = |row: &Row| {
            let suspected = suspected(&row.identity).filter(|_| row.state == State::Alive);
            Seen {
                name: row.identity.name.clone(),
                start: row.identity.start,
                state: if suspected.is_some() { State::Suspect } else { row.state },
                program: row.identity.program,
                wire: row.identity.wire,
                since: now.saturating_sub(suspected.unwrap_or(row.since)),
                apart: row.apart.map(|(why, _)| why),
            }
        };
        self.rows.values().map(seen).collect()
    }
}
