//! One change, from its beginning to its end.

use super::fleet::{DAY, Fleet};
use super::harm::Harm;
use super::ways::{Decides, Way};
use maplehook_canary::Side;
use maplehook_rollout::RolloutState;
use maplehook_rollout::order::Member;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// What is played.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Case {
    /// How many balancers.
    pub balancers: usize,
    /// What the change does.
    pub harm: Harm,
    /// Who decides.
    pub way: Way,
    /// Whether reports are lost and leaders change.
    pub faults: bool,
    /// What is drawn.
    pub seed: u64,
}

/// How it ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// All are changed.
    Done,
    /// All are as before: why.
    Stopped(String),
    /// It waited to the end of the day, in this state.
    Open(String),
}

/// What came of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// How it ended.
    pub end: End,
    /// Seconds from the first change to the verdict, if it was stopped.
    pub stop: Option<u64>,
    /// Seconds from the verdict until all were as before.
    pub undo: Option<u64>,
    /// Seconds until it was done, if it was.
    pub done: Option<u64>,
    /// Of the day's requests those that the change did harm to.
    pub harmed: f64,
}

/// One report in so many is lost.
const LOST: f64 = 0.02;
/// Once in so many seconds a balancer is out of the leader's reach, for up to so many seconds.
const CUT_EACH: f64 = 600.0;
const CUT_MOST: u64 = 5;
/// Once in so many seconds another leads.
const LEADS_EACH: f64 = 300.0;

#[derive(Clone, Copy)]
struct At {
    side: Side,
    /// Since when it is changed.
    since: u64,
    /// It goes to the other side then.
    turns: Option<u64>,
    heard: u64,
    cut_until: u64,
}

/// Plays one.
pub fn play(case: &Case) -> Result<Outcome, String> {
    let fleet = Fleet::new(case.balancers, case.seed);
    let zone = |n: usize| fleet.zone(n).to_owned();
    let names = fleet.balancers.iter().enumerate();
    let members: Vec<Member> = names.map(|(n, b)| Member { name: b.name.clone(), zone: zone(n) }).collect();
    let mut decides = Decides::new(case.way, &members)?;
    let mut rng = ChaCha8Rng::seed_from_u64(case.seed ^ 0xfa);
    let old = At { side: Side::Old, since: 0, turns: None, heard: 0, cut_until: 0 };
    let mut all = vec![old; case.balancers];
    let (mut first, mut stopped, mut over) = (None, None, None);
    let (mut harmed, mut asked) = (0u64, 0u64);
    let mut second = 0u64;
    while (second as usize) < DAY && over.is_none() {
        let mut heard = BTreeMap::new();
        for (n, at) in all.iter_mut().enumerate() {
            let changed = (at.side == Side::New).then(|| (case.harm, second - at.since));
            let did = fleet.second(n, second as usize, changed);
            harmed += did.harmed;
            asked += did.report.total();
            let (cut, lost) = (rng.random::<f64>() < 1.0 / CUT_EACH, rng.random::<f64>() < LOST);
            let (lasts, takes) = (rng.random_range(1..=CUT_MOST), rng.random_range(2..=6));
            if case.faults && cut {
                at.cut_until = second + lasts;
            }
            let here = second >= at.cut_until;
            if here && !(case.faults && lost) {
                heard.insert(members[n].name.clone(), (zone(n), at.side, at.heard, did.report));
            }
            let (wanted, step) = decides.wanted(&members[n].name);
            if here {
                at.heard = step;
            }
            match at.turns {
                Some(when) if second >= when => {
                    let side = if at.side == Side::Old { Side::New } else { Side::Old };
                    (at.side, at.since, at.turns) = (side, second + 1, None);
                    first = first.or(Some(second));
                }
                None if here && wanted != at.side => at.turns = Some(second + takes),
                _ => {}
            }
        }
        if rng.random::<f64>() < 1.0 / LEADS_EACH && case.faults {
            decides.another_leads(&members, second);
        }
        decides.second(second, heard);
        let state = decides.state();
        if stopped.is_none()
            && matches!(state, RolloutState::RollingBack { .. } | RolloutState::RolledBack { .. })
        {
            stopped = Some(second);
        }
        over = state.is_over().then(|| (second, state.clone()));
        second += 1;
    }
    let first = first.unwrap_or(0);
    let stop = stopped.map(|at| at.saturating_sub(first));
    let mut outcome = Outcome { end: End::Done, stop, undo: None, done: None, harmed: 0.0 };
    // What is done goes on as it was to the end of the day.
    let mut rest = DAY as f64 - second as f64;
    match over {
        Some((at, RolloutState::Completed)) => outcome.done = Some(at),
        Some((at, RolloutState::RolledBack { why })) => {
            outcome.undo = stopped.map(|stopped| at - stopped);
            outcome.end = End::Stopped(why);
        }
        _ => {
            outcome.end = End::Open(format!("{:?}", decides.state()));
            rest = 0.0;
        }
    }
    let (mut more, mut of) = (0u64, 0u64);
    for n in 0..case.balancers {
        for second in (second..).take(20) {
            let changed = (outcome.end == End::Done).then_some((case.harm, second));
            let did = fleet.second(n, second as usize, changed);
            (more, of) = (more + did.harmed, of + did.report.total());
        }
    }
    let each = rest / 20.0;
    outcome.harmed = (harmed as f64 + each * more as f64) / (asked as f64 + each * of as f64).max(1.0);
    Ok(outcome)
}
