//! Where a change stands: a state machine whose commands are entries of the voters' log, so that it outlives any process, and a side
//! without a majority can't take it a step further.
//!
//! Each command but the members' own words names the step that its author has seen; one that comes late changes nothing. A stage is
//! left only by a verdict on that very stage, given once all of it had been changed.

pub use crate::command::{Command, Judged, Refused};
use crate::order::{Member, Order};
use crate::plan::{Plan, WhenCutOff};
use maplehook_canary::Side;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Events that are kept.
pub const EVENTS_MOST: usize = 256;

/// Where it stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// It has not begun.
    Planned,
    /// This stage is changed, and watched.
    Running(usize),
    /// It waits, at this stage: for an operator, or for trouble on both sides to end.
    Held {
        /// The stage.
        stage: usize,
        /// Why.
        why: String,
        /// Whether only an operator lets it go on.
        operator: bool,
    },
    /// All go back.
    Undoing {
        /// Why.
        why: String,
    },
    /// All are as before.
    Undone {
        /// Why.
        why: String,
    },
    /// All are changed, but for those that were out of reach.
    Done,
    /// Some are not known to be as before.
    FailedToUndo {
        /// Why it was undone.
        why: String,
        /// Who.
        who: Vec<String>,
    },
}

impl State {
    /// Its word.
    pub fn word(&self) -> &'static str {
        match self {
            Self::Planned => "planned",
            Self::Running(_) => "running",
            Self::Held { .. } => "held",
            Self::Undoing { .. } => "undoing",
            Self::Undone { .. } => "undone",
            Self::Done => "done",
            Self::FailedToUndo { .. } => "failed to undo",
        }
    }

    /// Whether another change may begin.
    pub fn is_over(&self) -> bool {
        matches!(self, Self::Undone { .. } | Self::Done)
    }
}

/// What happened, for whoever asks later.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Event {
    /// The step that it led to.
    pub step: u64,
    /// What.
    pub said: String,
}

/// A change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// Its number, which is given once.
    pub number: u64,
    /// Its plan.
    pub plan: Plan,
    /// Who is in which stage.
    pub order: Order,
    /// Counts changes of the state.
    pub step: u64,
    /// The state.
    pub state: State,
    /// On which side each was last known to be, and of which step it had heard then; none if it was never heard of.
    pub sides: BTreeMap<String, (Side, u64)>,
    /// The step at which it was undone; 0 if it was not.
    pub undone_at: u64,
    /// The furthest stage that has begun.
    pub begun: Option<usize>,
    /// How many stages were judged well.
    pub judged: usize,
    /// Since it was done a feature has been used that the program before does not know: which.
    pub used: Option<String>,
    /// What happened, the latest last.
    pub events: VecDeque<Event>,
}

impl Rollout {
    /// One that has not begun.
    pub fn new(number: u64, plan: Plan, members: &[Member]) -> Result<Self, String> {
        let order = Order::of(&plan, members, number)?;
        Ok(Self {
            number,
            plan,
            order,
            step: 0,
            state: State::Planned,
            sides: BTreeMap::new(),
            undone_at: 0,
            begun: None,
            judged: 0,
            used: None,
            events: VecDeque::new(),
        })
    }

    /// The stage that is changed now, if one is.
    pub fn stage(&self) -> Option<usize> {
        match &self.state {
            State::Running(stage) | State::Held { stage, .. } => Some(*stage),
            _ => None,
        }
    }

    /// On which side a member is to be.
    pub fn wanted(&self, name: &str) -> Side {
        let new = match &self.state {
            State::Running(stage) | State::Held { stage, .. } => self.order.is_in(*stage, name),
            State::Done => true,
            _ => false,
        };
        if new { Side::New } else { Side::Old }
    }

    /// Those of the present stage that are not known to be changed.
    pub fn unplaced(&self) -> Vec<String> {
        let Some(stage) = self.stage() else { return Vec::new() };
        let members = self.order.stage(stage).iter();
        let new = |name: &str| self.sides.get(name).is_some_and(|(side, _)| *side == Side::New);
        let missing = members.filter(|member| !new(&member.name));
        missing.map(|member| member.name.clone()).collect()
    }

    /// Whether the present stage may be judged: all of it is changed, but for the share that may be out of reach. Of a stage of
    /// few nobody may be missing.
    pub fn is_placed(&self) -> bool {
        let Some(stage) = self.stage() else { return false };
        let most = (self.order.stage(stage).len() as f64 * self.plan.missing_share) as usize;
        self.unplaced().len() <= most
    }

    /// Those that are not known to be as before: whoever was ever to be changed and has not said that it is not, and whoever says
    /// that it is.
    pub fn doubtful(&self) -> Vec<String> {
        let asked = self.begun.map_or(&[][..], |stage| self.order.stage(stage));
        let doubtful = self.order.members().iter().filter(|member| match self.sides.get(&member.name) {
            // An old one that has not heard of the undoing may be about to change.
            Some((Side::Old, heard)) => asked.contains(member) && *heard < self.undone_at,
            Some((Side::New, _)) => true,
            None => asked.contains(member),
        });
        doubtful.map(|member| member.name.clone()).collect()
    }

    /// Plays a command; the same at every voter.
    pub fn play(&mut self, command: &Command) -> Result<(), Refused> {
        let known = match command {
            Command::Stands { name, side, heard } => return self.stands(name, *side, *heard),
            Command::Go { step }
            | Command::Hold { step }
            | Command::Undo { step, .. }
            | Command::Judge { step, .. }
            | Command::GiveUp { step } => *step,
        };
        if known != self.step {
            return Err(Refused::Late { step: self.step });
        }
        let wrong = || Refused::State(self.state.word().into());
        match command {
            Command::Go { .. } => match self.state {
                State::Planned => self.go(State::Running(0), "it begins".into()),
                State::Held { stage, .. } => {
                    self.go(State::Running(stage), "it goes on by an operator's word".into())
                }
                _ => return Err(wrong()),
            },
            Command::Hold { .. } => match self.state {
                State::Running(stage) | State::Held { stage, .. } => {
                    let why = "by an operator's word".to_owned();
                    self.go(State::Held { stage, why, operator: true }, "held by an operator's word".into());
                }
                _ => return Err(wrong()),
            },
            Command::Undo { why, .. } => match &self.state {
                State::Running(_) | State::Held { .. } => self.undo(why.clone()),
                State::Done => match &self.used {
                    Some(feature) => return Err(Refused::Floor(format!("{feature} has been used since"))),
                    None => self.undo(why.clone()),
                },
                State::Planned => self.undo(why.clone()),
                // Said again, it is the same.
                State::Undoing { .. } | State::Undone { .. } | State::FailedToUndo { .. } => return Ok(()),
            },
            Command::Judge { stage, judged, .. } => self.judge(*stage, judged)?,
            Command::GiveUp { .. } => match self.state.clone() {
                State::Undoing { why } => {
                    let who = self.doubtful();
                    let said = format!("not known to be as before: {}", who.join(", "));
                    self.go(State::FailedToUndo { why, who }, said);
                }
                _ => return Err(wrong()),
            },
            Command::Stands { .. } => {}
        }
        Ok(())
    }

    fn judge(&mut self, stage: usize, judged: &Judged) -> Result<(), Refused> {
        let (at, held) = match &self.state {
            State::Running(at) => (*at, None),
            State::Held { stage, operator, .. } => (*stage, Some(*operator)),
            other => return Err(Refused::State(other.word().into())),
        };
        if at != stage {
            return Err(Refused::Late { step: self.step });
        }
        match judged {
            // Harm is harm, however little of the stage is changed and whoever holds it.
            Judged::Worse(why) => self.undo(why.clone()),
            Judged::Well if held.is_some() => return Err(Refused::State("held".into())),
            Judged::Well if !self.is_placed() => return Err(Refused::Unplaced { who: self.unplaced() }),
            Judged::Well => {
                self.judged = stage + 1;
                let next =
                    if stage + 1 == self.order.stages() { State::Done } else { State::Running(stage + 1) };
                self.go(next, format!("stage {} is not worse", stage + 1));
            }
            Judged::Shared(why) if held.is_none() => {
                let said = format!("held: {why}");
                self.go(State::Held { stage, why: why.clone(), operator: false }, said);
            }
            Judged::Clear if held == Some(false) => {
                self.go(State::Running(stage), "it goes on: the trouble is over".into());
            }
            Judged::Short(why) if held.is_none() => match self.plan.when_short {
                crate::plan::WhenShort::Hold => {
                    let said = format!("held: {why}");
                    self.go(State::Held { stage, why: why.clone(), operator: true }, said);
                }
                crate::plan::WhenShort::Undo => self.undo(why.clone()),
            },
            Judged::Shared(_) | Judged::Clear | Judged::Short(_) => {}
        }
        Ok(())
    }

    fn undo(&mut self, why: String) {
        let said = format!("undone: {why}");
        self.undone_at = self.step + 1;
        self.go(State::Undoing { why }, said);
        self.settle();
    }

    /// Whether all are as before, where they are to be.
    fn settle(&mut self) {
        let who = self.doubtful();
        match self.state.clone() {
            State::Undoing { why } | State::FailedToUndo { why, .. } if who.is_empty() => {
                self.go(State::Undone { why }, "all are as before".into());
            }
            // Somebody was out of reach, or has been started by hand.
            State::Undone { why } if !who.is_empty() => {
                let said = format!("changed all the same: {}", who.join(", "));
                self.go(State::FailedToUndo { why, who }, said);
            }
            // Who stands where is said exactly; that is no new step.
            State::FailedToUndo { why, who: before } if before != who => {
                self.state = State::FailedToUndo { why, who };
            }
            _ => {}
        }
    }

    fn stands(&mut self, name: &str, side: Side, heard: u64) -> Result<(), Refused> {
        if !self.order.members().iter().any(|member| member.name == name) {
            return Err(Refused::Unknown(name.into()));
        }
        // Words overtake one another.
        if self.sides.get(name).is_none_or(|(_, before)| *before <= heard) {
            self.sides.insert(name.to_owned(), (side, heard.min(self.step)));
            self.settle();
        }
        Ok(())
    }

    fn go(&mut self, state: State, said: String) {
        if let State::Running(stage) = state {
            self.begun = self.begun.max(Some(stage));
        }
        self.step += 1;
        self.state = state;
        self.events.push_back(Event { step: self.step, said });
        if self.events.len() > EVENTS_MOST {
            self.events.pop_front();
        }
    }
}

/// On which side a member is to be that has heard for so long of nobody who leads: it is changed, and nobody judges it any more.
pub fn cut_off(plan: &Plan, is: Side, done: bool, silent: Duration) -> Side {
    match plan.when_cut_off {
        WhenCutOff::GoBack if is == Side::New && !done && silent >= plan.cut_off => Side::Old,
        _ => is,
    }
}
