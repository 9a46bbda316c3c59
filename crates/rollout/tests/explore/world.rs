//! Three balancers, one of which leads; a document; words and puts that are on their way.

use crate::acts::{Act, Faults, Truth};
use crate::machine::{Docs, Flaw, NAMES};
use maplehook_canary::Side;
use maplehook_rollout::{Command, RolloutState, StageVerdict};

/// What a balancer was told last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct View {
    step: u8,
    new: bool,
    done: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Balancer {
    up: bool,
    new: bool,
    view: View,
    /// What it was told before that, where its disk is behind.
    before: View,
    /// It has lost touch once.
    lost: bool,
    word: Option<(bool, u8)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Put {
    step: u8,
    stage: u8,
    /// Of [`Put::judged`].
    judged: u8,
    /// What the document becomes by it, as it was when it was read.
    doc: u32,
}

impl Put {
    fn judged(self) -> StageVerdict {
        match self.judged {
            0 => StageVerdict::Pass,
            1 => StageVerdict::Regression("harm".into()),
            2 => StageVerdict::SharedFault("both".into()),
            _ => StageVerdict::Recovered,
        }
    }

    fn command(self) -> Command {
        Command::ApplyVerdict { step: self.step.into(), stage: self.stage.into(), verdict: self.judged() }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct World {
    truth: Truth,
    doc: u32,
    balancers: [Balancer; 3],
    cut: Option<usize>,
    leader: Option<usize>,
    puts: [Option<Put>; 2],
    left: Faults,
}

fn check(holds: bool, what: &str) -> Result<(), String> {
    if holds { Ok(()) } else { Err(what.into()) }
}

impl World {
    pub fn new(truth: Truth, left: Faults) -> Self {
        let view = View::default();
        let balancer = Balancer { up: true, new: false, view, before: view, lost: false, word: None };
        Self { truth, doc: 0, balancers: [balancer; 3], cut: None, leader: None, puts: [None; 2], left }
    }

    pub fn doc(&self) -> u32 {
        self.doc
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        let up = self.balancers[a].up && self.balancers[b].up;
        up && (a == b || self.cut != Some(a) && self.cut != Some(b))
    }

    fn voters(&self, at: usize) -> usize {
        (0..3).filter(|n| self.reaches(at, *n)).count()
    }

    fn is_with_most(&self, at: usize) -> bool {
        2 * self.voters(at) > 3
    }

    fn leads(&self) -> Option<usize> {
        self.leader.filter(|n| self.is_with_most(*n))
    }

    fn harms(&self, n: usize) -> bool {
        self.balancers[n].new && (self.truth == Truth::BadFirst || self.truth == Truth::BadLater && n > 0)
    }

    fn told(&self, n: usize, docs: &Docs) -> View {
        let doc = docs.essence(self.doc);
        View { step: doc.step, new: doc.wanted[n], done: doc.state == 9 }
    }

    /// Everything has come to rest, and all are where they are to be.
    pub fn is_end(&self, docs: &Docs) -> bool {
        let at_rest = |n: usize| self.balancers[n].up && self.balancers[n].new == self.told(n, docs).new;
        docs.doc(self.doc).state.is_over() && self.cut.is_none() && (0..3).all(at_rest)
    }

    /// What may happen next, and may be nothing.
    pub fn acts(&self, docs: &Docs) -> Vec<Act> {
        let mut acts = vec![Act::Go, Act::Judge, Act::Put(0), Act::Put(1), Act::GiveUp, Act::Join];
        for n in 0..3 {
            acts.extend([Act::Hear(n), Act::Change(n), Act::Say(n), Act::Word(n), Act::LosesTouch(n)]);
            acts.extend([Act::Elect(n), Act::Restart(n)]);
            acts.extend((self.left.crashes > 0).then_some(Act::Crash(n)));
            acts.extend((self.left.cuts > 0).then_some(Act::Cut(n)));
            acts.extend((self.left.leaders > 0).then_some(Act::Depose(n)));
        }
        acts.extend((self.left.undos > 0).then_some(Act::Undo));
        acts.extend((self.left.holds > 0).then_some(Act::Hold));
        let running = matches!(docs.doc(self.doc).state, RolloutState::Running(_));
        acts.extend((self.left.shared > 0 && running).then_some(Act::Shared));
        acts
    }

    /// The world after an act, if it may happen and is not nothing; an error tells which claim it breaks.
    pub fn step(mut self, act: Act, docs: &mut Docs) -> Result<Option<Self>, String> {
        let before = self;
        if self.act(act, docs)?.is_none() {
            return Ok(None);
        }
        self.fold(docs);
        self.claims(&before, docs)?;
        Ok(Some(self))
    }

    fn act(&mut self, act: Act, docs: &mut Docs) -> Result<Option<()>, String> {
        let doc = *docs.essence(self.doc);
        let step = u64::from(doc.step);
        let possible = |holds: bool| holds.then_some(());
        Ok(match act {
            Act::Go => self.asked(Command::Proceed { step }, docs),
            Act::GiveUp => self.asked(Command::GiveUpRollback { step }, docs),
            Act::Undo => {
                self.left.undos -= 1;
                self.asked(Command::RollBack { step, why: "asked".into() }, docs)
            }
            Act::Hold => {
                self.left.holds -= 1;
                self.asked(Command::Pause { step }, docs)
            }
            Act::Hear(n) => {
                let told = self.told(n, docs);
                let heard = self.leads().is_some_and(|leader| self.reaches(leader, n));
                let balancer = &mut self.balancers[n];
                let known = View { step: told.step, ..balancer.view } == told
                    && doc.knows(balancer.view.step) == doc.knows(told.step);
                possible(heard && !known).map(|()| {
                    if docs.is(Flaw::DiskBehind) {
                        balancer.before = balancer.view;
                    }
                    balancer.view = told;
                })
            }
            Act::Change(n) => {
                let balancer = &mut self.balancers[n];
                let stays = docs.is(Flaw::StaysChanged) && balancer.new && balancer.lost;
                possible(balancer.up && balancer.new != balancer.view.new && !stays)
                    .map(|()| balancer.new = balancer.view.new)
            }
            Act::Say(n) => {
                let balancer = &mut self.balancers[n];
                let new = if docs.is(Flaw::SaysTooSoon) { balancer.view.new } else { balancer.new };
                let word = (new, balancer.view.step);
                let known = balancer.word.map_or(doc.known(n), |word| docs.says(self.doc, word));
                possible(balancer.up && docs.says(self.doc, word) != known)
                    .map(|()| balancer.word = Some(word))
            }
            Act::Word(n) => self.word(n, docs),
            Act::LosesTouch(n) => {
                let lost = self.cut == Some(n) && self.balancers[n].up;
                let balancer = &mut self.balancers[n];
                let side = if balancer.new { Side::New } else { Side::Old };
                let goes = lost && docs.side_without_leader(side, balancer.view.done) != side;
                if lost && docs.is(Flaw::StaysChanged) {
                    balancer.lost = true;
                }
                possible(goes).map(|()| {
                    // Until it hears of somebody who leads.
                    balancer.view.new = false;
                    balancer.new = false;
                })
            }
            Act::Judge => self.judge(false, docs),
            Act::Shared => {
                self.left.shared -= 1;
                self.judge(true, docs)
            }
            Act::Put(n) => return self.put(n, docs),
            Act::Elect(n) => possible(self.leads().is_none() && self.is_with_most(n)).map(|()| self.elect(n)),
            Act::Depose(n) => {
                let other = self.leads().is_some_and(|leader| leader != n) && self.is_with_most(n);
                possible(other).map(|()| {
                    self.left.leaders -= 1;
                    self.elect(n);
                })
            }
            Act::Restart(n) => possible(!self.balancers[n].up).map(|()| {
                let balancer = &mut self.balancers[n];
                balancer.up = true;
                if docs.is(Flaw::DiskBehind) {
                    balancer.view = balancer.before;
                }
            }),
            Act::Join => possible(self.cut.is_some()).map(|()| self.cut = None),
            Act::Crash(n) => possible(self.balancers[n].up).map(|()| {
                self.left.crashes -= 1;
                self.balancers[n].up = false;
                if self.leader == Some(n) {
                    self.leader = None;
                }
            }),
            Act::Cut(n) => possible(self.cut.is_none()).map(|()| {
                self.left.cuts -= 1;
                self.cut = Some(n);
            }),
        })
    }

    fn elect(&mut self, n: usize) {
        self.leader = Some(n);
        // What the one before has sent may still come.
        self.puts = [None, self.puts[0].or(self.puts[1])];
    }

    /// A word that is put at once, by whoever leads.
    fn asked(&mut self, command: Command, docs: &mut Docs) -> Option<()> {
        self.leads()?;
        let next = docs.play(self.doc, &command)?;
        (next != self.doc).then(|| self.doc = next)
    }

    fn word(&mut self, n: usize, docs: &mut Docs) -> Option<()> {
        let (new, heard) = self.balancers[n].word?;
        self.leads()?;
        let side = if new { Side::New } else { Side::Old };
        let command = Command::ReportSide { name: NAMES[n].into(), side, known_step: heard.into() };
        self.balancers[n].word = None;
        self.doc = docs.play(self.doc, &command).unwrap_or(self.doc);
        Some(())
    }

    /// Whoever leads, or takes it that it does, judges by what it has read and by the reports that come to it.
    fn judge(&mut self, shared: bool, docs: &mut Docs) -> Option<()> {
        let leader = self.leader.filter(|n| self.balancers[*n].up)?;
        let doc = docs.doc(self.doc);
        let stage = doc.stage()?;
        let held = matches!(doc.state, RolloutState::Paused { .. });
        let (mut silent, mut harm, mut seen, mut doubt) = (false, false, 0, false);
        for n in 0..if stage == 0 { 1 } else { 3 } {
            let known = docs.essence(self.doc).sides[n].is_some_and(|(new, _)| new);
            let here = self.reaches(leader, n);
            let says = self.balancers[n].new || docs.is(Flaw::OtherSides);
            silent |= known && !here;
            harm |= here && self.harms(n);
            // A report says on which side it was made: of one that has gone back nothing is seen.
            doubt |= known && here && !says;
            seen += usize::from(known && here && says);
        }
        let judged = match () {
            () if harm || silent => 1,
            () if shared => 2,
            () if held => 3,
            () if seen > 0 && !doubt => 0,
            () => return None,
        };
        let mut put = Put { step: doc.step as u8, stage: stage as u8, judged, doc: self.doc };
        match docs.play(self.doc, &put.command()) {
            Some(next) if next != self.doc => put.doc = next,
            None if docs.is(Flaw::JudgesTooSoon) => {}
            _ => return None,
        }
        (self.puts[0] != Some(put)).then(|| self.puts[0] = Some(put))
    }

    fn put(&mut self, n: usize, docs: &mut Docs) -> Result<Option<()>, String> {
        let Some(put) = self.puts[n] else { return Ok(None) };
        // That of the one before is in the log's hands.
        let by = if n == 0 { self.leader } else { (0..3).find(|n| self.is_with_most(*n)) };
        let Some(by) = by.filter(|by| self.balancers[*by].up) else { return Ok(None) };
        let most = self.is_with_most(by);
        if !most && !docs.is(Flaw::PutsAlone) {
            return Ok(None);
        }
        self.puts[n] = None;
        let before = *docs.essence(self.doc);
        // What was put between is read, and the command played on that.
        let next =
            if docs.is(Flaw::PutsUnseen) { Some(put.doc) } else { docs.play(self.doc, &put.command()) };
        let Some(next) = next.filter(|next| *next != self.doc) else { return Ok(Some(())) };
        let after = *docs.essence(next);
        check(most, "a side without a majority goes on")?;
        check(after.judged <= before.judged || put.step == before.step, "a verdict of another time counts")?;
        self.doc = next;
        Ok(Some(()))
    }

    /// What can't matter any more is forgotten.
    fn fold(&mut self, docs: &Docs) {
        let step = docs.essence(self.doc).step;
        let kept = docs.is(Flaw::LateVerdict) || docs.is(Flaw::PutsUnseen);
        for put in &mut self.puts {
            *put = put.filter(|put| kept || put.step == step);
        }
        let doc = docs.essence(self.doc);
        for (n, balancer) in self.balancers.iter_mut().enumerate() {
            // What it says is known already, and nobody but itself says anything else of it before that comes.
            balancer.word = balancer.word.filter(|word| docs.says(self.doc, *word) != doc.known(n));
        }
    }

    fn claims(&self, before: &Self, docs: &Docs) -> Result<(), String> {
        let (doc, last) = (docs.essence(self.doc), docs.essence(before.doc));
        check(doc.step >= last.step, "steps go back")?;
        check(doc.step > last.step || doc.state == last.state || doc.state >= 10, "two states of one step")?;
        check(doc.judged <= last.judged + 1, "a verdict is skipped")?;
        check(doc.undone_at > 0 || last.undone_at == 0, "an undoing is forgotten")?;
        check(doc.state != 9 || doc.judged == 2, "done without all verdicts")?;
        check(doc.state != 9 || self.truth == Truth::Good, "a bad change is done")?;
        for n in (0..3).filter(|n| self.balancers[*n].new) {
            check(doc.state != 8, "undone, and one acts on the change")?;
            check(
                doc.state < 10 || ((doc.state - 10) >> n) & 1 == 1,
                "one acts on the change and is not named",
            )?;
            check(n == 0 || doc.judged > 0, "one is ahead of the verdict")?;
            check(n == 0 || self.truth != Truth::BadFirst, "harm goes past its stage")?;
        }
        let calm = self.left == Faults::ALL && self.truth == Truth::Good;
        check(!calm || doc.undone_at == 0, "a good change is undone, and nothing befell")
    }

    /// What of it can matter, the same for balancers of one stage that change places.
    pub fn key(&self, docs: &Docs) -> Vec<u8> {
        self.ordered([0, 1, 2], docs).min(self.ordered([0, 2, 1], docs))
    }

    fn ordered(&self, order: [usize; 3], docs: &Docs) -> Vec<u8> {
        let doc = docs.essence(self.doc);
        let place = |n: Option<usize>| n.map_or(9, |n| order[n] as u8);
        let mut state = doc.state;
        if state >= 10 {
            state = 10 + (0..3).map(|n| (((doc.state - 10) >> order[n]) & 1) << n).sum::<u8>();
        }
        let undone = u8::from(doc.undone_at > 0);
        let left = self.left;
        let mut key =
            vec![self.truth as u8, state, undone, doc.begun, doc.judged, place(self.cut), place(self.leader)];
        key.extend([left.crashes, left.cuts, left.leaders, left.undos, left.holds, left.shared]);
        for put in &self.puts {
            let of = |put: Put| [put.judged, put.stage, doc.step - put.step];
            key.extend(put.map_or([9; 3], of));
            // Where it overwrites what came between it matters what.
            key.extend(put.filter(|_| docs.is(Flaw::PutsUnseen)).map_or(0, |put| put.doc).to_le_bytes());
        }
        for n in order {
            let balancer = &self.balancers[n];
            let heard = [balancer.view.step, balancer.before.step];
            let flags = [balancer.up, balancer.new, balancer.view.new, balancer.view.done, balancer.lost];
            let before = [balancer.before.new, balancer.before.done];
            key.extend(flags.iter().chain(&before).map(|flag| u8::from(*flag)));
            let word = balancer.word.map_or(2, |word| u8::from(docs.says(self.doc, word)));
            key.extend([word, u8::from(doc.known(n))]);
            key.extend(heard.map(|step| u8::from(doc.knows(step))));
        }
        key
    }
}
