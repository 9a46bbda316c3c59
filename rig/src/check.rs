//! Checkers: what has to hold of a history, whatever the faults. Pure functions; each is shown to find a planted breach.

use crate::history::{Entry, Got, Kind, What};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// The times that are promised.
#[derive(Clone, Copy, Debug)]
pub struct Promised {
    /// A request's deadline, with what a client allows beside it.
    pub answer: Duration,
    /// From the end of all faults until all see one another.
    pub converge: Duration,
    /// For how long somebody who serves undisturbed may be believed dead by somebody who does so too.
    pub believed_dead: Duration,
    /// From discovery's word until nothing new is sent to a drained upstream, while no fault lasts.
    pub drain: Duration,
}

/// Something that was promised and not kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// When it was seen.
    pub at: Duration,
    /// Which promise.
    pub rule: &'static str,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s: {}: {}", self.at.as_secs_f64(), self.rule, self.seen)
    }
}

/// Everything that does not hold.
pub fn check(history: &[Entry], promised: &Promised) -> Vec<Breach> {
    let mut breaches = one_answer(history, promised);
    breaches.extend(no_effect_twice(history));
    breaches.extend(drains_kept(history, promised));
    breaches.extend(views_converge(history, promised));
    breaches.extend(nobody_alive_dead(history, promised));
    breaches.extend(incarnations_rise(history));
    breaches.sort_by_key(|breach| breach.at);
    breaches
}

/// The spans in which each balancer did not serve.
fn downs(history: &[Entry]) -> BTreeMap<usize, Vec<(Duration, Duration)>> {
    let mut downs: BTreeMap<usize, Vec<(Duration, Duration)>> = BTreeMap::new();
    for Entry { at, what } in history {
        match what {
            What::Down { balancer } => {
                let spans = downs.entry(*balancer).or_default();
                if spans.last().is_none_or(|(_, until)| *until != Duration::MAX) {
                    spans.push((*at, Duration::MAX));
                }
            }
            What::Serves { balancer } => {
                if let Some((_, until)) = downs.entry(*balancer).or_default().last_mut()
                    && *until == Duration::MAX
                {
                    *until = *at;
                }
            }
            _ => {}
        }
    }
    downs
}

/// Every request ends with one answer, unless its balancer was taken down meanwhile.
pub fn one_answer(history: &[Entry], promised: &Promised) -> Vec<Breach> {
    let downs = downs(history);
    let mut open: BTreeMap<&str, (Duration, usize)> = BTreeMap::new();
    let mut breaches = Vec::new();
    let mut over = |at: Duration, seen: String| breaches.push(Breach { at, rule: "one final answer", seen });
    let disturbed = |balancer: usize, from: Duration, until: Duration| {
        downs.get(&balancer).is_some_and(|spans| spans.iter().any(|(a, b)| *a <= until && *b >= from))
    };
    let end = history.last().map_or(Duration::ZERO, |entry| entry.at);
    for Entry { at, what } in history {
        match what {
            What::Asked { id, balancer, .. } if open.insert(id, (*at, *balancer)).is_some() => {
                over(*at, format!("{id} was asked twice"));
            }
            What::Got { id, got } => {
                let Some((asked, balancer)) = open.remove(id.as_str()) else {
                    over(*at, format!("{id} got a second answer, {got:?}"));
                    continue;
                };
                let lost = match got {
                    Got::Status(_) => *at - asked > promised.answer,
                    Got::Twice => true,
                    Got::Broken | Got::Nothing => true,
                };
                if lost && (*got == Got::Twice || !disturbed(balancer, asked, *at)) {
                    over(*at, format!("{id} at balancer {balancer} got {got:?} after {:?}", *at - asked));
                }
            }
            _ => {}
        }
    }
    for (id, (asked, balancer)) in open {
        if end - asked > promised.answer && !disturbed(balancer, asked, end) {
            over(asked, format!("{id} at balancer {balancer} got nothing"));
        }
    }
    breaches
}

/// What must not run twice does not.
pub fn no_effect_twice(history: &[Entry]) -> Vec<Breach> {
    let kinds: BTreeMap<&str, Kind> = history
        .iter()
        .filter_map(|entry| match &entry.what {
            What::Asked { id, kind, .. } => Some((id.as_str(), *kind)),
            _ => None,
        })
        .collect();
    let twice = history.iter().filter_map(|Entry { at, what }| match what {
        What::Ran { id, times } if *times > 1 && kinds.get(id.as_str()) != Some(&Kind::Look) => {
            Some(Breach { at: *at, rule: "no effect twice", seen: format!("{id} ran {times} times") })
        }
        _ => None,
    });
    twice.collect()
}

/// Nothing new to an upstream that drains, once the word has had its time and faults are over.
pub fn drains_kept(history: &[Entry], promised: &Promised) -> Vec<Breach> {
    let mut drained: BTreeMap<usize, Duration> = BTreeMap::new();
    let mut healed = None;
    let mut breaches = Vec::new();
    for Entry { at, what } in history {
        match what {
            What::Drains { upstream } => drop(drained.entry(*upstream).or_insert(*at)),
            What::Healed => healed = Some(*at),
            What::Attempt { id, upstream, balancer, .. } => {
                if let (Some(since), Some(healed)) = (drained.get(upstream), healed)
                    && *at > (*since).max(healed) + promised.drain
                {
                    let seen = format!("{id} came to upstream {upstream} from balancer {balancer:?}");
                    breaches.push(Breach { at: *at, rule: "drains kept", seen });
                }
            }
            _ => {}
        }
    }
    breaches
}

fn alive(view: &crate::balancer::View) -> BTreeMap<&str, u64> {
    let alive = view.members.iter().filter(|member| member.state == "alive" || member.state == "suspect");
    alive.map(|member| (member.name.as_str(), member.incarnation)).collect()
}

/// After the end of all faults, all see one another, each under its present start.
pub fn views_converge(history: &[Entry], promised: &Promised) -> Vec<Breach> {
    let Some(healed) = history.iter().find(|e| e.what == What::Healed).map(|e| e.at) else {
        return Vec::new();
    };
    let end = history.last().map_or(healed, |entry| entry.at);
    let early =
        if end < healed + promised.converge { ", and the history ends before the promised time" } else { "" };
    let mut last: BTreeMap<usize, &crate::balancer::View> = BTreeMap::new();
    for Entry { at, what } in history {
        if let What::Shows { balancer, view } = what
            && *at >= healed
        {
            last.insert(*balancer, view);
        }
    }
    let own: BTreeMap<String, u64> = last.iter().map(|(n, view)| (name(*n), view.incarnation)).collect();
    let serving: BTreeSet<usize> = history
        .iter()
        .filter_map(|entry| match entry.what {
            What::Serves { balancer } => Some(balancer),
            _ => None,
        })
        .collect();
    let mut breaches = Vec::new();
    for n in &serving {
        let Some(view) = last.get(n) else {
            let seen = format!("{} shows nothing", name(*n));
            breaches.push(Breach { at: end, rule: "views converge", seen });
            continue;
        };
        let sees = alive(view);
        let right: BTreeMap<&str, u64> = own.iter().map(|(name, start)| (name.as_str(), *start)).collect();
        if sees != right {
            let seen = format!("{} sees {sees:?}, there are {right:?}{early}", name(*n));
            breaches.push(Breach { at: end, rule: "views converge", seen });
        }
    }
    breaches
}

/// What the rig calls a balancer.
pub fn name(n: usize) -> String {
    format!("b{}", n + 1)
}

/// Nobody who serves undisturbed is believed dead for longer than is promised, by anybody who does so too.
pub fn nobody_alive_dead(history: &[Entry], promised: &Promised) -> Vec<Breach> {
    let Some(healed) = history.iter().find(|e| e.what == What::Healed).map(|e| e.at) else {
        return Vec::new();
    };
    let mut since: BTreeMap<(usize, String), Duration> = BTreeMap::new();
    let mut told = BTreeSet::new();
    let mut breaches = Vec::new();
    for Entry { at, what } in history.iter().filter(|entry| entry.at >= healed) {
        let What::Shows { balancer, view } = what else { continue };
        for member in &view.members {
            let key = (*balancer, member.name.clone());
            if member.state != "dead" && member.state != "left" {
                since.remove(&key);
                continue;
            }
            let first = *since.entry(key.clone()).or_insert(*at);
            if *at - first > promised.believed_dead && told.insert(key) {
                let seen = format!("{} holds {} to be {}", name(*balancer), member.name, member.state);
                breaches.push(Breach { at: *at, rule: "nobody alive is dead", seen });
            }
        }
    }
    breaches
}

/// A name's start only rises, in what one process shows.
pub fn incarnations_rise(history: &[Entry]) -> Vec<Breach> {
    let mut seen: BTreeMap<(usize, String), u64> = BTreeMap::new();
    let mut breaches = Vec::new();
    for Entry { at, what } in history {
        match what {
            // A new process knows nothing of what the one before it saw.
            What::Serves { balancer } => {
                seen.retain(|(of, name), _| of != balancer || *name == self::name(*of))
            }
            What::Shows { balancer, view } => {
                for member in &view.members {
                    let before = seen.entry((*balancer, member.name.clone())).or_default();
                    if member.incarnation < *before {
                        let seen = format!(
                            "{} showed {} at {} after {before}",
                            name(*balancer),
                            member.name,
                            member.incarnation
                        );
                        breaches.push(Breach { at: *at, rule: "incarnations rise", seen });
                    }
                    *before = member.incarnation;
                }
            }
            _ => {}
        }
    }
    breaches
}

/// The versions within whose rules whoever bears this label stays; `None`: it is careful, and within all.
fn keeps(label: &str) -> Option<Vec<u64>> {
    let (numbers, careful) = label.split_once(';').map_or((label, false), |(numbers, _)| (numbers, true));
    (!careful && numbers != "0")
        .then(|| numbers.split('-').filter_map(|number| number.parse().ok()).collect())
}

/// The longest time for which two balancers acted on rules that contradict each other, as upstreams saw it from first
/// attempts; a request's later ones are bound by what came meanwhile, whatever it is labelled.
pub fn longest_contradiction(history: &[Entry]) -> (Duration, String) {
    let mut first: BTreeSet<&str> = BTreeSet::new();
    // Spans in which a balancer bore a label, the last of each still open.
    let mut spans: BTreeMap<usize, Vec<(Duration, Duration, &str)>> = BTreeMap::new();
    for Entry { at, what } in history {
        let What::Attempt { id, balancer: Some(balancer), version: Some(version), .. } = what else {
            continue;
        };
        if !first.insert(id) {
            continue;
        }
        let of = spans.entry(*balancer).or_default();
        match of.last_mut() {
            Some((_, until, label)) if label == version => *until = *at,
            _ => of.push((*at, *at, version)),
        }
    }
    let mut longest = (Duration::ZERO, String::new());
    for (a, of_a) in &spans {
        for (b, of_b) in spans.range(a + 1..) {
            for (from, until, label) in of_a {
                for (from_b, until_b, label_b) in of_b {
                    let (Some(ours), Some(theirs)) = (keeps(label), keeps(label_b)) else { continue };
                    if ours.iter().any(|number| theirs.contains(number)) {
                        continue;
                    }
                    let both = (*until.min(until_b)).saturating_sub(*from.max(from_b));
                    if both > longest.0 {
                        let from = (*from).max(*from_b);
                        longest = (
                            both,
                            format!("{} on {label} and {} on {label_b} from {from:?}", name(*a), name(*b)),
                        );
                    }
                }
            }
        }
    }
    longest
}

/// A call that somebody made of the agreement, and what came of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// When it was made.
    pub from: Duration,
    /// When its answer came.
    pub to: Duration,
    /// What it came to.
    pub did: Did,
}

/// What a call of the agreement came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Did {
    /// This text became this version.
    Proposed {
        /// The version.
        version: u64,
        /// The text, by its mark.
        mark: String,
    },
    /// The answer is not known: it became a version, or will, or not.
    Unknown {
        /// The text, by its mark.
        mark: String,
    },
    /// The epoch that was agreed, and the newest version of its step.
    Saw {
        /// The epoch.
        epoch: u64,
        /// The newest version.
        newest: u64,
    },
}

/// Whether calls took effect one after the other, each at a moment between its beginning and its end (linearizability, Herlihy
/// and Wing 1990). Versions and epochs only rise, so that it is enough to look at each pair of which one had ended when the
/// other began, and at where each version that was seen came from.
pub fn linearizable(calls: &[Call]) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let mut over =
        |at: Duration, seen: String| breaches.push(Breach { at, rule: "one order of versions", seen });
    let mut marks: BTreeMap<u64, &str> = BTreeMap::new();
    for call in calls {
        if let Did::Proposed { version, mark } = &call.did
            && marks.insert(*version, mark).is_some_and(|before| before != mark)
        {
            over(call.to, format!("version {version} is two texts, {mark} among them"));
        }
    }
    // By their ends: what is the most that has been seen when another one begins?
    let mut ends: Vec<&Call> = calls.iter().collect();
    ends.sort_by_key(|call| call.to);
    let mut begins = ends.clone();
    begins.sort_by_key(|call| call.from);
    let mut ended = ends.iter().peekable();
    let (mut epoch_seen, mut version_seen) = (0, 0);
    for call in begins {
        while let Some(before) = ended.next_if(|before| before.to < call.from) {
            match &before.did {
                Did::Proposed { version, .. } => version_seen = version_seen.max(*version),
                Did::Saw { epoch, newest } => {
                    (epoch_seen, version_seen) = (epoch_seen.max(*epoch), version_seen.max(*newest));
                }
                Did::Unknown { .. } => {}
            }
        }
        match &call.did {
            Did::Proposed { version, mark } if *version <= version_seen => {
                over(
                    call.to,
                    format!("{mark} became version {version} after version {version_seen} was seen"),
                );
            }
            Did::Saw { epoch, newest } if *epoch < epoch_seen || *newest < version_seen => over(
                call.to,
                format!("epoch {epoch}, version {newest} after epoch {epoch_seen}, version {version_seen}"),
            ),
            _ => {}
        }
    }
    for call in calls {
        let Did::Saw { newest, .. } = call.did else { continue };
        // The first one is nobody's proposal.
        let possible = newest <= 1
            || calls.iter().any(|other| match &other.did {
                Did::Proposed { version, .. } => *version == newest && other.from <= call.to,
                Did::Unknown { .. } => other.from <= call.to,
                Did::Saw { .. } => false,
            });
        if !possible {
            over(call.to, format!("version {newest} was seen before anybody proposed it"));
        }
    }
    breaches
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::balancer::{Member, View};

    const PROMISED: Promised = Promised {
        answer: Duration::from_secs(3),
        converge: Duration::from_secs(10),
        believed_dead: Duration::from_secs(5),
        drain: Duration::from_secs(1),
    };

    fn entry(ms: u64, what: What) -> Entry {
        Entry { at: Duration::from_millis(ms), what }
    }

    fn asked(ms: u64, id: &str, kind: Kind) -> Entry {
        entry(ms, What::Asked { id: id.into(), kind, balancer: 0 })
    }

    fn got(ms: u64, id: &str, got: Got) -> Entry {
        entry(ms, What::Got { id: id.into(), got })
    }

    fn shows(ms: u64, balancer: usize, own: u64, members: &[(&str, u64, &str)]) -> Entry {
        let member = |(name, incarnation, state): &(&str, u64, &str)| Member {
            name: (*name).into(),
            incarnation: *incarnation,
            state: (*state).into(),
        };
        let view = View { incarnation: own, speaks: true, members: members.iter().map(member).collect() };
        entry(ms, What::Shows { balancer, view })
    }

    fn rules(history: &[Entry]) -> Vec<&'static str> {
        check(history, &PROMISED).into_iter().map(|breach| breach.rule).collect()
    }

    #[test]
    fn one_answer_each() {
        let fine = [asked(0, "a", Kind::Look), got(5, "a", Got::Status(200)), entry(9000, What::End)];
        assert!(rules(&fine).is_empty());
        for planted in [
            vec![asked(0, "a", Kind::Look), entry(9000, What::End)],
            vec![asked(0, "a", Kind::Look), got(5, "a", Got::Status(200)), got(6, "a", Got::Status(200))],
            vec![asked(0, "a", Kind::Look), got(5, "a", Got::Twice)],
            vec![asked(0, "a", Kind::Look), got(5, "a", Got::Broken)],
            vec![asked(0, "a", Kind::Look), got(3500, "a", Got::Status(200))],
            vec![asked(0, "a", Kind::Look), got(2500, "a", Got::Nothing)],
        ] {
            assert_eq!(rules(&planted), ["one final answer"], "{planted:?}");
        }
        // Of a balancer that was killed meanwhile a client may hear nothing, but not two answers.
        let down = entry(2, What::Down { balancer: 0 });
        assert!(rules(&[asked(0, "a", Kind::Look), down.clone(), got(5, "a", Got::Broken)]).is_empty());
        assert_eq!(
            rules(&[asked(0, "a", Kind::Look), down.clone(), got(5, "a", Got::Twice)]),
            ["one final answer"]
        );
        let back = entry(100, What::Serves { balancer: 0 });
        assert_eq!(
            rules(&[down, back, asked(200, "a", Kind::Look), got(205, "a", Got::Broken)]),
            ["one final answer"],
            "what was over before is no excuse"
        );
    }

    #[test]
    fn effects_once() {
        let ran = |times| entry(50, What::Ran { id: "a".into(), times });
        let end = got(60, "a", Got::Status(200));
        assert!(rules(&[asked(0, "a", Kind::Book), ran(1), end.clone()]).is_empty());
        assert!(rules(&[asked(0, "a", Kind::Look), ran(2), end.clone()]).is_empty());
        assert_eq!(rules(&[asked(0, "a", Kind::Book), ran(2), end.clone()]), ["no effect twice"]);
        assert_eq!(rules(&[asked(0, "a", Kind::Keyed), ran(2), end]), ["no effect twice"]);
    }

    #[test]
    fn drained_upstreams_get_nothing_new() {
        let attempt =
            |ms| entry(ms, What::Attempt { id: "a".into(), upstream: 3, balancer: Some(1), version: None });
        let (drains, healed) = (entry(100, What::Drains { upstream: 3 }), entry(50, What::Healed));
        let end = entry(20_000, What::End);
        assert!(rules(&[healed.clone(), attempt(90), drains.clone(), attempt(1000), end.clone()]).is_empty());
        assert_eq!(rules(&[healed, drains, attempt(1200), end]), ["drains kept"]);
    }

    #[test]
    fn views_have_to_agree_in_time() {
        let serves = [entry(0, What::Serves { balancer: 0 }), entry(0, What::Serves { balancer: 1 })];
        let healed = entry(100, What::Healed);
        let both = [("b1", 1, "alive"), ("b2", 2, "alive")];
        let good = [shows(9000, 0, 1, &both), shows(9000, 1, 2, &both), entry(20_000, What::End)];
        let history = |last: &[Entry]| [&serves[..], std::slice::from_ref(&healed), last].concat();
        assert!(rules(&history(&good)).is_empty());
        for planted in [
            [("b1", 1, "alive"), ("b2", 2, "dead")],
            [("b1", 1, "alive"), ("b2", 1, "alive")],
            [("b1", 1, "alive"), ("b3", 2, "alive")],
        ] {
            let wrong = [shows(9000, 0, 1, &planted), good[1].clone(), good[2].clone()];
            assert_eq!(rules(&history(&wrong)), ["views converge"], "{planted:?}");
        }
        assert_eq!(rules(&history(&good[1..])), ["views converge", "views converge"], "one shows nothing");
    }

    #[test]
    fn the_living_are_not_dead_for_long() {
        let dead = |ms| shows(ms, 0, 1, &[("b1", 1, "alive"), ("b2", 2, "dead")]);
        let back = shows(15_000, 0, 1, &[("b1", 1, "alive"), ("b2", 3, "alive")]);
        let other = shows(15_000, 1, 3, &[("b1", 1, "alive"), ("b2", 3, "alive")]);
        let serves = [entry(0, What::Serves { balancer: 0 }), entry(0, What::Serves { balancer: 1 })];
        let history = |shown: &[Entry]| {
            let end = [back.clone(), other.clone(), entry(20_000, What::End)];
            [&serves[..], &[entry(100, What::Healed)], shown, &end].concat()
        };
        assert!(rules(&history(&[dead(200), dead(5000)])).is_empty());
        assert_eq!(rules(&history(&[dead(200), dead(5000), dead(6000)])), ["nobody alive is dead"]);
    }

    #[test]
    fn contradictions_are_measured_from_first_attempts() {
        let attempt = |ms, balancer, id: &str, label: &str| {
            let (id, version) = (id.to_owned(), Some(label.to_owned()));
            entry(ms, What::Attempt { id, upstream: 0, balancer: Some(balancer), version })
        };
        let of = |entries: &[Entry]| longest_contradiction(entries).0.as_millis();
        let old = [attempt(0, 0, "a", "1"), attempt(900, 0, "b", "1")];
        assert_eq!(of(&[&old[..], &[attempt(100, 1, "c", "1-2"), attempt(800, 1, "d", "1-2")]].concat()), 0);
        assert_eq!(of(&[&old[..], &[attempt(100, 1, "c", "2"), attempt(800, 1, "d", "2")]].concat()), 700);
        assert_eq!(
            of(&[&old[..], &[attempt(100, 1, "c", "2;careful"), attempt(800, 1, "d", "2;careful")]].concat()),
            0
        );
        // A repeat of what came long ago is labelled as it came.
        let repeat = [
            attempt(0, 0, "a", "1"),
            attempt(100, 1, "c", "2"),
            attempt(800, 1, "d", "2"),
            attempt(900, 0, "a", "1"),
        ];
        assert_eq!(of(&repeat), 0);
    }

    #[test]
    fn versions_have_one_order() {
        let ms = Duration::from_millis;
        let call = |from, to, did| Call { from: ms(from), to: ms(to), did };
        let proposed =
            |from, to, version, mark: &str| call(from, to, Did::Proposed { version, mark: mark.into() });
        let saw = |from, to, epoch, newest| call(from, to, Did::Saw { epoch, newest });
        let sound = [
            saw(0, 1, 1, 1),
            proposed(2, 9, 2, "a"),
            // At the same time as the proposal: either is possible.
            saw(3, 5, 1, 1),
            saw(4, 8, 2, 2),
            saw(10, 11, 3, 2),
            proposed(12, 14, 3, "b"),
        ];
        assert!(linearizable(&sound).is_empty(), "{:?}", linearizable(&sound));
        let with = |more: &[Call]| linearizable(&[&sound[..], more].concat()).len();
        assert_eq!(with(&[saw(20, 21, 2, 2)]), 1, "an old epoch after a later one was seen");
        assert_eq!(with(&[saw(20, 21, 3, 2)]), 1, "a version that was acknowledged is gone");
        assert_eq!(
            with(&[proposed(20, 21, 3, "c")]),
            2,
            "one number, two texts, and no later than what was seen"
        );
        assert_eq!(with(&[saw(20, 21, 9, 7)]), 1, "a version that nobody has proposed");
        assert_eq!(
            with(&[saw(20, 21, 9, 7), call(22, 30, Did::Unknown { mark: "z".into() })]),
            1,
            "or only later"
        );
        assert_eq!(with(&[saw(20, 21, 9, 7), call(15, 30, Did::Unknown { mark: "z".into() })]), 0);
        assert_eq!(with(&[saw(6, 7, 1, 1)]), 0, "before the proposal's answer the old one is as good");
    }

    #[test]
    fn starts_only_rise() {
        let shown = |ms, start| shows(ms, 0, 1, &[("b1", 1, "alive"), ("b2", start, "alive")]);
        assert!(rules(&[shown(1, 5), shown(2, 5), shown(3, 6)]).is_empty());
        assert_eq!(rules(&[shown(1, 5), shown(2, 4)]), ["incarnations rise"]);
        // A new process may learn an old start first; its own must still rise.
        let again = entry(2, What::Serves { balancer: 0 });
        assert!(rules(&[shown(1, 5), again.clone(), shown(3, 4)]).is_empty());
        let own = |ms, start| shows(ms, 0, start, &[("b1", start, "alive")]);
        assert_eq!(rules(&[own(1, 5), again, own(3, 4)]), ["incarnations rise"]);
    }
}
