//! Without shares every decision is what it was before there were any: long random runs, digests of their actions.

mod common;

use common::{class, listed, ms};
use maplehook_core::*;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// A fixed stream of numbers, independent of the module's own.
struct Dice(u64);

impl Dice {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }
}

/// The text of an action as the digests were made from it: three actions have other names since.
fn recorded(action: &Action) -> String {
    let text = format!("{action:?}");
    match action {
        Action::Reject { .. } => text.replacen("Reject", "Refuse", 1),
        Action::WatchEndpoints => "WatchFleet".to_owned(),
        Action::FetchEndpoints => "FetchFleet".to_owned(),
        _ => text,
    }
}

enum Due {
    Timer(TimerId),
    Ended(RequestId, AttemptNo, UpstreamId, Outcome),
}

/// A balancer in a world of slow, broken and changing upstreams; what it did, as a digest and a count.
struct Run {
    balancer: Balancer,
    dice: Dice,
    now: Duration,
    due: BTreeMap<(Duration, u64), Due>,
    /// By request: how often it was sent, and whether it has its answer.
    held: BTreeMap<RequestId, (u8, bool)>,
    out: BTreeMap<(RequestId, u8), (u64, Duration, UpstreamId)>,
    next: u64,
    digest: u64,
    actions: u64,
}

impl Run {
    fn tell(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        let mut text = String::new();
        for action in actions {
            write!(text, "{:?}{}", self.now, recorded(&action)).unwrap();
            self.actions += 1;
            match action {
                Action::Timer { after, timer } => {
                    self.later(after, Due::Timer(timer));
                }
                Action::Attempt { id, upstream, timeout } => self.sent(id, upstream, timeout),
                Action::Cancel { id, attempt } => {
                    if let Some((place, sent, upstream)) = self.out.remove(&(id, attempt.0)) {
                        self.due.retain(|(_, n), _| *n != place);
                        let key = self.later(ms(0), Due::Ended(id, attempt, upstream, Outcome::Cancelled));
                        self.out.insert((id, attempt.0), (key, sent, upstream));
                    }
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    if let Some(held) = self.held.get_mut(&id) {
                        held.1 = true;
                    }
                }
                _ => {}
            }
        }
        for byte in text.bytes() {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn later(&mut self, after: Duration, due: Due) -> u64 {
        self.next += 1;
        self.due.insert((self.now + after, self.next), due);
        self.next
    }

    fn sent(&mut self, id: RequestId, upstream: UpstreamId, timeout: Option<Duration>) {
        let held = self.held.entry(id).or_default();
        let no = AttemptNo(held.0);
        held.0 += 1;
        // Upstream 3 hangs, 5 is slow, 7 dies and comes back, 9 turns away; else answers after 5 to 45 ms.
        let at = self.now.as_secs();
        let took = 5 + self.dice.below(40);
        let (took, outcome) = match (upstream.0, self.dice.below(100)) {
            (3, _) if at % 20 > 10 => (100_000, Outcome::TimedOut),
            (5, _) => (took * 6, Outcome::Ok),
            (7, _) if at % 15 > 11 => (1, Outcome::ConnectFailed),
            (9, n) if n < 40 => (1, Outcome::Rejected),
            (_, 0) => (took, Outcome::Error),
            (_, 1) => (took, Outcome::Reset),
            (_, 2) => (took, Outcome::Overloaded),
            (_, 3) => (100_000, Outcome::TimedOut),
            _ => (took, Outcome::Ok),
        };
        let most = timeout.unwrap_or(ms(900)).min(ms(900));
        let (after, outcome) = if ms(took) < most { (ms(took), outcome) } else { (most, Outcome::TimedOut) };
        let key = self.later(after, Due::Ended(id, no, upstream, outcome));
        self.out.insert((id, no.0), (key, self.now, upstream));
    }

    fn until(&mut self, end: Duration) {
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), due) = entry.remove_entry();
            self.now = at;
            match due {
                Due::Timer(timer) => self.tell(Event::Timer { timer }),
                Due::Ended(id, attempt, upstream, outcome) => {
                    let Some((_, sent, _)) = self.out.remove(&(id, attempt.0)) else { continue };
                    let held = self.held.entry(id).or_default();
                    held.1 |= outcome == Outcome::Ok;
                    let (finished, latency) = (held.1, self.now - sent);
                    let report = [self.dice.below(30) as f32, self.dice.below(100) as f32 / 100.0];
                    let report = &report[..];
                    self.tell(Event::AttemptEnded {
                        id,
                        attempt,
                        upstream,
                        outcome,
                        latency,
                        is_finished: finished,
                        report,
                    });
                }
            }
        }
        self.now = end;
    }
}

fn fleet(upstreams: u64, zones: u64) -> Vec<Endpoint> {
    let entry = |id| Endpoint {
        zone: ZoneId((id % zones) as u8),
        cell: CellId((id % 5) as u16),
        weight: 1.0 + (id % 3) as f64,
        ..listed(id)
    };
    (0..upstreams).map(entry).collect()
}

/// So many requests at `gap_us` into a fleet of so many upstreams in so many zones.
fn play(set: Settings, upstreams: u64, zones: u64, requests: u32, gap_us: u64) -> (u64, u64) {
    let mut run = Run {
        balancer: Balancer::new(set.clone(), 42).expect("settings permit decisions"),
        dice: Dice(upstreams * 1000 + zones),
        now: ms(0),
        due: BTreeMap::new(),
        held: BTreeMap::new(),
        out: BTreeMap::new(),
        next: 0,
        digest: 0xcbf2_9ce4_8422_2325,
        actions: 0,
    };
    let mut list = fleet(upstreams, zones);
    run.tell(Event::EndpointUpdate { scope: UpdateScope::Cached, endpoints: &list });
    for n in 0..requests {
        let gap = run.dice.below(2 * gap_us);
        let end = run.now + Duration::from_micros(gap);
        run.until(end);
        let id = RequestId(n);
        run.held.insert(id, (0, false));
        let class = ClassId(run.dice.below(set.classes.len() as u64) as u16);
        let tenant = TenantId(run.dice.below(set.tenants.len().max(1) as u64) as u32);
        run.tell(Event::Request { id, class, tenant, time_left: ms(900), work_ms: None, is_repeat: false });
        if run.dice.below(200) == 0 {
            run.held.insert(id, (run.held[&id].0, true));
            run.tell(Event::RequestCancelled { id });
        }
        if n % 1500 == 700 {
            // Upstreams come, go, drain and restart.
            let pick = run.dice.below(list.len() as u64) as usize;
            list[pick].availability = [Availability::Ready, Availability::Draining, Availability::Removed]
                [run.dice.below(3) as usize];
            list[pick].started = Some(run.now);
            let changed = [list[pick].clone()];
            run.tell(Event::EndpointUpdate { scope: UpdateScope::Changes, endpoints: &changed });
        }
        if n % 6000 == 5000 {
            run.tell(Event::SettingsChanged { settings: &set, removed_tenants: &[] });
            run.tell(Event::EndpointUpdate { scope: UpdateScope::Full, endpoints: &list });
        }
        if n % 9000 == 8000 {
            let heritage = run.balancer.learned_state();
            run.tell(Event::LearnedStateRestored { learned: &heritage });
        }
    }
    (run.digest, run.actions)
}

fn settings() -> Settings {
    let zone = Effect::Deduplicated { group: DedupGroup::Zone, ttl: ms(500) };
    Settings {
        balancers: 2,
        zone: ZoneId(1),
        classes: vec![
            class(200, 1000, Effect::Idempotent),
            class(400, 1000, Effect::AtMostOnce),
            class(300, 900, zone),
        ],
        tenants: vec![Tenant { allowance_per_s: 300.0 }, Tenant { allowance_per_s: 100.0 }],
        ..Settings::default()
    }
}

#[test]
fn decisions_without_shares_are_what_they_were() {
    let cross = Settings { prices: Prices { cross_zone: 0.06, ..Prices::default() }, ..settings() };
    let told = Settings {
        report_fields: vec![LoadField::InFlight, LoadField::Utilization],
        reports: Reports::Inline,
        weights: Weights::Live,
        can_hedge: false,
        ..settings()
    };
    let blind = Settings { can_hedge: false, can_cancel: false, has_endpoint_discovery: true, ..settings() };
    let many = Settings { balancers: 50, index: 7, ..settings() };
    let found = [
        play(settings(), 12, 4, 40_000, 4000),
        play(cross, 16, 4, 40_000, 2000),
        play(told, 12, 3, 30_000, 3000),
        play(blind, 10, 2, 30_000, 3000),
        play(many, 900, 6, 20_000, 1000),
    ];
    let were = [
        (10234765094239738318, 48722),
        (10208166774339993688, 45241),
        (5599744171225106718, 35543),
        (12298316760487481809, 36463),
        (17319744429798948768, 21903),
    ];
    assert_eq!(found, were);
}
