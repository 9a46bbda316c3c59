//! Many balancers on a network that delays, loses, reorders, repeats and cuts, every message as its bytes. Demand is a
//! flow; what a balancer serves of it is the smaller of that and its share.

use maplehook_quota::split::{Settings, Split};
use maplehook_quota::wire::Message;
use maplehook_quota::{Key, Member, PERIOD, UNIT};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// A tick of admission, in milliseconds.
const TICK: u64 = 100;
/// How long it takes until the others know that one has gone, or is here.
const KNOWN_GONE: u64 = 3_000;
const KNOWN_HERE: u64 = 500;

pub struct Net {
    pub loss: f64,
    pub repeats: f64,
    /// From, to in milliseconds.
    pub delay: (u64, u64),
}

pub const CALM: Net = Net { loss: 0.0, repeats: 0.0, delay: (1, 20) };
pub const ROUGH: Net = Net { loss: 0.3, repeats: 0.1, delay: (1, 400) };

pub struct Node {
    pub split: Option<Split>,
    pub start: u64,
    changed: u64,
    pub demand: BTreeMap<Key, f64>,
}

type Way = (Reverse<u64>, u64, usize, Vec<u8>);

pub struct Fleet {
    pub now: u64,
    pub tick: u64,
    pub set: Settings,
    pub nodes: Vec<Node>,
    net: Net,
    ways: BinaryHeap<Way>,
    count: u64,
    pub rng: fastrand::Rng,
    pub cut: Box<dyn Fn(usize, usize) -> bool>,
    pub bytes: u64,
}

/// What came of a while.
#[derive(Default)]
pub struct Seen {
    /// Served and asked for within the guarantee, summed over ticks.
    pub served: f64,
    pub within: f64,
    /// The most that all may grant at an instant, and the most by which what is served changes in a tick.
    pub peak: f64,
    pub jump: f64,
}

impl Seen {
    pub fn part(&self) -> f64 {
        self.served / self.within.max(1e-9)
    }
}

impl Fleet {
    pub fn new(balancers: usize, net: Net, seed: u64, set: Settings) -> Self {
        let set = Settings { balancers: balancers as u32, ..set };
        let node = |id: usize| Node {
            split: Some(Split::new(set, Member { id: id as u64, start: 1 }, 0)),
            start: 1,
            changed: 0,
            demand: BTreeMap::new(),
        };
        Self {
            now: 0,
            tick: TICK,
            set,
            nodes: (0..balancers).map(node).collect(),
            net,
            ways: BinaryHeap::new(),
            count: 0,
            rng: fastrand::Rng::with_seed(seed),
            cut: Box::new(|_, _| false),
            bytes: 0,
        }
    }

    fn send(&mut self, from: usize, to: usize, message: &Message) {
        for payload in message.payloads() {
            self.bytes += payload.len() as u64 + 16;
            let copies = 1 + usize::from(self.rng.f64() < self.net.repeats);
            for _ in 0..copies {
                if self.rng.f64() < self.net.loss || (self.cut)(from, to) {
                    continue;
                }
                let at = self.now + self.rng.u64(self.net.delay.0..=self.net.delay.1);
                self.count += 1;
                self.ways.push((Reverse(at), self.count, to, payload.clone()));
            }
        }
    }

    fn deliver(&mut self) {
        while self.ways.peek().is_some_and(|(at, ..)| at.0 <= self.now) {
            let Some((_, _, n, payload)) = self.ways.pop() else { break };
            let now = self.now;
            let Some(split) = self.nodes[n].split.as_mut() else { continue };
            match Message::read(&payload) {
                Ok(Message::Asks(asks)) => {
                    let grants: Vec<_> = asks.iter().filter_map(|ask| split.asked(now, ask)).collect();
                    if let Some(first) = grants.first() {
                        self.send(n, first.to.id as usize, &Message::Grants(grants));
                    }
                }
                Ok(Message::Grants(grants)) => grants.iter().for_each(|grant| split.granted(grant)),
                other => panic!("{other:?}"),
            }
        }
    }

    pub fn end(&mut self, n: usize) {
        self.nodes[n].split = None;
        self.nodes[n].changed = self.now;
    }

    pub fn begin(&mut self, n: usize) {
        self.begin_with(n, self.set);
    }

    pub fn begin_with(&mut self, n: usize, set: Settings) {
        let node = &mut self.nodes[n];
        node.start += 1;
        node.changed = self.now;
        let set = Settings { earlier: true, ..set };
        node.split = Some(Split::new(set, Member { id: n as u64, start: node.start }, self.now));
    }

    /// One millisecond after another, until then; each tick and key is seen.
    pub fn run(&mut self, until: u64, keys: &[Key], mut see: impl FnMut(u64, Key, f64, f64)) {
        while self.now < until {
            self.now += 1;
            self.deliver();
            let now = self.now;
            let here: Vec<Member> = (self.nodes.iter().enumerate())
                .filter(|(_, node)| match node.split {
                    Some(_) => now >= node.changed + KNOWN_HERE || node.start == 1,
                    None => now < node.changed + KNOWN_GONE,
                })
                .map(|(id, node)| Member { id: id as u64, start: node.start })
                .collect();
            for n in 0..self.nodes.len() {
                if now % PERIOD != n as u64 * PERIOD / self.nodes.len() as u64 {
                    continue;
                }
                let Some(split) = self.nodes[n].split.as_mut() else { continue };
                let mut by: BTreeMap<Member, Vec<_>> = BTreeMap::new();
                for ask in split.asks(now, &here, |_, _| None) {
                    by.entry(ask.to).or_default().push(ask);
                }
                for (to, asks) in by {
                    self.send(n, to.id as usize, &Message::Asks(asks));
                }
            }
            if now.is_multiple_of(self.tick) {
                for key in keys {
                    let (mut served, mut may) = (0.0, 0.0);
                    for node in &mut self.nodes {
                        let Some(split) = node.split.as_mut() else { continue };
                        let demand = node.demand.get(key).copied().unwrap_or(0.0);
                        if demand > 0.0 {
                            split.need(now, *key, (demand.min(1.0) * f64::from(UNIT)) as u32);
                        }
                        let share = f64::from(split.share(now, *key)) / f64::from(UNIT);
                        may += share;
                        served += share.min(demand);
                    }
                    see(now, *key, served, may);
                }
            }
        }
    }

    /// Runs for so long, with one key.
    pub fn watch(&mut self, ms: u64, key: Key) -> Seen {
        let (mut seen, mut last) = (Seen::default(), None);
        let asked: f64 = self.nodes.iter().map(|node| node.demand.get(&key).copied().unwrap_or(0.0)).sum();
        self.run(self.now + ms, &[key], |_, _, served, may| {
            seen.served += served;
            seen.within += asked.min(1.0);
            seen.peak = seen.peak.max(may);
            seen.jump = seen.jump.max((served - last.unwrap_or(served)).abs());
            last = Some(served);
        });
        seen
    }

    /// The demand is at these, in equal parts of so much.
    pub fn place(&mut self, key: Key, at: &[usize], whole: f64) {
        for node in &mut self.nodes {
            node.demand.remove(&key);
        }
        for n in at {
            self.nodes[*n].demand.insert(key, whole / at.len() as f64);
        }
    }
}
