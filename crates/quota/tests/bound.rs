//! The sum over all balancers of what each may grant, under any order, loss, repeat, cut, restart and drift of clocks.

use maplehook_quota::split::{Settings, Split};
use maplehook_quota::{Ask, Grant, Key, Kind, Member, UNIT};
use proptest::prelude::*;
use std::collections::{BTreeSet, HashSet};

const KEY: Key = Key { kind: Kind::Tenant, subject: 5 };

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Letter {
    Ask(Ask),
    Grant(Grant),
}

/// Letters are never taken out: one that is not delivered is lost, one that is delivered again is a repeat.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    set: Settings,
    now: u64,
    rates: Vec<u64>,
    splits: Vec<Split>,
    starts: Vec<u64>,
    letters: BTreeSet<Letter>,
}

impl World {
    fn new(set: Settings, rates: Vec<u64>) -> Self {
        let splits =
            (0..rates.len()).map(|n| Split::new(set, Member { id: n as u64, start: 1 }, 0)).collect();
        let starts = vec![1; rates.len()];
        Self { set, now: 0, rates, splits, starts, letters: BTreeSet::new() }
    }

    /// Each clock has a rate and a beginning of its own.
    fn clock(&self, n: usize) -> u64 {
        self.now * self.rates[n] / 1_000 + 77 * n as u64
    }

    fn need(&mut self, n: usize, need: u32) {
        let at = self.clock(n);
        self.splits[n].need(at, KEY, need);
    }

    fn ask(&mut self, n: usize) {
        let members = self.starts.iter().enumerate();
        let peers: Vec<Member> = members.map(|(id, start)| Member { id: id as u64, start: *start }).collect();
        let at = self.clock(n);
        let asks = self.splits[n].asks(at, &peers, |_, _| None);
        self.letters.extend(asks.into_iter().map(Letter::Ask));
    }

    fn deliver(&mut self, letter: Letter) {
        match letter {
            Letter::Ask(ask) => {
                let n = ask.to.id as usize;
                let at = self.clock(n);
                self.letters.extend(self.splits[n].asked(at, &ask).map(Letter::Grant));
            }
            Letter::Grant(grant) => self.splits[grant.to.id as usize].granted(&grant),
        }
    }

    /// The process ends; its next start knows nothing.
    fn restart(&mut self, n: usize) {
        self.starts[n] += 1;
        let me = Member { id: n as u64, start: self.starts[n] };
        self.splits[n] = Split::new(Settings { earlier: true, ..self.set }, me, self.clock(n));
    }

    fn holds(&mut self) -> Result<(), String> {
        let (mut rights, mut shares) = (0u64, 0u64);
        for n in 0..self.splits.len() {
            let at = self.clock(n);
            rights += u64::from(self.splits[n].right(at, KEY));
            shares += u64::from(self.splits[n].share(at, KEY));
        }
        let floors = u64::from(UNIT) * u64::from(self.set.floor_per_mille) / 1_000;
        if rights > u64::from(UNIT) || shares > u64::from(UNIT) + floors {
            return Err(format!("rights {rights}, shares {shares} of {UNIT}"));
        }
        Ok(())
    }
}

#[derive(Clone, Debug)]
enum Step {
    Need(usize, u32),
    Ask(usize),
    Deliver(usize),
    /// The newest letters, as on a good network.
    Newest(usize),
    Wait(u64),
    Restart(usize),
}

fn steps(balancers: usize) -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0..balancers, 0..=UNIT).prop_map(|(n, need)| Step::Need(n, need)),
        4 => (0..balancers).prop_map(Step::Ask),
        6 => any::<usize>().prop_map(Step::Deliver),
        4 => (1usize..8).prop_map(Step::Newest),
        3 => prop_oneof![1u64..20, 100u64..3_000, 9_900u64..10_800].prop_map(Step::Wait),
        1 => (0..balancers).prop_map(Step::Restart),
    ];
    prop::collection::vec(step, 1..160)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_500, ..ProptestConfig::default() })]

    /// Sum of rights <= 1, sum of shares <= 1 + floor, at every instant, whatever happens.
    #[test]
    fn the_sum_never_passes_its_bound(
        (balancers, steps) in (2usize..6).prop_flat_map(|n| (Just(n), steps(n))),
        rates in prop::collection::vec(970u64..=1_030, 6),
        earlier in any::<bool>(),
        floor_per_mille in 0u32..300,
    ) {
        let set = Settings { balancers: balancers as u32, earlier, floor_per_mille, ..Settings::default() };
        let mut world = World::new(set, rates[..balancers].to_vec());
        for step in steps {
            match step {
                Step::Need(n, need) => world.need(n, need),
                Step::Ask(n) => world.ask(n),
                Step::Deliver(n) if !world.letters.is_empty() => {
                    let letter = *world.letters.iter().nth(n % world.letters.len()).unwrap();
                    world.deliver(letter);
                }
                Step::Deliver(_) => {}
                Step::Newest(count) => {
                    let number = |letter: &Letter| match letter {
                        Letter::Ask(ask) => (ask.number, 0),
                        Letter::Grant(grant) => (grant.number, 1),
                    };
                    let mut all: Vec<Letter> = world.letters.iter().copied().collect();
                    all.sort_by_key(number);
                    all.iter().rev().take(count).for_each(|letter| world.deliver(*letter));
                }
                Step::Wait(ms) => world.now += ms,
                Step::Restart(n) => world.restart(n),
            }
            prop_assert_eq!(world.holds(), Ok(()));
        }
    }

    /// Whoever asks for whatever, true or not: a lender whose traffic needs its equal part has it again within a lease.
    #[test]
    fn liars_cannot_take_what_is_needed_here(
        lies in prop::collection::vec((0u64..40, 1u64..4, any::<u64>(), any::<u32>(), any::<u32>(), 0u64..900), 1..120),
        need in 0u32..=UNIT,
    ) {
        let set = Settings { balancers: 8, earlier: false, ..Settings::default() };
        let me = Member { id: 99, start: 1 };
        let mut split = Split::new(set, me, 0);
        let (mut now, mut since) = (0, None);
        for (id, start, number, want, held, wait) in lies {
            for tick in (now..now + wait).step_by(100).filter(|tick| *tick > 2 * set.lease) {
                split.need(tick, KEY, need);
            }
            now += wait;
            if now > 2 * set.lease {
                split.need(now, KEY, need);
            }
            // The lies go on all the while, from ever new names.
            let from = Member { id, start };
            let ask = Ask { from, to: me, key: KEY, number, want, held };
            split.asked(now, &ask);
            split.granted(&Grant { from, to: me, key: KEY, number, amount: want, offer: held });
            if now > 2 * set.lease {
                let lent_until = *since.get_or_insert(now) + set.lease + set.lease / 16 + 1;
                if now >= lent_until {
                    prop_assert!(split.right(now, KEY) >= need.min(split.base()));
                }
            }
        }
        for tick in 0..130 {
            let at = now + tick * 100;
            split.need(at, KEY, need);
            split.asked(at, &Ask { from: Member { id: tick, start: 9 }, to: me, key: KEY, number: 1, want: UNIT, held: UNIT });
            split.share(at, KEY);
        }
        let share = split.share(now + 130 * 100, KEY);
        prop_assert!(share >= need.min(split.base()), "{share} of {need}");
    }
}

/// However many lie, an honest borrower has its fair part of what a lender can spare: 1 / (liars + 1).
#[test]
fn greed_takes_no_more_than_an_equal_part() {
    let set = Settings { balancers: 4, earlier: false, ..Settings::default() };
    let me = Member { id: 9, start: 1 };
    for liars in 1..6u64 {
        let mut split = Split::new(set, me, 0);
        let base = split.base();
        let ask = |id, number, want, held| Ask {
            from: Member { id, start: 1 },
            to: me,
            key: KEY,
            number,
            want,
            held,
        };
        for round in 1..40 {
            let now = round * 1_000;
            for liar in 20..20 + liars {
                split.asked(now, &ask(liar, round, u32::MAX, u32::MAX));
            }
            // The honest one holds what it was granted.
            let grant = split.asked(now, &ask(1, round, base, base)).unwrap();
            if round > 30 {
                assert!(
                    grant.amount >= base / (liars as u32 + 1) - 1,
                    "{} of {base}, {liars} liars",
                    grant.amount
                );
            }
        }
    }
}

/// All that can happen to three balancers in so many steps; each state is looked at once.
fn explore(world: World, left: u32, seen: &mut HashSet<(World, u32)>) -> Result<(), String> {
    if left == 0 || !seen.insert((world.clone(), left)) {
        return Ok(());
    }
    let mut go = |change: &dyn Fn(&mut World)| {
        let mut next = world.clone();
        change(&mut next);
        next.clone().holds()?;
        if next == world { Ok(()) } else { explore(next, left - 1, seen) }
    };
    for letter in &world.letters {
        go(&|world| world.deliver(*letter))?;
    }
    go(&|world| world.now += 2)?;
    for n in 0..2 {
        go(&|world| {
            world.need(n, UNIT);
            world.ask(n);
        })?;
    }
    go(&|world| {
        world.need(0, 0);
        world.ask(0);
    })?;
    // A lender starts anew, and one that borrows.
    go(&|world| world.restart(2))?;
    go(&|world| world.restart(0))
}

#[test]
fn every_order_of_eight_steps_over_three_balancers() {
    let set = Settings {
        balancers: 3,
        lease: 4,
        rise: 1,
        fade: 1,
        earlier: false,
        floor_per_mille: 50,
        asks_most: 2,
    };
    let mut seen = HashSet::new();
    assert_eq!(explore(World::new(set, vec![1_000; 3]), 8, &mut seen), Ok(()));
    assert!(seen.len() > 50_000, "{}", seen.len());
    println!("{} states", seen.len());
}
