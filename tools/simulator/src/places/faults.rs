//! What befalls the zones, and when.

use super::ground::{Change, Ground};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// When the fault begins.
pub const BEGINS: Duration = Duration::from_secs(20);
/// For how long it lasts.
pub const LASTS: Duration = Duration::from_secs(40);
/// When the play ends.
pub const ENDS: Duration = Duration::from_secs(100);

/// A fault of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// None at all.
    Calm,
    /// All upstreams of a zone are gone.
    ZoneLost,
    /// And its balancers with them.
    SiteLost,
    /// The same while the other zone of its region is 70 % full.
    NeighbourFull,
    /// Most of a zone's requests fail.
    ZoneIll,
    /// Most of them are late.
    ZoneSlow,
    /// A zone's balancers reach no other's upstreams and hear no other.
    CutOff,
    /// Two zones do not reach each other.
    CutBetween,
    /// One does not reach another, which reaches it.
    CutOneWay,
    /// The regions hear each other by one zone of each alone.
    Bridge,
    /// A zone's upstreams come and go every 2 s.
    Flaps2,
    /// Every 10 s.
    Flaps10,
    /// A region is gone while clients ask for half as much again.
    RegionAtPeak,
    /// The zone that takes a lost one's load falls ill under it.
    TakerIll,
    /// A lost zone comes back cold.
    BackCold,
    /// Everything fails.
    AllAtOnce,
    /// A zone is lost while half of the balancers know no places.
    OldMembers,
    /// Clients of one zone ask for two and a half times as much, again and again.
    Crowds,
    /// A zone is lost and the leader with it.
    LeaderLost,
    /// The leader is stopped for 10 s while a zone is lost.
    LeaderStopped,
    /// One balancer reaches nothing.
    Blind,
    /// A zone is lost while words take 5 s longer.
    Late,
    /// A zone is lost while a third of all words are lost.
    Lossy,
    /// A zone is lost while a balancer tells wild figures.
    Liar,
    /// 44 % of the balancers are killed, and back.
    Killed44,
    /// A zone is lost and nobody leads.
    NoMajority,
}

impl Fault {
    /// All of them.
    pub const ALL: [Self; 26] = [
        Self::Calm,
        Self::ZoneLost,
        Self::SiteLost,
        Self::NeighbourFull,
        Self::ZoneIll,
        Self::ZoneSlow,
        Self::CutOff,
        Self::CutBetween,
        Self::CutOneWay,
        Self::Bridge,
        Self::Flaps2,
        Self::Flaps10,
        Self::RegionAtPeak,
        Self::TakerIll,
        Self::BackCold,
        Self::AllAtOnce,
        Self::OldMembers,
        Self::Crowds,
        Self::LeaderLost,
        Self::LeaderStopped,
        Self::Blind,
        Self::Late,
        Self::Lossy,
        Self::Liar,
        Self::Killed44,
        Self::NoMajority,
    ];

    /// Its words.
    pub fn words(self) -> &'static str {
        match self {
            Self::Calm => "none",
            Self::ZoneLost => "zone's upstreams lost",
            Self::SiteLost => "zone and its balancers lost",
            Self::NeighbourFull => "zone lost, neighbour 70 % full",
            Self::ZoneIll => "zone fails",
            Self::ZoneSlow => "zone slow",
            Self::CutOff => "zone cut off from all others",
            Self::CutBetween => "cut between two zones",
            Self::CutOneWay => "cut in one direction",
            Self::Bridge => "regions joined by a bridge alone",
            Self::Flaps2 => "zone flaps at 2 s",
            Self::Flaps10 => "zone flaps at 10 s",
            Self::RegionAtPeak => "region lost at the peak",
            Self::TakerIll => "taker falls ill under the spill",
            Self::BackCold => "zone back cold",
            Self::AllAtOnce => "all zones fail at once",
            Self::OldMembers => "zone lost, half without places",
            Self::Crowds => "one zone's clients times 2.5",
            Self::LeaderLost => "zone lost with the leader",
            Self::LeaderStopped => "zone lost, leader stopped 10 s",
            Self::Blind => "one balancer reaches nothing",
            Self::Late => "zone lost, words 5 s late",
            Self::Lossy => "zone lost, a third of words lost",
            Self::Liar => "zone lost, a liar",
            Self::Killed44 => "44 % of balancers killed",
            Self::NoMajority => "zone lost, nobody leads",
        }
    }

    /// What changes when, in order.
    pub fn changes(self, ground: &mut Ground, seed: u64) -> Vec<(Duration, Change)> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xfa_017);
        let count = ground.zones.len();
        // Not where the first leader is, but where that is meant.
        let zone = rng.random_range(1..count);
        let neighbour = zone ^ 1;
        let over = BEGINS + LASTS;
        let lost = || [(BEGINS, Change::Up(zone, 0.0)), (over, Change::Up(zone, 1.0))];
        let mut all: Vec<(Duration, Change)> = Vec::new();
        match self {
            Self::Calm => {}
            Self::ZoneLost => all.extend(lost()),
            Self::SiteLost | Self::LeaderLost => {
                let zone = if self == Self::LeaderLost { 0 } else { zone };
                all.push((BEGINS, Change::Up(zone, 0.0)));
                all.push((BEGINS, Change::Posts(zone, false)));
                all.push((over, Change::Up(zone, 1.0)));
                all.push((over, Change::Posts(zone, true)));
            }
            Self::NeighbourFull => {
                let truth = &mut ground.zones[neighbour];
                truth.asked = 0.7 * truth.room;
                all.extend(lost());
            }
            Self::ZoneIll => {
                all.push((BEGINS, Change::Failing(zone, 0.8)));
                all.push((over, Change::Failing(zone, 0.0)));
            }
            Self::ZoneSlow => {
                all.push((BEGINS, Change::Slow(zone, 0.8)));
                all.push((over, Change::Slow(zone, 0.0)));
            }
            Self::CutOff | Self::CutBetween | Self::CutOneWay => {
                for other in (0..count).filter(|other| *other != zone) {
                    let cut = self == Self::CutOff || other == neighbour;
                    for (when, is) in [(BEGINS, false), (over, true)].into_iter().filter(|_| cut) {
                        all.push((when, Change::Reach(zone, other, is)));
                        if self != Self::CutOneWay {
                            all.push((when, Change::Reach(other, zone, is)));
                            all.push((when, Change::Talk(zone, other, is)));
                        }
                    }
                }
                if self != Self::CutOff {
                    // Where it matters: the neighbour's own upstreams are half gone, and it would spill there.
                    all.push((BEGINS, Change::Up(zone, 0.4)));
                    all.push((over, Change::Up(zone, 1.0)));
                }
            }
            Self::Bridge => {
                for (a, b) in [(0, 2), (0, 3), (1, 2)] {
                    for (when, is) in [(BEGINS, false), (over, true)] {
                        all.push((when, Change::Reach(a, b, is)));
                        all.push((when, Change::Reach(b, a, is)));
                        all.push((when, Change::Talk(a, b, is)));
                    }
                }
                all.extend(lost());
            }
            Self::Flaps2 | Self::Flaps10 => {
                let each = Duration::from_secs(if self == Self::Flaps2 { 2 } else { 10 });
                let mut when = BEGINS;
                while when < over {
                    all.push((when, Change::Up(zone, 0.0)));
                    all.push((when + each, Change::Up(zone, 1.0)));
                    when += 2 * each;
                }
            }
            Self::RegionAtPeak => {
                for zone in 0..count {
                    all.push((BEGINS - Duration::from_secs(10), Change::Crowd(zone, 1.5)));
                    all.push((over, Change::Crowd(zone, 1.0)));
                }
                for zone in count / 2..count {
                    all.push((BEGINS, Change::Up(zone, 0.0)));
                    all.push((BEGINS, Change::Posts(zone, false)));
                    all.push((over, Change::Up(zone, 1.0)));
                    all.push((over, Change::Posts(zone, true)));
                }
            }
            Self::TakerIll => {
                all.extend(lost());
                all.push((BEGINS + Duration::from_secs(8), Change::Failing(neighbour, 0.6)));
                all.push((over, Change::Failing(neighbour, 0.0)));
            }
            Self::BackCold => {
                all.extend(lost());
                all.push((over, Change::Warm(zone, 0.1)));
            }
            Self::AllAtOnce => {
                for zone in 0..count {
                    all.push((BEGINS, Change::Failing(zone, 0.6)));
                    all.push((over, Change::Failing(zone, 0.0)));
                }
            }
            Self::OldMembers => {
                ground.posts.iter_mut().skip(count).step_by(2).for_each(|post| post.old = true);
                if ground.posts.len() <= count {
                    // Too few for one in each zone: one that is no voter.
                    ground.posts.iter_mut().skip(3).for_each(|post| post.old = true);
                }
                all.extend(lost());
            }
            Self::Crowds => {
                let mut when = BEGINS;
                while when < over {
                    all.push((when, Change::Crowd(zone, 2.5)));
                    all.push((when + Duration::from_secs(10), Change::Crowd(zone, 1.0)));
                    when += Duration::from_secs(20);
                }
            }
            Self::LeaderStopped => {
                all.extend(lost());
                all.push((BEGINS, Change::LeaderStopped(true)));
                all.push((BEGINS + Duration::from_secs(10), Change::LeaderStopped(false)));
            }
            Self::Blind => {
                let one = rng.random_range(1..ground.posts.len());
                all.push((BEGINS, Change::Blind(one, true)));
                all.push((over, Change::Blind(one, false)));
            }
            Self::Late | Self::Lossy => {
                let late = if self == Self::Late { Duration::from_secs(5) } else { Duration::ZERO };
                all.push((BEGINS - Duration::from_secs(5), Change::Late(late)));
                all.push((
                    BEGINS - Duration::from_secs(5),
                    Change::Loss(if late.is_zero() { 0.33 } else { 0.0 }),
                ));
                all.extend(lost());
            }
            Self::Liar => {
                let one = rng.random_range(1..ground.posts.len());
                all.push((BEGINS - Duration::from_secs(10), Change::Lies(one, true)));
                all.extend(lost());
            }
            Self::Killed44 => {
                let mut whom: Vec<usize> = (0..ground.posts.len()).collect();
                whom.shuffle(&mut rng);
                whom.truncate(ground.posts.len() * 44 / 100);
                for n in whom {
                    all.push((BEGINS, Change::Post(n, false)));
                    all.push((over, Change::Post(n, true)));
                }
            }
            Self::NoMajority => {
                all.extend(lost());
                for (a, b) in (0..count).flat_map(|a| (0..a).map(move |b| (a, b))) {
                    all.push((BEGINS - Duration::from_secs(1), Change::Talk(a, b, false)));
                    all.push((over, Change::Talk(a, b, true)));
                }
            }
        }
        all.sort_by_key(|(when, _)| *when);
        all
    }
}
