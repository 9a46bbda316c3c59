//! A world: what is to be played.

use crate::arrivals::Stream;
use crate::faults::{Fault, Harm, When};
use crate::station::Station;
use crate::time::Time;
use maplehook_core::{Class, Settings, Tenant, ZoneId};
use std::fmt;
use std::time::Duration;

/// A world.
#[derive(Clone, Debug, PartialEq)]
pub struct World {
    /// How long clients ask.
    pub lasts: Duration,
    /// What is asked for before this counts in no figure.
    pub settles: Duration,
    /// Zones, shared out over balancers one after another.
    pub zones: u8,
    /// Balancers.
    pub balancers: usize,
    /// By how much their clocks differ, at the most: a shift, and a share of the time.
    pub clocks: (Duration, f64),
    /// Upstreams.
    pub stations: Vec<Station>,
    /// Whether work stops when its request is given up.
    pub stops: bool,
    /// The ways.
    pub network: Network,
    /// The list of upstreams.
    pub discovery: Discovery,
    /// The classes.
    pub classes: Vec<Class>,
    /// The share of requests of each class.
    pub shares: Vec<f64>,
    /// Tenants.
    pub tenants: u32,
    /// How unequal they are: the exponent of Zipf's law; 0: all alike.
    pub zipf: f64,
    /// Requests a second that tenants are promised, together, in equal parts.
    pub allowance: f64,
    /// What is asked.
    pub streams: Vec<Stream>,
    /// Who asks.
    pub clients: Clients,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// Wishes that may be open at once: a world with more has jammed, and ends.
    pub held_most: usize,
    /// The seed of all chance.
    pub seed: u64,
}

/// The ways between balancers and upstreams, each way.
#[derive(Clone, Debug, PartialEq)]
pub struct Network {
    /// Within a zone.
    pub near: Time,
    /// Between zones.
    pub far: Time,
    /// What opening a connection costs; `None`: nothing is opened.
    pub connections: Option<Connections>,
}

/// What connections cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Connections {
    /// Work of a new one at its upstream, in shares of a mean request.
    pub work: f64,
    /// An idle one is closed after so long.
    pub idle: Duration,
    /// An upstream takes so many; one more is refused.
    pub most: usize,
}

/// How balancers hear of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Discovery {
    /// From a change until a balancer hears of it.
    pub delay: Time,
    /// How long a process that is told to drain is there still.
    pub grace: Duration,
}

/// How clients behave.
#[derive(Clone, Debug, PartialEq)]
pub struct Clients {
    /// Further tries of each.
    pub retries: u32,
    /// The wait before the first of them, doubled each time, from half of it to all at random; zero: at once.
    pub backoff: Duration,
    /// Whether they stay away as long as they are told.
    pub heed: bool,
    /// The share of the class's deadline after which a try is given up.
    pub patience: f64,
    /// Balancers that a tenant's clients come to; 0: all.
    pub fronts: usize,
    /// How long a dead balancer is still given requests.
    pub notice: Duration,
}

impl Default for Clients {
    fn default() -> Self {
        Self {
            retries: 0,
            backoff: Duration::from_millis(100),
            heed: true,
            patience: 1.0,
            fronts: 0,
            notice: Duration::from_secs(1),
        }
    }
}

impl Default for World {
    /// One balancer and no trouble; upstreams, classes and streams are missing.
    fn default() -> Self {
        Self {
            lasts: Duration::from_secs(60),
            settles: Duration::ZERO,
            zones: 1,
            balancers: 1,
            clocks: (Duration::ZERO, 0.0),
            stations: Vec::new(),
            stops: true,
            network: Network {
                near: Time::Fixed(Duration::from_micros(200)),
                far: Time::Fixed(Duration::from_millis(2)),
                connections: None,
            },
            discovery: Discovery {
                delay: Time::Fixed(Duration::from_millis(500)),
                grace: Duration::from_secs(5),
            },
            classes: Vec::new(),
            shares: Vec::new(),
            tenants: 1,
            zipf: 0.0,
            allowance: 0.0,
            streams: Vec::new(),
            clients: Clients::default(),
            faults: Vec::new(),
            held_most: 4_000_000,
            seed: 1,
        }
    }
}

/// Why a world is not played.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused(pub String);

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Refused {}

impl World {
    /// What all upstreams can do a second.
    pub fn capacity(&self) -> f64 {
        self.stations.iter().map(Station::capacity).sum()
    }

    /// The worth that each tenant is promised over the time that counts, at the mean worth of a request; without a
    /// promise, all that it asks.
    pub fn promised_worth(&self) -> f64 {
        if self.allowance <= 0.0 {
            return f64::INFINITY;
        }
        let worth: f64 =
            self.classes.iter().zip(&self.shares).map(|(class, share)| class.value * share).sum();
        let mean = worth / self.shares.iter().sum::<f64>().max(1e-9);
        let counted = (self.lasts - self.settles).as_secs_f64();
        self.allowance / f64::from(self.tenants.max(1)) * mean * counted
    }

    /// The zone of a balancer.
    pub fn zone_of(&self, balancer: usize) -> u8 {
        (balancer % usize::from(self.zones.max(1))) as u8
    }

    /// What a balancer's decisions are told at its start.
    pub fn settings(&self, balancer: usize) -> Settings {
        let cold = self.stations.iter().find_map(|s| s.cold);
        let part = self.allowance / f64::from(self.tenants.max(1));
        Settings {
            balancers: self.balancers as u32,
            index: balancer as u32,
            zone: ZoneId(self.zone_of(balancer)),
            classes: self.classes.clone(),
            tenants: (0..self.tenants).map(|_| Tenant { allowance_per_s: part }).collect(),
            slow_start_min_share: cold.map_or(1.0, |c| c.from),
            slow_start_window: cold.map_or(Duration::ZERO, |c| c.over),
            overload_multiple: cold.map_or(3.0, |c| c.multiple),
            overload_window: cold.map_or(Duration::from_secs(1), |c| c.within),
            can_hedge: false,
            connection_idle_timeout: self.network.connections.map_or(Duration::from_secs(60), |c| c.idle),
            ..Settings::default()
        }
    }

    /// What makes it impossible to play; the first of it.
    pub fn check(&self) -> Result<(), Refused> {
        let zones = usize::from(self.zones);
        let follows = |n: usize, fault: &Fault| match &fault.when {
            When::After(name, _, _) => self.faults[..n].iter().any(|f| f.name == *name),
            _ => true,
        };
        let sound = [
            (self.balancers > 0, "a balancer at least"),
            (self.zones > 0, "a zone at least"),
            (!self.stations.is_empty(), "an upstream at least"),
            (self.stations.iter().all(|s| s.servers > 0), "an upstream has a server at least"),
            (self.stations.iter().all(|s| s.speed > 0.0 && s.speed.is_finite()), "a speed above nil"),
            (self.stations.iter().all(|s| usize::from(s.zone) < zones), "a zone that there is"),
            (!self.classes.is_empty() && self.classes.len() == self.shares.len(), "a share for each class"),
            (self.shares.iter().all(|s| *s >= 0.0) && self.shares.iter().sum::<f64>() > 0.0, "shares"),
            (self.tenants > 0, "a tenant at least"),
            (
                self.streams.iter().any(|s| s.mean_rate() > 0.0)
                    && self.streams.iter().all(|s| s.mean_rate().is_finite()),
                "a rate above nil",
            ),
            (self.settles <= self.lasts, "an end after it has settled"),
            (
                self.faults.iter().enumerate().all(|(n, f)| follows(n, f)),
                "a fault for each that is to follow one, above it",
            ),
            (
                self.faults.iter().all(|f| match f.what {
                    Harm::Cut { from, to, .. } => usize::from(from.max(to)) < zones,
                    _ => true,
                }),
                "a zone that is cut",
            ),
            (
                self.faults.iter().all(|f| !matches!(f.when, When::Every(mean) if mean.is_zero())),
                "a time between faults that come again",
            ),
        ];
        match sound.iter().find(|(sound, _)| !sound) {
            Some((_, what)) => Err(Refused(format!("the world has no {what}"))),
            None => self.settings(0).check().map_err(|e| Refused(e.to_string())),
        }
    }
}
