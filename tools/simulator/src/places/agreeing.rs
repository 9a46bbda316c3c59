//! How the plan comes into force: reports on their way to a leader, a log with numbers, leases that are counted from before they
//! are asked for. The parts that decide are the daemon's own; ways, time and elections are emulated.

use super::fleet::{Eyes, lie};
use super::ground::{Ground, STEP};
use maplehook_address_announcement::{Address, Announce};
use maplehook_cluster::Name;
use maplehook_failover::{BalancerRouting, Bounds, Report, digest};
use maplehook_failover_agent::Config;
use maplehook_failover_agent::leader::LeaderState;
use maplehook_failover_agent::messages::AgreedState;
use maplehook_locality::{Region, Rules, Zone};
use maplehook_versions::{DocumentLeaseHolder, DocumentLeaseManager, LeaseTimes};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The longest contradiction that is stated.
pub const CONTRADICTION: Duration = Duration::from_secs(5);
/// Steps between two reports of a balancer.
const REPORT_EACH: u64 = 4;
/// Steps between two looks, of a balancer and of the leader.
pub const LOOK_EACH: u64 = 2;
/// How long a leader that is not heard of is waited for, at least and at most.
const ELECTED: std::ops::Range<u64> = 1000..2000;

/// A body in the log.
#[derive(Clone, Debug, Default)]
pub struct Entry {
    /// Its number; 0 is none.
    pub number: u64,
    /// As bytes.
    pub body: Arc<[u8]>,
    /// As it is read.
    pub agreed: Arc<AgreedState>,
}

#[derive(Clone, Debug)]
enum Word {
    Report { to: usize, from: usize, bytes: Vec<u8> },
    Ask { to: usize, from: usize, request: u64, acts: Option<u64>, has: u64 },
    Tell { to: usize, request: Option<u64>, lacks: bool, entry: Entry },
}

/// A balancer's part.
pub struct Member {
    name: Name,
    holding: DocumentLeaseHolder,
    /// Its machine.
    pub acting: BalancerRouting,
    number: u64,
    requests: u64,
    reports: u64,
    start: u64,
    next_ask: Duration,
    /// The newest that it was told.
    pub entry: Entry,
}

struct Leader {
    at: usize,
    leading: LeaderState,
    given: DocumentLeaseManager,
    /// When what is on its way stands in the log, the number that it rests on, and its bytes.
    on_its_way: Option<(Duration, u64, Vec<u8>)>,
    asked: BTreeMap<usize, Duration>,
    /// Since when it has no majority.
    lonely: Option<Duration>,
}

/// Everybody's part.
pub struct Agreeing {
    times: LeaseTimes,
    config: Config,
    /// By balancer.
    pub members: Vec<Member>,
    voters: Vec<usize>,
    leader: Option<Leader>,
    elect_at: Option<Duration>,
    /// What stands in the log.
    pub log: Entry,
    words: BTreeMap<(Duration, u64), Word>,
    sent: u64,
    rng: ChaCha8Rng,
    /// Bytes that balancers sent and were sent.
    pub bytes: u64,
    /// Bodies that stood in the log.
    pub bodies: u64,
}

fn times() -> LeaseTimes {
    let none =
        LeaseTimes { max_conflict: CONTRADICTION, lease: CONTRADICTION, renew_interval: CONTRADICTION };
    LeaseTimes::new(CONTRADICTION).unwrap_or(none)
}

/// The addresses that are announced: one by every region, one by one of them.
fn addresses() -> Vec<Address> {
    let address = |name: &str, announce| Address {
        name: name.into(),
        address: "203.0.113.10:443".into(),
        announce,
        keep_at_least: 1,
        withdraw_after: Duration::from_secs(3),
        return_after: Duration::from_secs(10),
        sites: vec![Region(0), Region(1)],
    };
    vec![address("many", Announce::Many), address("one", Announce::One)]
}

impl Agreeing {
    /// Nobody leads yet.
    pub fn new(ground: &Ground, rules: &Rules, seed: u64) -> Self {
        let (topology, rules) = (ground.topology.clone(), rules.clone());
        let digest = digest(&topology, &rules);
        let (own, bounds) = (Zone(0), Bounds::default());
        let config = Config {
            topology,
            rules,
            own_zone: own,
            bounds,
            addresses: addresses(),
            classes: Vec::new(),
            tenants: Vec::new(),
            capacity_per_weight: Vec::new(),
            digest,
        };
        let voters = (0..if ground.posts.len() < 5 { 3 } else { 5 }).collect();
        let mut agreeing = Self {
            times: times(),
            config,
            members: Vec::new(),
            voters,
            leader: None,
            elect_at: Some(Duration::ZERO),
            log: Entry::default(),
            words: BTreeMap::new(),
            sent: 0,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0xa9_ee),
            bytes: 0,
            bodies: 0,
        };
        agreeing.members =
            (0..ground.posts.len()).filter_map(|n| agreeing.member(ground, n, Duration::ZERO)).collect();
        agreeing
    }

    fn member(&self, ground: &Ground, n: usize, now: Duration) -> Option<Member> {
        let (topology, rules) = (self.config.topology.clone(), self.config.rules.clone());
        let mut acting = BalancerRouting::new(topology, rules, Zone(ground.posts[n].zone as u16), now);
        acting.set_balancer_count(ground.posts.len());
        Some(Member {
            name: Name::new(&format!("b{n:03}"))?,
            holding: DocumentLeaseHolder::new(self.times),
            acting,
            number: 0,
            requests: 0,
            reports: 0,
            start: now.as_millis() as u64 + 1,
            next_ask: now,
            entry: Entry::default(),
        })
    }

    /// Who leads.
    pub fn leader(&self) -> Option<usize> {
        self.leader.as_ref().map(|leader| leader.at)
    }

    /// A balancer was started again.
    pub fn started(&mut self, ground: &Ground, n: usize, now: Duration) {
        if let Some(member) = self.member(ground, n, now) {
            self.members[n] = member;
        }
    }

    /// Whether a balancer holds a lease.
    pub fn holds(&self, n: usize, now: Duration) -> bool {
        self.members[n].holding.lease_end().is_some_and(|until| now < until) && self.members[n].number > 0
    }

    /// Until when, if it ever did.
    pub fn until(&self, n: usize) -> Option<Duration> {
        self.members[n].holding.lease_end()
    }

    fn hears(ground: &Ground, a: usize, b: usize) -> bool {
        let (a, b) = (&ground.posts[a], &ground.posts[b]);
        a.serves() && b.serves() && ground.talk[a.zone][b.zone]
    }

    fn majority(&self, ground: &Ground, of: usize) -> bool {
        let heard = self.voters.iter().filter(|voter| Self::hears(ground, of, **voter)).count();
        2 * heard > self.voters.len()
    }

    fn say(&mut self, ground: &Ground, now: Duration, from: usize, to: usize, word: Word) {
        let size = match &word {
            Word::Report { bytes, .. } => bytes.len(),
            Word::Ask { .. } => 24,
            Word::Tell { entry, lacks, .. } => 24 + if *lacks { entry.body.len() } else { 0 },
        };
        self.bytes += size as u64;
        let lost = ground.loss > 0.0 && self.rng.random_bool(ground.loss);
        if lost || !Self::hears(ground, from, to) {
            return;
        }
        let zone = |n: usize| Zone(ground.posts[n].zone as u16);
        let trip = ground.topology.rtt(zone(from), zone(to)).unwrap_or_default() / 2;
        let late = if matches!(word, Word::Report { .. }) { ground.late } else { Duration::ZERO };
        let jitter = Duration::from_micros(self.rng.random_range(100..3000));
        self.sent += 1;
        self.words.insert((now + trip + late + jitter, self.sent), word);
    }

    /// A step: words arrive, whoever leads decides, leases are asked for.
    pub fn step(&mut self, ground: &Ground, eyes: &[Eyes], now: Duration, steps: u64) {
        while let Some(first) = self.words.first_entry().filter(|first| first.key().0 <= now) {
            let word = first.remove();
            self.hear(ground, now, word);
        }
        self.elect(ground, now);
        self.lead(ground, now, steps);
        for n in (0..self.members.len()).filter(|n| ground.posts[*n].serves()) {
            self.ask(ground, now, n);
            if steps % REPORT_EACH == n as u64 % REPORT_EACH && !ground.posts[n].old {
                self.report(ground, eyes, now, n);
            }
        }
    }

    fn ask(&mut self, ground: &Ground, now: Duration, n: usize) {
        let Some(to) = self.leader().filter(|_| now >= self.members[n].next_ask) else { return };
        let old = ground.posts[n].old;
        let member = &mut self.members[n];
        member.next_ask = now + self.times.renew_interval;
        member.requests += 1;
        let request = member.requests;
        member.holding.begin_request(request, now);
        let (acts, has) = ((!old).then_some(member.number), member.holding.newest().0);
        self.say(ground, now, n, to, Word::Ask { to, from: n, request, acts, has });
    }

    fn report(&mut self, ground: &Ground, eyes: &[Eyes], now: Duration, n: usize) {
        let Some(to) = self.leader() else { return };
        let (mut observations, mut demand) = eyes[n].sights(ground);
        if ground.posts[n].lies {
            lie(&mut observations, &mut demand, &mut self.rng);
        }
        let holds = self.holds(n, now);
        let digest = self.config.digest;
        let member = &mut self.members[n];
        member.reports += 1;
        let epoch = if holds { member.acting.routing().epoch } else { 0 };
        let zone = Zone(ground.posts[n].zone as u16);
        let (number, start) = (member.reports, member.start);
        let out_ms = member.acting.unreachable_ms();
        let report = Report { number, start, zone, digest, epoch, ready: true, observations, demand, out_ms };
        let bytes = report.encode();
        self.say(ground, now, n, to, Word::Report { to, from: n, bytes });
    }

    fn hear(&mut self, ground: &Ground, now: Duration, word: Word) {
        match word {
            Word::Report { to, from, bytes } => {
                let name = self.members[from].name.clone();
                if let (Some(leader), Some(report)) = (&mut self.leader, Report::decode(&bytes))
                    && leader.at == to
                    && ground.posts[to].serves()
                {
                    leader.leading.record_report(now, name.as_str(), report);
                }
            }
            Word::Ask { to, from, request, acts, has } => {
                // A grant needs the word of a majority that was asked for after the request had come.
                let confirmed = ground.posts[to].serves() && self.majority(ground, to);
                let name = self.members[from].name.clone();
                let Some(leader) = self.leader.as_mut().filter(|leader| leader.at == to && confirmed) else {
                    return;
                };
                leader.asked.insert(from, now);
                leader.given.record_report(&name, acts, has);
                if !leader.given.grant(now, &name) {
                    return;
                }
                let (entry, lacks) = (self.log.clone(), has < self.log.number);
                let word = Word::Tell { to: from, request: Some(request), lacks, entry };
                self.say(ground, now, to, from, word);
            }
            Word::Tell { to, request, entry, .. } => {
                if !ground.posts[to].serves() {
                    return;
                }
                let member = &mut self.members[to];
                member.holding.accept_grant(request, entry.number, Some(Arc::clone(&entry.body)));
                let number = member.holding.newest().0;
                if number == entry.number && number > member.number {
                    member.acting.set_document(&entry.agreed.places);
                    (member.number, member.entry) = (number, entry);
                    // Said at once, so that nobody waits for it.
                    member.next_ask = now;
                }
            }
        }
    }

    fn elect(&mut self, ground: &Ground, now: Duration) {
        if let Some(at) = self.leader() {
            let stays = ground.posts[at].serves() && self.majority(ground, at);
            let Some(leader) = &mut self.leader else { return };
            if stays {
                leader.lonely = None;
                return;
            }
            leader.lonely.get_or_insert(now);
            if self.elect_at.is_none() {
                self.elect_at = Some(now + Duration::from_millis(self.rng.random_range(ELECTED)));
            }
        }
        if self.elect_at.is_none_or(|at| now < at) {
            return;
        }
        let next = self.voters.iter().copied().find(|voter| self.majority(ground, *voter));
        self.leader = next.map(|at| {
            let members: BTreeSet<Name> = self.members.iter().map(|member| member.name.clone()).collect();
            let config = Config { own_zone: Zone(ground.posts[at].zone as u16), ..self.config.clone() };
            Leader {
                at,
                leading: LeaderState::new(config, (*self.log.agreed).clone(), now),
                given: DocumentLeaseManager::new(self.times, members, now),
                on_its_way: None,
                asked: BTreeMap::new(),
                lonely: None,
            }
        });
        self.elect_at = if next.is_some() { None } else { Some(now + Duration::from_millis(500)) };
        if next.is_some() {
            // Whoever hears of it asks it.
            self.members.iter_mut().for_each(|member| member.next_ask = now);
        }
    }

    fn lead(&mut self, ground: &Ground, now: Duration, steps: u64) {
        let Some(mut leader) = self.leader.take() else { return };
        let at = leader.at;
        let sound = ground.posts[at].serves() && self.majority(ground, at);
        let done = |(due, ..): &(Duration, u64, Vec<u8>)| sound && now >= *due;
        if let Some((_, expect, body)) = leader.on_its_way.take_if(|on| done(on)) {
            let read = AgreedState::decode(&body).filter(|_| expect == self.log.number);
            let stands = read.is_some();
            if let Some(agreed) = read {
                self.log = Entry { number: expect + 1, body: body.into(), agreed: Arc::new(agreed) };
                self.bodies += 1;
            }
            leader.leading.finish_proposal(stands);
            if stands {
                let entry = self.log.clone();
                let lack = leader.given.holders_without(now, entry.number);
                let to: Vec<usize> =
                    (0..self.members.len()).filter(|n| lack.contains(&self.members[*n].name)).collect();
                for to in to {
                    let word = Word::Tell { to, request: None, lacks: true, entry: entry.clone() };
                    self.say(ground, now, at, to, word);
                }
            }
        }
        if steps.is_multiple_of(LOOK_EACH) && sound {
            let behind: Vec<(String, Duration)> = leader
                .given
                .lagging_members(now, self.log.number)
                .into_iter()
                .map(|(name, left)| (name.to_string(), left))
                .collect();
            let lease = self.times.max_lease();
            let in_touch: Vec<(String, bool)> = leader
                .asked
                .iter()
                .filter(|(_, asked)| now < **asked + lease)
                .map(|(n, _)| (self.members[*n].name.to_string(), !ground.posts[*n].old))
                .collect();
            if let Some(body) = leader.leading.tick(now, &behind, &in_touch) {
                // There and back to the nearer voters, and a disk.
                let takes = STEP + Duration::from_millis(self.rng.random_range(0..60));
                leader.on_its_way = Some((now + takes, self.log.number, body));
            }
        }
        self.leader = Some(leader);
    }
}
