//! The state machine as it is, its documents known by number; and what may be broken on purpose.

use maplehook_canary::Side;
use maplehook_rollout::order::Member;
use maplehook_rollout::plan::{self, Plan};
use maplehook_rollout::{Command, Rollout, RolloutState, StageVerdict, side_without_leader};
use rustc_hash::FxHashMap;

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// A verdict counts whatever step it was given at.
    LateVerdict,
    /// A put overwrites what came between.
    PutsUnseen,
    /// A side without a majority puts.
    PutsAlone,
    /// A stage may be left before all of it is changed.
    Unplaced,
    /// A leader asks only when it puts, not when it judges, whether all of the stage is changed.
    JudgesTooSoon,
    /// Reports count for the side that their author was last known to be on, not for the one that it says.
    OtherSides,
    /// That a balancer is as before counts whatever it has heard of.
    Unheard,
    /// An undoing forgets who was asked.
    Forgets,
    /// A balancer says where it is to be, not where it is.
    SaysTooSoon,
    /// One that was cut off does not go back after an undoing.
    StaysChanged,
    /// What a balancer was told last is not on its disk when it dies.
    DiskBehind,
}

/// What of a document the world looks at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Essence {
    pub step: u8,
    pub state: u8,
    pub undone_at: u8,
    pub begun: u8,
    pub judged: u8,
    /// Where each was last known to be, and what it had heard.
    pub sides: [Option<(bool, u8)>; 3],
    /// Who is to be changed.
    pub wanted: [bool; 3],
}

impl Essence {
    /// Whether somebody who has heard of this step knows of the undoing. Of all that is told nothing else is ever asked: views and
    /// words of a balancer come in their order.
    pub fn knows(&self, step: u8) -> bool {
        self.undone_at > 0 && step >= self.undone_at
    }

    /// What is known of a balancer: that it is changed; once it is undone, that it may be.
    pub fn known(&self, n: usize) -> bool {
        self.sides[n].map_or(self.undone_at > 0, |word| self.says(word))
    }

    /// What a word comes to, likewise.
    pub fn says(&self, (new, heard): (bool, u8)) -> bool {
        new || self.undone_at > 0 && !self.knows(heard)
    }
}

/// Three balancers: one in the first stage, all in the second.
pub const NAMES: [&str; 3] = ["b0", "b1", "b2"];

/// All documents that there were.
pub struct Docs {
    pub flaw: Option<Flaw>,
    plan: Plan,
    docs: Vec<Rollout>,
    essences: Vec<Essence>,
    known: FxHashMap<(Essence, RolloutState), u32>,
    played: FxHashMap<(u32, Command), Option<u32>>,
}

impl Docs {
    pub fn new(flaw: Option<Flaw>, go_back: bool) -> Self {
        let when = if go_back { "go_back" } else { "stay" };
        let text = format!(
            "[change]\nprogram = 'p'\nwhen_cut_off = '{when}'\n[[stage]]\nnames = ['b0']\n[[stage]]\nshare = 1.0\n"
        );
        let plan = plan::parse(&text).unwrap();
        let members = NAMES.map(|name| Member { name: name.into(), zone: "z".into() });
        let first = Rollout::new(1, plan.clone(), &members).unwrap();
        let (docs, essences) = (Vec::new(), Vec::new());
        let mut all =
            Self { flaw, plan, docs, essences, known: FxHashMap::default(), played: FxHashMap::default() };
        all.number(first);
        all
    }

    pub fn is(&self, flaw: Flaw) -> bool {
        self.flaw == Some(flaw)
    }

    fn number(&mut self, mut doc: Rollout) -> u32 {
        // What happened is told to those who ask; nothing is decided by it.
        doc.events.clear();
        let state = match &doc.state {
            RolloutState::Planned => 0,
            RolloutState::Running(stage) => 1 + *stage as u8,
            RolloutState::Paused { stage, by_operator: operator, .. } => {
                3 + 2 * *stage as u8 + u8::from(*operator)
            }
            RolloutState::RollingBack { .. } => 7,
            RolloutState::RolledBack { .. } => 8,
            RolloutState::Completed => 9,
            RolloutState::RollbackFailed { members: who, .. } => {
                let bits =
                    NAMES.iter().enumerate().map(|(n, name)| u8::from(who.iter().any(|w| w == name)) << n);
                10 + bits.sum::<u8>()
            }
        };
        let side = |name: &str| doc.sides.get(name).map(|(side, heard)| (*side == Side::New, *heard as u8));
        let essence = Essence {
            step: doc.step as u8,
            state,
            undone_at: doc.rollback_step as u8,
            begun: doc.furthest_stage.map_or(9, |stage| stage as u8),
            judged: doc.passed_stages as u8,
            sides: NAMES.map(side),
            wanted: NAMES.map(|name| doc.target_side(name) == Side::New),
        };
        let fresh = self.docs.len() as u32;
        let number = *self.known.entry((essence, doc.state.clone())).or_insert(fresh);
        if number == fresh {
            self.docs.push(doc);
            self.essences.push(essence);
        }
        number
    }

    pub fn doc(&self, number: u32) -> &Rollout {
        &self.docs[number as usize]
    }

    pub fn essence(&self, number: u32) -> &Essence {
        &self.essences[number as usize]
    }

    /// What a word comes to that is on its way.
    pub fn says(&self, number: u32, word: (bool, u8)) -> bool {
        if self.is(Flaw::Unheard) { word.0 } else { self.essence(number).says(word) }
    }

    pub fn words(&self, number: u32) -> String {
        let doc = self.doc(number);
        format!("{:?} at step {}, {:?}", doc.state, doc.step, doc.sides)
    }

    pub fn side_without_leader(&self, side: Side, done: bool) -> Side {
        side_without_leader(&self.plan, side, done, self.plan.lost_contact_after)
    }

    /// The document after a command, unless it is refused.
    pub fn play(&mut self, number: u32, command: &Command) -> Option<u32> {
        if let Some(next) = self.played.get(&(number, command.clone())) {
            return *next;
        }
        let mut doc = self.doc(number).clone();
        let sides = doc.sides.clone();
        if self.is(Flaw::Forgets) && matches!(command, Command::RollBack { .. }) {
            doc.furthest_stage = None;
        }
        let well = matches!(command, Command::ApplyVerdict { verdict: StageVerdict::Pass, .. });
        if self.is(Flaw::Unplaced) && well {
            let step = doc.step;
            doc.sides.extend(NAMES.map(|name| (name.to_owned(), (Side::New, step))));
        }
        let mut command_played = command.clone();
        match &mut command_played {
            Command::ApplyVerdict { step, .. } if self.is(Flaw::LateVerdict) => *step = doc.step,
            Command::ReportSide { known_step: heard, .. } if self.is(Flaw::Unheard) => *heard = doc.step,
            _ => {}
        }
        let next = doc.apply(&command_played).is_ok().then(|| {
            if self.is(Flaw::Unplaced) && well {
                doc.sides = sides;
            }
            self.number(doc)
        });
        self.played.insert((number, command.clone()), next);
        next
    }
}
