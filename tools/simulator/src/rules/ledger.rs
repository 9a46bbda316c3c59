//! Two callers that ask for the same effect, again and again, and the ledger between them and the upstream.

use super::Game;
use maplehook::ledger::{Bounds, EntryId, FinalAnswer, Fingerprint, Identity, Ledger, OpenResult};
use std::time::Duration;

const REMEMBER: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_secs(1);
/// Times that each caller asks.
const ASKS: u32 = 2;

/// A planted flaw, between the ledger and its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// A failure is entered as a refusal, and so forgotten.
    FailureForgotten,
    /// A caller who joined sends all the same.
    JoinedSends,
    /// Time runs twice as fast for the ledger.
    ForgetsEarly,
}

impl Flaw {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::FailureForgotten, Self::JoinedSends, Self::ForgetsEarly];
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Served,
    Failed,
    Refused,
}

/// The game.
pub struct Host {
    ledger: Ledger<u32>,
    flaw: Option<Flaw>,
    now: Duration,
    asked: [u32; 2],
    waits: [bool; 2],
    /// The sender's entry, while it is out.
    out: Option<EntryId>,
    sent: u32,
    /// How what may have run last ended, and when; asked for again before it is forgotten, it has to be the same.
    ended: Option<(End, Duration)>,
}

#[derive(Clone, Copy)]
enum Move {
    Asks(usize),
    Leaves(usize),
    Ends(End),
    Time,
}

impl Host {
    /// Nobody has asked.
    pub fn new(flaw: Option<Flaw>) -> Self {
        let bounds = Bounds { retention: REMEMBER, ..Bounds::default() };
        let ledger = Ledger::new(bounds, 1).unwrap_or_else(|_| unreachable!("the default bounds are sound"));
        Self {
            ledger,
            flaw,
            now: Duration::ZERO,
            asked: [0; 2],
            waits: [false; 2],
            out: None,
            sent: 0,
            ended: None,
        }
    }

    fn all(&self) -> Vec<Move> {
        let mut all = Vec::new();
        for caller in 0..2 {
            if self.waits[caller] {
                all.push(Move::Leaves(caller));
            } else if self.asked[caller] < ASKS {
                all.push(Move::Asks(caller));
            }
        }
        if self.out.is_some() {
            all.extend([End::Served, End::Failed, End::Refused].map(Move::Ends));
        }
        if self.now < 4 * STEP {
            all.push(Move::Time);
        }
        all
    }

    fn its_time(&self) -> Duration {
        if self.flaw == Some(Flaw::ForgetsEarly) { 2 * self.now } else { self.now }
    }

    fn asks(&mut self, caller: usize) -> Result<(), String> {
        self.asked[caller] += 1;
        let identity = Identity { tenant: 0, id: (*b"booking").into() };
        match self.ledger.open(self.its_time(), &identity, Fingerprint::new(0), caller as u64) {
            OpenResult::First(entry) => {
                self.waits[caller] = true;
                self.sends(entry)
            }
            OpenResult::Joined(entry) => {
                self.waits[caller] = true;
                if self.out.is_none() {
                    return Err("joined what is not out".into());
                }
                if self.flaw == Some(Flaw::JoinedSends) { self.sends(entry) } else { Ok(()) }
            }
            OpenResult::Answered(ending) => {
                let got = match ending {
                    FinalAnswer::Served(_) | FinalAnswer::ServedNotCached => End::Served,
                    FinalAnswer::Failed => End::Failed,
                    FinalAnswer::Rejected => End::Refused,
                };
                match self.ended {
                    Some((end, _)) if end == got => Ok(()),
                    other => Err(format!("answered {got:?} after {other:?}")),
                }
            }
            OpenResult::TooManyWaiters | OpenResult::Full | OpenResult::Conflict(_) => {
                Err("refused with room to spare".into())
            }
        }
    }

    fn sends(&mut self, entry: EntryId) -> Result<(), String> {
        if self.out.is_some() {
            return Err("sent while it is out".into());
        }
        if self.ended.is_some_and(|(_, at)| self.now < at + REMEMBER) {
            return Err("sent again while it is to be remembered".into());
        }
        self.out = Some(entry);
        self.sent += 1;
        Ok(())
    }

    fn ends(&mut self, end: End) -> Result<(), String> {
        let Some(entry) = self.out.take() else { return Ok(()) };
        let ending = match end {
            End::Served => FinalAnswer::Served(self.sent),
            End::Failed if self.flaw == Some(Flaw::FailureForgotten) => FinalAnswer::Rejected,
            End::Failed => FinalAnswer::Failed,
            End::Refused => FinalAnswer::Rejected,
        };
        let told = self.ledger.complete(self.its_time(), entry, ending, 1);
        let waited: Vec<u64> = (0..2).filter(|c| self.waits[*c]).map(|c| c as u64).collect();
        let mut named = told.clone();
        named.sort_unstable();
        if named != waited {
            return Err(format!("{named:?} were told, {waited:?} waited"));
        }
        self.waits = [false; 2];
        self.ended = (end != End::Refused).then_some((end, self.now));
        Ok(())
    }
}

impl Game for Host {
    fn moves(&self) -> usize {
        self.all().len()
    }

    fn name(&self, number: usize) -> String {
        match self.all()[number] {
            Move::Asks(caller) => format!("caller {caller} asks"),
            Move::Leaves(caller) => format!("caller {caller} leaves"),
            Move::Ends(end) => format!("it is {end:?}"),
            Move::Time => "1 s".into(),
        }
    }

    fn play(&mut self, number: usize) -> Result<(), String> {
        match self.all()[number] {
            Move::Asks(caller) => self.asks(caller),
            Move::Leaves(caller) => {
                self.waits[caller] = false;
                if let Some(entry) = self.out {
                    self.ledger.remove_waiter(entry, caller as u64);
                }
                Ok(())
            }
            Move::Ends(end) => self.ends(end),
            Move::Time => {
                self.now += STEP;
                Ok(())
            }
        }
    }
}
